/// Fleet-wide budget of loads from the weight store, granted by priority.
#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// Limits of the weight store that the budget enforces.
struct load_budget_settings {
    /// Loads per second that permits may start. The remaining capacity is divided among the engines
    /// in fixed parts.
    double loads_per_second = 1.8;
    /// Maximum number of saved permits.
    double burst = 2;
    /// Maximum number of concurrent loads; above it, each load gets slower.
    std::uint32_t in_flight = 8;
    /// Time after the sending of a permit request during which its permit may be used.
    duration permit_validity = std::chrono::seconds(2);
    /// Time after which a load counts as ended if its holder does not report it.
    duration load_timeout = std::chrono::seconds(10);
    /// Priority added per second of waiting, which prevents starvation.
    double priority_per_second = 1;
};

/// Grants load permits in order of priority. Has no side effects.
///
/// A new budget has no saved permits. It grants none until the permits of the previous holder have
/// expired.
class load_budget {
public:
    load_budget(load_budget_settings settings, fencing_number fence, time_point now);

    void on_request(const permit_request& it, time_point now);
    void on_done(const permit_done& it);
    /// Records that a holder has certainly ended and drops its requests.
    void on_holder_ended(const vm_incarnation& who);
    /// Returns the permits to send now. Must be called after every event and every 100 ms.
    std::vector<load_permit> grant(time_point now);

    std::size_t in_flight() const { return permits_.size(); }

private:
    struct pending_request {
        permit_request request;
        time_point since{};
        std::size_t granted = 0;
    };
    struct outstanding_permit {
        endpoint_id endpoint;
        time_point until{};
    };

    void refill(time_point now);
    pending_request* find_highest_priority(time_point now);

    load_budget_settings settings_;
    fencing_number fence_;
    time_point first_grant_at_;
    time_point refilled_at_;
    double tokens_ = 0;
    std::uint64_t last_permit_ = 0;
    std::map<endpoint_id, pending_request> pending_requests_;
    std::map<std::uint64_t, outstanding_permit> permits_;
};

}  // namespace radishpulley::placement
