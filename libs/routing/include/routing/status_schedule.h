/// How often daemons tell each other what they have under way: the more they are, the less often,
/// so that what one daemon sends grows far slower than the fleet.
///
/// Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace radishpulley::routing {

/// Pace of the statements.
struct presence_pace {
    /// Shortest time between two statements to one peer.
    duration interval = std::chrono::milliseconds(400);
    /// VMs in the region up to which each of them is told at each interval.
    std::size_t near_at_full_pace = 32;
    /// VMs in all up to which those of other regions are told at each interval.
    std::size_t all_at_full_pace = 16;
};

/// Where a peer is. Requests mostly stay in their region, so near peers need to know more.
enum class peer_distance {
    /// In the region of this VM.
    near,
    far
};

/// Intervals for a fleet of a given size.
class status_schedule {
public:
    explicit status_schedule(presence_pace pace = {}) : pace_(pace) {}

    /// Sets how many VMs there are in this region and in all, this one included.
    void set_fleet(std::size_t near, std::size_t all) {
        near_ = near;
        all_ = all;
    }

    /// Time between two statements to one peer.
    duration interval(peer_distance distance) const {
        const bool is_near = distance == peer_distance::near;
        const std::size_t full = is_near ? pace_.near_at_full_pace : pace_.all_at_full_pace;
        const std::size_t n = std::max(is_near ? near_ : all_, full);
        return pace_.interval * static_cast<duration::rep>(n) / static_cast<duration::rep>(full);
    }

    /// Time for which a statement counts: at least `least`, and until several have been lost.
    duration lifetime(peer_distance distance, duration least) const {
        return std::max(least, interval(distance) * statements_per_lifetime);
    }

private:
    static constexpr int statements_per_lifetime = 3;

    presence_pace pace_;
    std::size_t near_ = 1;
    std::size_t all_ = 1;
};

}  // namespace radishpulley::routing
