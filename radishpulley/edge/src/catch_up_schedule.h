/// Decides which VMs send their configuration to a VM that has an older one, and how often. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/rendezvous.h"

namespace radishpulley::edge {

class catch_up_schedule {
public:
    /// Returns whether this VM sends now; then it does not send to that VM again for a while.
    bool try_send(const vm_id& self, const vm_id& to, gsl::span<const vm_id> serving,
                  time_point now) {
        drop_old(now);
        const std::size_t rank = routing::rendezvous_rank("catch-up|" + to.str(), self, serving);
        return rank < senders && sent_.emplace(to, now).second;
    }

private:
    /// VMs that send to the same one, in case one of them is cut off.
    static constexpr std::size_t senders = 2;
    static constexpr duration interval = std::chrono::seconds(1);

    void drop_old(time_point now) {
        for (auto it = sent_.begin(); it != sent_.end();) {
            it = now - it->second >= interval ? sent_.erase(it) : std::next(it);
        }
    }

    std::map<vm_id, time_point> sent_;
};

}  // namespace radishpulley::edge
