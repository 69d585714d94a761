/// Attributes that a caller states about its request, independent of the wire format.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"

namespace radishpulley::routing {

/// A segment of a prompt; requests can share segments.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Reference to a base model and an adapter.
struct model_ref {
    std::string model;
    /// Empty for the base model alone.
    std::string adapter;

    bool empty() const { return model.empty(); }
    friend bool operator==(const model_ref& a, const model_ref& b) {
        return a.model == b.model && a.adapter == b.adapter;
    }
    friend bool operator<(const model_ref& a, const model_ref& b) {
        return a.model != b.model ? a.model < b.model : a.adapter < b.adapter;
    }
};

/// Longest name of a model or an adapter, in bytes.
constexpr std::size_t max_name_length = 256;

/// Whether both names consist of visible ASCII characters and are not too long. Others can't be
/// passed on in orders and messages.
bool is_valid(const model_ref& it);

/// Attributes of one request.
struct request_attributes {
    request_id id;
    std::string key;
    /// Time for which the caller waits.
    std::optional<std::chrono::milliseconds> deadline;
    model_ref target;
    bool has_token_counts = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The caller's estimate of its output tokens, often far off.
    std::optional<std::uint32_t> output_estimate;
    std::vector<prompt_segment> segments;
    /// Last event that the caller received of the stream that it resumes.
    std::optional<std::string> last_event;
    /// The request that brought the first event of that stream; empty if it is not stated.
    request_id resumed_request;

    /// The segments that other requests may have too: all but the last.
    gsl::span<const prompt_segment> shared_segments() const {
        const gsl::span<const prompt_segment> all = segments;
        return all.empty() ? all : all.first(all.size() - 1);
    }
};

/// Returns a segment's id for a log line, in hexadecimal.
std::string to_text(std::uint64_t segment);

}  // namespace radishpulley::routing
