/// Ranks requests that wait for scarce capacity, by what a longer wait costs their callers.
///
/// Pure. The values of several requests can be added up, so that a place that serves many of them
/// can be compared with one that serves a single more important one.
#pragma once

#include "base/clock.h"

namespace radishpulley::routing {

/// A request that waits, as far as its rank depends on it.
struct waiting_request {
    /// 0 is the highest priority.
    int priority = 0;
    /// Time until the first event is of no use to the caller any more.
    duration time_left = duration::max();
    /// Time that the first event takes once the request runs.
    duration work{};
    /// Time for which the request has waited.
    duration waited{};
};

/// Weights of a rank.
struct admission_settings {
    /// Factor between the values of two adjacent priorities.
    double priority_factor = 4;
    /// Lowest priority that is distinguished.
    int lowest_priority = 9;
    /// Time in which the value of a waiting request doubles. It bounds how long a request can be
    /// passed over: by this time for each doubling of the value of those that overtake it.
    duration doubling_time = std::chrono::milliseconds(250);
    /// Waiting time from which the value grows no more.
    duration max_counted_wait = std::chrono::seconds(30);
};

/// Values requests. Example:
///
///     if (rank.value(a) > rank.value(b)) { serve(a); }
class admission_rank {
public:
    explicit admission_rank(admission_settings settings = {});

    /// Returns the value of serving the request now; higher goes first. A request that has little
    /// time left besides its work has up to twice the value of one that has much, so urgency never
    /// outweighs a priority. A larger request has less time left and is not passed over for its
    /// size.
    double value(const waiting_request& it) const;

private:
    admission_settings settings_;
};

}  // namespace radishpulley::routing
