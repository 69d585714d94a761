/// The weight store's loads as one fleet-wide budget, granted by need.
#pragma once

#include <map>
#include <vector>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// Limits of the weight store that the budget keeps to.
struct load_budget_settings {
    /// Loads a second that permits may start; the rest is the engines' fixed split.
    double loads_per_second = 1.8;
    /// Most permits that can be saved up.
    double burst = 2;
    /// Most loads at once, above which each gets slower.
    std::uint32_t in_flight = 8;
    /// How long a permit may be used after its request was sent.
    duration permit_validity = std::chrono::seconds(2);
    /// Time after which a load without word from its holder counts as ended.
    duration load_timeout = std::chrono::seconds(10);
    /// Need added for each second that a request waits, so that none waits for ever.
    double need_per_second = 1;
};

/// Grants permits for loads, the greatest need first. Pure.
///
/// It starts with nothing saved and grants nothing until the permits of the holder before it ended.
class load_budget {
public:
    load_budget(load_budget_settings settings, fencing_number fence, time_point now);

    void on_request(const permit_request& it, time_point now);
    void on_done(const permit_done& it);
    /// The holder's certain end: it asks for nothing more.
    void on_holder_ended(const vm_incarnation& who);
    /// Returns the permits to send now. Call it on every event and every 100 ms.
    std::vector<load_permit> grant(time_point now);

    std::size_t in_flight() const { return permits_.size(); }

private:
    struct pending {
        permit_request request;
        time_point since{};
        std::size_t granted = 0;
    };
    struct outstanding {
        endpoint_id endpoint;
        time_point until{};
    };

    void refill(time_point now);
    pending* neediest(time_point now);

    load_budget_settings settings_;
    fencing_number fence_;
    time_point grant_from_;
    time_point refilled_;
    double saved_ = 0;
    std::uint64_t last_permit_ = 0;
    std::map<endpoint_id, pending> pending_;
    std::map<std::uint64_t, outstanding> permits_;
};

}  // namespace radishpulley::placement
