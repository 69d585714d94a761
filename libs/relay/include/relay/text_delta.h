/// Difference between two versions of a large JSON text, small where the versions differ little.
///
/// Both texts are split after each closing brace. The delta lists runs of pieces of the base and
/// new text between them, so that it needs no knowledge of what the text means. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishpulley::relay {

/// A run of pieces of the base.
struct base_run {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

/// What the target consists of, in order: runs of the base and new text.
using delta_part = std::variant<base_run, std::string>;

/// Leads from one text to another.
struct text_delta {
    /// Hash of the text that it leads to.
    std::uint64_t target_hash = 0;
    std::vector<delta_part> parts;
};

/// Returns the delta from `base` to `target`, unless its new text and runs take more than
/// `max_bytes`.
std::optional<text_delta> make_delta(std::string_view base, std::string_view target,
                                     std::size_t max_bytes);

/// Returns the text that the delta leads to, or nothing if it was made for another base.
std::optional<std::string> apply_delta(std::string_view base, const text_delta& delta);

/// Returns the bytes that the delta takes in a message, estimated.
std::size_t size_of(const text_delta& it);

}  // namespace radishpulley::relay
