/// Times and refusals of requests, by client account and class.
#pragma once

#include <array>
#include <string_view>

#include "base/identifier.h"
#include "telemetry/metrics.h"

namespace radishpulley::telemetry {

/// A time that every request is measured by.
enum class request_stage {
    /// From receiving the request to the first token.
    first_token,
    /// From one token to the next.
    between_tokens,
    /// From admission to the start of the first attempt.
    queue_wait,
    /// Waiting until the adapter was loaded.
    load_stall,
    /// From receiving the request to its end.
    request_time
};
constexpr std::size_t request_stage_count = 5;

/// Families `radishpulley_<stage>_seconds{account,class}` and
/// `radishpulley_refusals_total{account,cause,outcome}` of one registry, which must live longer.
class request_metrics {
public:
    explicit request_metrics(registry& metrics);

    /// Returns the histogram of one stage; a stream keeps it for its tokens.
    histogram& times(request_stage stage, const client_account_id& account,
                     std::string_view request_class);

    /// Counts one refusal. `outcome` is what the refusal says, such as `not_run`.
    void count_refusal(const client_account_id& account, std::string_view cause,
                       std::string_view outcome);

private:
    std::array<histogram_family*, request_stage_count> stages_;
    counter_family& refusals_;
};

}  // namespace radishpulley::telemetry
