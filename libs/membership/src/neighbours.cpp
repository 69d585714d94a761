#include "membership/neighbours.h"

#include <algorithm>
#include <string>

#include "base/digest.h"

namespace radishpulley::membership {
namespace {

using object_api::vm_entry;

std::uint64_t weight(const vm_id& chooser, const vm_id& candidate) {
    return stable_hash(chooser.str() + "/" + candidate.str());
}

bool contains(const std::vector<vm_id>& chosen, const vm_id& vm) {
    return std::find(chosen.begin(), chosen.end(), vm) != chosen.end();
}

// Chooses by rendezvous hashing among the VMs that `allowed` admits.
template <typename Allowed>
bool choose_one(const vm_id& self, gsl::span<const vm_entry> vms, std::vector<vm_id>& chosen,
                Allowed allowed) {
    const vm_entry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const vm_entry& it : vms) {
        if (it.vm == self || contains(chosen, it.vm) || !allowed(it)) {
            continue;
        }
        const std::uint64_t candidate = weight(self, it.vm);
        if (best == nullptr || candidate > best_weight) {
            best = &it;
            best_weight = candidate;
        }
    }
    if (best != nullptr) {
        chosen.push_back(best->vm);
    }
    return best != nullptr;
}

// Position on the ring of a zone.
std::uint64_t position(const vm_id& vm) {
    return stable_hash("ring/" + vm.str());
}

void choose_successor(const vm_entry& self, gsl::span<const vm_entry> vms,
                      std::vector<vm_id>& chosen) {
    const std::uint64_t own = position(self.vm);
    const vm_entry* best = nullptr;
    std::uint64_t best_distance = 0;
    for (const vm_entry& it : vms) {
        if (it.vm == self.vm || it.zone != self.zone) {
            continue;
        }
        // Unsigned arithmetic wraps around the ring.
        const std::uint64_t distance = position(it.vm) - own;
        if (best == nullptr || distance < best_distance) {
            best = &it;
            best_distance = distance;
        }
    }
    if (best != nullptr) {
        chosen.push_back(best->vm);
    }
}

}  // namespace

std::vector<vm_id> select_neighbours(const vm_id& self, gsl::span<const vm_entry> vms) {
    std::vector<vm_id> chosen;
    const auto own =
        std::find_if(vms.begin(), vms.end(), [&](const vm_entry& it) { return it.vm == self; });
    if (own == vms.end() || static_cast<std::size_t>(vms.size()) <= full_mesh_limit) {
        for (const vm_entry& it : vms) {
            if (it.vm != self) {
                chosen.push_back(it.vm);
            }
        }
        return chosen;
    }
    const vm_entry& me = *own;
    const auto in_zone = [&](const vm_entry& it) { return it.zone == me.zone; };
    const auto in_region = [&](const vm_entry& it) {
        return it.region == me.region && it.zone != me.zone;
    };
    const auto in_another_region = [&](const vm_entry& it) { return it.region != me.region; };
    const auto anywhere = [](const vm_entry&) { return true; };
    choose_successor(me, vms, chosen);
    if (chosen.empty()) {
        choose_one(self, vms, chosen, anywhere);
    }
    choose_one(self, vms, chosen, in_zone) || choose_one(self, vms, chosen, anywhere);
    choose_one(self, vms, chosen, in_region) || choose_one(self, vms, chosen, anywhere);
    choose_one(self, vms, chosen, in_another_region) || choose_one(self, vms, chosen, anywhere);
    return chosen;
}

}  // namespace radishpulley::membership
