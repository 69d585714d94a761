#include "requests/retry_budget.h"

#include <algorithm>
#include <string>

#include "base/digest.h"

namespace radishpulley::requests {
namespace {

// More doublings would overflow. The maximum delay is reached long before.
constexpr attempt_number max_doublings = 20;

}  // namespace

retry_budget::retry_budget(retry_limits limits, std::uint64_t seed)
    : limits_(limits), seed_(seed), available_(limits.initial.value_or(limits.capacity)) {}

void retry_budget::count_request() {
    available_ = std::min(limits_.capacity, available_ + limits_.ratio);
}

std::optional<duration> retry_budget::try_spend(const request_id& request,
                                                attempt_number failed_attempt) {
    if (available_ < 1) {
        return std::nullopt;
    }
    available_ -= 1;
    return delay_of(request, failed_attempt);
}

duration retry_budget::delay_of(const request_id& request, attempt_number failed_attempt) const {
    const attempt_number earlier_attempts = failed_attempt == 0 ? 0 : failed_attempt - 1;
    const attempt_number doublings = std::min(earlier_attempts, max_doublings);
    const duration max_delay = std::min(limits_.max_delay, limits_.base_delay * (1L << doublings));
    const std::uint64_t hash = stable_hash(std::to_string(seed_) + "/" + request.str() + "/" +
                                           std::to_string(failed_attempt));
    const auto steps = static_cast<std::uint64_t>(max_delay.count()) + 1;
    return duration(static_cast<duration::rep>(hash % steps));
}

}  // namespace radishpulley::requests
