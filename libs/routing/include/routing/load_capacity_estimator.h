/// Learns how many adapters the weight store delivers at once at full speed.
///
/// The platform does not state the figure, and loads beyond it take longer in proportion. It is
/// learned as congestion control learns a rate: loads that are ready when they were expected while
/// many run raise the figure, a load that is late lowers it. Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "base/clock.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Limits of the figure and how fast it moves.
struct load_speed_settings {
    /// The figure never falls below it.
    double least = 8;
    double most = 4'096;
    /// Added for each load that was ready in time although as many ran as the figure says, until
    /// the first late load.
    double first_step = 1;
    /// Added after that for as many such loads as the figure says.
    double step = 0.05;
    /// What is left of the figure after a late load.
    double decrease = 0.7;
    /// Time between two decreases: loads that run together are late together.
    duration decrease_interval = std::chrono::milliseconds(500);
    /// Time after the expected moment in which a request that finds the adapter missing shows that
    /// its load is late.
    duration judged_within = std::chrono::milliseconds(400);
};

/// One daemon's knowledge of the weight store's speed, from the loads that it ordered.
class load_capacity_estimator {
public:
    explicit load_capacity_estimator(load_speed_settings settings = {});

    /// Loads of all engines together that are expected to run at full speed.
    std::size_t full_speed_loads() const { return static_cast<std::size_t>(figure_); }

    /// Sets how many engines there are. Until a load is late, the store is taken to deliver to as
    /// many at once.
    void set_engines(std::size_t n);
    /// A load was accepted that is expected at `ready_at`, while `fleet_loads` others ran.
    void on_ordered(const endpoint_id& engine, const model_ref& adapter, std::size_t fleet_loads,
                    time_point ready_at);
    /// A request was sent to the engine for the adapter.
    void on_use(const endpoint_id& engine, const model_ref& adapter, time_point now);
    /// The engine refused a request because the adapter was not there.
    void on_missing(const endpoint_id& engine, const model_ref& adapter, time_point now);
    /// Judges the loads whose time has come.
    void advance(time_point now);

private:
    struct load {
        std::size_t fleet_loads = 0;
        time_point ready_at{};
        bool is_used = false;
    };

    load_speed_settings settings_;
    double figure_;
    /// When a late load last lowered the figure; time_point::min() before the first.
    time_point decreased_at_ = time_point::min();
    std::map<std::pair<endpoint_id, model_ref>, load> loads_;
};

}  // namespace radishpulley::routing
