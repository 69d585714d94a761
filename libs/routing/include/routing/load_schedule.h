/// Predicts when the adapters that wait for a place at one engine are loaded.
///
/// An engine holds a limited number of adapters and loads a few of them at a time. Queued loads are
/// started in their order, each as soon as a place and a load slot are free. Pure.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "base/clock.h"

namespace radishpulley::routing {

/// Timetable of the loads at one engine.
class load_schedule {
public:
    /// `places` are the times at which places for adapters become free, `load_slots` the times at
    /// which a load can start. Times in the past are free now.
    load_schedule(const std::vector<time_point>& places, const std::vector<time_point>& load_slots);

    /// Adds a load of this duration behind the earlier ones. Returns when it ends, or nothing if
    /// there is no place for it.
    std::optional<time_point> add(duration load_time, time_point now);

private:
    using earliest_first = std::priority_queue<time_point, std::vector<time_point>, std::greater<>>;

    earliest_first places_;
    earliest_first load_slots_;
};

}  // namespace radishpulley::routing
