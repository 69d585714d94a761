/// Bounds the retries towards one service, so that a failing service gets no storm of them.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/stream_assembler.h"

namespace radishpulley::requests {

/// Sizes of a retry budget.
struct retry_limits {
    /// Retries earned by each first attempt.
    double ratio = 0.1;
    /// Most retries that can be saved up.
    double capacity = 10;
    /// What a new budget holds; `capacity` where it is not set.
    std::optional<double> initial;
    /// Longest delay before the first retry; it doubles with each attempt.
    duration base_delay = std::chrono::milliseconds(25);
    duration max_delay = std::chrono::seconds(1);
};

/// Token bucket that is filled by requests and not by time: over any span, retries are at most
/// `capacity` + `ratio` x requests.
class retry_budget {
public:
    /// `seed` determines the jitter; each daemon passes its own.
    retry_budget(retry_limits limits, std::uint64_t seed);

    /// Counts a request's first attempt.
    void count_request();

    /// Spends one retry and returns its delay, or nothing when the budget is spent.
    /// The delay is spread evenly from 0 to the bound for this attempt.
    std::optional<duration> try_spend(const request_id& request, attempt_number failed_attempt);

    double available() const { return available_; }

private:
    duration delay_of(const request_id& request, attempt_number failed_attempt) const;

    const retry_limits limits_;
    const std::uint64_t seed_;
    double available_;
};

}  // namespace radishpulley::requests
