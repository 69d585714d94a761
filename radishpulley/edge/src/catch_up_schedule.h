/// Decides which VMs send their configuration to a VM that has an older one, and how often. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/rendezvous.h"

namespace radishpulley::edge {

class catch_up_schedule {
public:
    /// Sets the VMs that serve callers, including this one; they take turns.
    void set_vms(const vm_id& self, gsl::span<const vm_id> serving) {
        self_ = self;
        vms_.assign(serving.begin(), serving.end());
    }

    /// Returns whether this VM sends to that one now. Says no for a while once it was asked.
    bool try_send(const vm_id& to, time_point now) {
        drop_old(now);
        const bool is_first = asked_.emplace(to, now).second;
        return is_first && routing::rendezvous_rank("catch-up|" + to.str(), self_, vms_) < senders;
    }

private:
    /// VMs that send to the same one, in case one of them is cut off.
    static constexpr std::size_t senders = 2;
    static constexpr duration interval = std::chrono::seconds(1);

    void drop_old(time_point now) {
        for (auto it = asked_.begin(); it != asked_.end();) {
            it = now - it->second >= interval ? asked_.erase(it) : std::next(it);
        }
    }

    vm_id self_;
    std::vector<vm_id> vms_;
    std::map<vm_id, time_point> asked_;
};

}  // namespace radishpulley::edge
