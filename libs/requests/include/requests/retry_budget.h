/// Limits the retries towards one service, so that a failing service gets no retry storm.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/stream_assembler.h"

namespace radishpulley::requests {

/// Parameters of a retry budget.
struct retry_limits {
    /// Retries added to the budget by each first attempt.
    double ratio = 0.1;
    /// Maximum number of retries in the budget.
    double capacity = 10;
    /// Retries in a new budget; `capacity` if not set.
    std::optional<double> initial;
    /// Maximum delay before the first retry. It doubles with each attempt up to `max_delay`.
    duration base_delay = std::chrono::milliseconds(25);
    duration max_delay = std::chrono::seconds(1);
};

/// Token bucket that is refilled by requests and not by time. In any period there are at most
/// `capacity` + `ratio` x requests retries.
class retry_budget {
public:
    /// `seed` determines the jitter. Each daemon must use its own seed.
    retry_budget(retry_limits limits, std::uint64_t seed);

    /// Counts a request's first attempt.
    void count_request();

    /// Spends one retry and returns its delay, or nothing if the budget is exhausted. The delay is
    /// uniformly distributed between 0 and the maximum for this attempt (full jitter).
    std::optional<duration> try_spend(const request_id& request, attempt_number failed_attempt);

    double available() const { return available_; }

private:
    duration delay_of(const request_id& request, attempt_number failed_attempt) const;

    const retry_limits limits_;
    const std::uint64_t seed_;
    double available_;
};

}  // namespace radishpulley::requests
