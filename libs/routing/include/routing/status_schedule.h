/// Schedules the status messages between daemons. The interval grows with the fleet, so that the
/// traffic of one daemon grows far slower than the fleet.
///
/// Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace radishpulley::routing {

/// Rate of the status messages.
struct status_pace {
    /// Minimum interval between two messages to one peer.
    duration interval = std::chrono::milliseconds(400);
    /// Number of VMs in a region up to which each of them receives a message at every interval.
    std::size_t region_size_at_full_rate = 32;
    /// Number of VMs in total up to which VMs of other regions receive a message at every interval.
    std::size_t fleet_size_at_full_rate = 16;
};

/// Location of a peer. Requests mostly stay in their region, so near peers need fresher status.
enum class peer_distance {
    /// In the region of this VM.
    near,
    far
};

/// Intervals for a fleet of a given size.
class status_schedule {
public:
    explicit status_schedule(status_pace pace = {}) : pace_(pace) {}

    /// Sets the number of VMs in this region and in total, including this one.
    void set_fleet(std::size_t near, std::size_t all) {
        near_ = near;
        all_ = all;
    }

    /// Returns the interval between two messages to one peer.
    duration interval(peer_distance distance) const {
        const bool is_near = distance == peer_distance::near;
        const std::size_t full =
            is_near ? pace_.region_size_at_full_rate : pace_.fleet_size_at_full_rate;
        const std::size_t n = std::max(is_near ? near_ : all_, full);
        return pace_.interval * static_cast<duration::rep>(n) / static_cast<duration::rep>(full);
    }

    /// Returns the validity of a message: at least `min_lifetime`, and long enough to outlast
    /// several lost messages.
    duration lifetime(peer_distance distance, duration min_lifetime) const {
        return std::max(min_lifetime, interval(distance) * messages_per_lifetime);
    }

private:
    static constexpr int messages_per_lifetime = 3;

    status_pace pace_;
    std::size_t near_ = 1;
    std::size_t all_ = 1;
};

}  // namespace radishpulley::routing
