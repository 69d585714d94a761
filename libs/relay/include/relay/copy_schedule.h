/// Decides which VMs of an availability zone watch the store and when the others read it directly.
///
/// The VMs of a zone rank themselves by a hash that all of them compute alike. The first ones watch
/// the store and send reports. The others are readers: a reader queries the store itself only when
/// its copy has not been confirmed for too long, one rank after the other, and reports the result,
/// so that the next ranks need no query. Ranks may differ between VMs for a while: then a few more
/// VMs watch, or a reader queries earlier. Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace radishpulley::relay {

enum class copy_role {
    /// The zone has too few VMs for reports to be worth their cost.
    standalone,
    watcher,
    reader
};

/// Parameters of a schedule.
struct copy_schedule_settings {
    std::size_t watchers = 2;
    /// Smallest number of VMs in a zone with which readers are used.
    std::size_t min_vms = 4;
    /// Fraction of the longest age after which the first reader queries the store. The last reader
    /// queries it at the longest age.
    double first_read_fraction = 0.75;
    /// Fraction of the longest age that a watch waits, so that the copy is confirmed in time for
    /// the readers.
    double watch_wait_fraction = 0.5;
};

/// Schedule of one VM. A copy has to be confirmed again once it is `longest_age` old.
class copy_schedule {
public:
    explicit copy_schedule(copy_schedule_settings settings = {}) : settings_(settings) {}

    /// Sets the rank of this VM among the VMs of its zone, from 0, and the number of these VMs.
    void set_rank(std::size_t rank, std::size_t vms) {
        rank_ = rank;
        vms_ = std::max(vms, rank + 1);
    }

    copy_role role() const {
        if (vms_ < settings_.min_vms) {
            return copy_role::standalone;
        }
        return rank_ < settings_.watchers ? copy_role::watcher : copy_role::reader;
    }

    /// Age of the copy at which a reader queries the store itself.
    duration direct_read_age(duration longest_age) const {
        const std::size_t readers = vms_ - std::min(vms_, settings_.watchers);
        const std::size_t reader_rank = rank_ - std::min(rank_, settings_.watchers);
        const double delay =
            readers < 2 ? 0 : static_cast<double>(reader_rank) / static_cast<double>(readers - 1);
        const double fraction =
            settings_.first_read_fraction + (1 - settings_.first_read_fraction) * delay;
        return scaled(longest_age, fraction);
    }

    /// Time that a watch waits. Without readers it would wait for `full`.
    duration watch_wait(duration full) const {
        return role() == copy_role::standalone ? full : scaled(full, settings_.watch_wait_fraction);
    }

private:
    static duration scaled(duration it, double factor) {
        return std::chrono::duration_cast<duration>(it * factor);
    }

    copy_schedule_settings settings_;
    std::size_t rank_ = 0;
    std::size_t vms_ = 1;
};

}  // namespace radishpulley::relay
