/// Learns how long requests run per output token that they are expected to produce.
///
/// Callers' estimates of their output are often far off, so the median of the time per estimated
/// token is tracked instead of the mean. Pure; not thread-safe.
#pragma once

#include <cstdint>

#include "base/clock.h"

namespace radishpulley::routing {

/// Start value and speed of an estimate.
struct output_time_settings {
    /// Time per token until requests have been observed.
    duration initial_token_time = std::chrono::milliseconds(10);
    /// Relative change of the estimate by one observation.
    double step = 0.05;
    duration min_token_time = std::chrono::microseconds(10);
    duration max_token_time = std::chrono::seconds(1);
};

/// Tracks the median time per expected output token. Example:
///
///     const duration left = times.expected(200);
///     times.on_end(200, elapsed_since_first_event);
class output_time_estimator {
public:
    explicit output_time_estimator(output_time_settings settings = {});

    /// Returns the expected time to produce that many tokens.
    duration expected(std::uint32_t tokens) const;
    /// Records that a request with this many expected tokens took `elapsed`. Requests that expected
    /// no tokens are ignored.
    void on_end(std::uint32_t tokens, duration elapsed);

private:
    output_time_settings settings_;
    duration token_time_;
};

}  // namespace radishpulley::routing
