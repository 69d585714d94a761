#include "routing/peer_contacts.h"

#include <algorithm>
#include <utility>

namespace radishpulley::routing {
namespace {

// Contact is lost once the third status in a row stays out.
constexpr double intervals_per_tolerance = 2.5;
// Tolerances after which a VM that has lost contact with another, too, states so.
constexpr int tolerances_until_stated = 2;

}  // namespace

void peer_contacts::set_members(gsl::span<const member> others, time_point now) {
    std::map<vm_id, record> next;
    for (const member& it : others) {
        const auto known = members_.find(it.vm);
        record& added = next[it.vm];
        if (known != members_.end()) {
            added = std::move(known->second);
        } else {
            added.listed_at = now;
        }
        added.tolerance = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(it.status_interval) * intervals_per_tolerance);
    }
    members_ = std::move(next);
}

void peer_contacts::on_status(const vm_id& from, const stated_losses& its_losses, time_point now) {
    const auto known = members_.find(from);
    if (known == members_.end()) {
        return;
    }
    record& it = known->second;
    it.heard_at = now;
    it.losses = std::set<vm_id>(its_losses.unheard.begin(), its_losses.unheard.end());
    it.more_losses = its_losses.more_unheard || its_losses.more_deaf;
    it.hears_self = !its_losses.more_unheard && it.losses.count(self_) == 0;
    it.losses.insert(its_losses.deaf.begin(), its_losses.deaf.end());
    if (it.hears_self) {
        it.mutual_at = now;
    }
}

bool peer_contacts::is_unheard(const record& it, time_point now) {
    const bool was_heard = it.heard_at != time_point::min();
    return now - (was_heard ? it.heard_at : it.listed_at) > it.tolerance;
}

bool peer_contacts::is_lost(const record& it, time_point now) {
    return is_unheard(it, now) || !it.hears_self;
}

bool peer_contacts::is_contested(const vm_id& vm, const record& it, time_point now) const {
    const time_point lost_at = std::max(it.mutual_at, it.listed_at);
    return std::any_of(members_.begin(), members_.end(), [&](const auto& other) {
        const record& witness = other.second;
        const duration settles =
            std::max(it.tolerance, witness.tolerance) * tolerances_until_stated;
        return other.first != vm && !is_lost(witness, now) &&
               witness.heard_at - lost_at > settles && !witness.more_losses &&
               witness.losses.count(vm) == 0;
    });
}

std::vector<lost_contact> peer_contacts::lost(time_point now) const {
    std::vector<lost_contact> out;
    for (const auto& [vm, it] : members_) {
        if (is_lost(it, now)) {
            out.push_back({vm, it.mutual_at, it.tolerance, is_contested(vm, it, now)});
        }
    }
    return out;
}

stated_losses peer_contacts::to_state(time_point now) const {
    stated_losses out;
    for (const auto& [vm, it] : members_) {
        // A VM that was never heard counts as unheard at once: it may not know this one yet.
        const bool stays_out = is_unheard(it, now) || it.heard_at == time_point::min();
        if (!stays_out && it.hears_self) {
            continue;
        }
        std::vector<vm_id>& list = stays_out ? out.unheard : out.deaf;
        if (list.size() < max_stated_losses) {
            list.push_back(vm);
        } else {
            (stays_out ? out.more_unheard : out.more_deaf) = true;
        }
    }
    return out;
}

}  // namespace radishpulley::routing
