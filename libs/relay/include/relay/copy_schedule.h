/// Which VMs of an availability zone follow the store themselves, and when another one asks it.
///
/// The VMs of a zone rank themselves by a hash that all compute alike. The first ones watch the
/// store and report; the others are readers: they ask the store themselves only when their copy has
/// not been confirmed for too long, one rank after the other, and report what they heard, so that
/// the next ones need not ask. Ranks may differ between VMs for a while: then a few more of them
/// watch, or a reader asks earlier. Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <cstddef>

#include "base/clock.h"

namespace radishpulley::relay {

enum class copy_role {
    /// There are too few VMs near for reports to pay.
    standalone,
    watcher,
    reader
};

/// Limits of a schedule.
struct copy_schedule_settings {
    std::size_t watchers = 2;
    /// VMs of a zone from which readers are worth it.
    std::size_t least_vms = 4;
    /// Part of the longest age after which the first reader asks the store itself; the last one
    /// asks at the longest age.
    double first_asks_after = 0.75;
    /// Part of the longest age for which a watch waits, so that it is confirmed in time for the
    /// readers.
    double watch_part = 0.5;
};

/// Schedule of one VM. A copy must be asked for again when it is `longest_age` old.
class copy_schedule {
public:
    explicit copy_schedule(copy_schedule_settings settings = {}) : settings_(settings) {}

    /// Sets the place of this VM among those of its zone, from 0, and how many there are.
    void set_rank(std::size_t rank, std::size_t vms) {
        rank_ = rank;
        vms_ = std::max(vms, rank + 1);
    }

    copy_role role() const {
        if (vms_ < settings_.least_vms) {
            return copy_role::standalone;
        }
        return rank_ < settings_.watchers ? copy_role::watcher : copy_role::reader;
    }

    /// Age at which a reader asks the store itself.
    duration direct_read_age(duration longest_age) const {
        const std::size_t readers = vms_ - std::min(vms_, settings_.watchers);
        const std::size_t place = rank_ - std::min(rank_, settings_.watchers);
        const double late =
            readers < 2 ? 0 : static_cast<double>(place) / static_cast<double>(readers - 1);
        const double part = settings_.first_asks_after + (1 - settings_.first_asks_after) * late;
        return scaled(longest_age, part);
    }

    /// Time for which a watch waits, where it would wait for `full` without readers.
    duration watch_wait(duration full) const {
        return role() == copy_role::standalone ? full : scaled(full, settings_.watch_part);
    }

private:
    static duration scaled(duration it, double by) {
        return std::chrono::duration_cast<duration>(it * by);
    }

    copy_schedule_settings settings_;
    std::size_t rank_ = 0;
    std::size_t vms_ = 1;
};

}  // namespace radishpulley::relay
