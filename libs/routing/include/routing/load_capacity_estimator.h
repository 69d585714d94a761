/// Estimates how many adapters the weight store delivers concurrently at full speed.
///
/// The platform does not publish this capacity, and loads beyond it take proportionally longer. The
/// estimate follows additive increase and multiplicative decrease, as in congestion control: loads
/// that are on time while many run raise it, a late load lowers it. Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "base/clock.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Bounds and step sizes of the estimate.
struct load_capacity_settings {
    /// Lower bound of the estimate.
    double min_loads = 8;
    double max_loads = 4'096;
    /// Increase for each load that was on time although as many loads ran as the estimate allows,
    /// until the first late load.
    double initial_step = 1;
    /// Total increase, after the first late load, once as many such loads as the estimate have
    /// completed.
    double step = 0.05;
    /// Factor applied to the estimate after a late load.
    double decrease_factor = 0.7;
    /// Minimum time between two decreases, because concurrent loads are late together.
    duration decrease_interval = std::chrono::milliseconds(500);
    /// Time after the expected completion within which a request that finds the adapter missing
    /// marks its load as late.
    duration evaluation_window = std::chrono::milliseconds(400);
};

/// Estimates the capacity from the loads that this daemon ordered.
class load_capacity_estimator {
public:
    explicit load_capacity_estimator(load_capacity_settings settings = {});

    /// Returns the number of loads of all engines together that are expected to run at full speed.
    std::size_t full_speed_loads() const { return static_cast<std::size_t>(estimate_); }

    /// Sets the number of engines. Until a load is late, the store is assumed to serve that many
    /// loads concurrently.
    void set_engines(std::size_t n);
    /// Records an accepted load that is expected at `ready_at`, while `fleet_loads` others are
    /// running.
    void on_ordered(const endpoint_id& engine, const model_ref& adapter, std::size_t fleet_loads,
                    time_point ready_at);
    /// Records that a request for the adapter was sent to the engine.
    void on_use(const endpoint_id& engine, const model_ref& adapter, time_point now);
    /// Records that the engine refused a request because it does not hold the adapter.
    void on_missing(const endpoint_id& engine, const model_ref& adapter, time_point now);
    /// Evaluates the loads whose evaluation window has passed.
    void advance(time_point now);

private:
    struct load {
        std::size_t fleet_loads = 0;
        time_point ready_at{};
        bool is_used = false;
    };

    load_capacity_settings settings_;
    double estimate_;
    /// Time of the last decrease; time_point::min() before the first.
    time_point decreased_at_ = time_point::min();
    std::map<std::pair<endpoint_id, model_ref>, load> loads_;
};

}  // namespace radishpulley::routing
