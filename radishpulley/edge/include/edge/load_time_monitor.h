/// Logs and exports the load times that this daemon observed.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/clock.h"
#include "routing/load_time_estimator.h"
#include "telemetry/metrics.h"

namespace radishpulley::edge {

/// Follows the estimates for adapters from the weight store and from the engines' caches.
class load_time_monitor {
public:
    explicit load_time_monitor(telemetry::registry& metrics);

    /// Exports the estimates for a further load beside `fleet_loads`, and logs those that moved by
    /// more than half since they were last logged.
    void update(const routing::adapter_load_times& times, std::size_t fleet_loads);

private:
    struct followed {
        std::string_view source;
        duration logged{};
        std::uint64_t ignored = 0;
    };

    void update(followed& it, const routing::load_time_estimator& times, std::size_t loads);

    telemetry::gauge_family& load_seconds_;
    telemetry::gauge& fleet_loads_;
    followed fetched_{"weight_store"};
    followed cached_{"engine_cache"};
};

}  // namespace radishpulley::edge
