/// Writes lines to a file descriptor whole or not at all, and never waits where it is a pipe that
/// does not block.
#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>

namespace radishpulley::telemetry {

/// Longest line, its end included; longer ones are cut. A pipe takes that much at once or nothing.
constexpr std::size_t max_line_size = 4'096;

/// Thread-safe.
class line_writer {
public:
    explicit line_writer(int descriptor) : descriptor_(descriptor) {}

    /// Writes `line` and a line's end with one call. Returns false where it was dropped.
    bool write(std::string_view line) noexcept;

    /// Returns the number of lines dropped since the last call.
    std::uint64_t take_dropped() noexcept { return dropped_.exchange(0); }

private:
    int descriptor_;
    std::atomic<std::uint64_t> dropped_{0};
};

}  // namespace radishpulley::telemetry
