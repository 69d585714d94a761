#include "membership/neighbours.h"

#include <algorithm>
#include <string>

#include "base/digest.h"

namespace radishpulley::membership {
namespace {

using object_api::vm_entry;

std::uint64_t weight(const vm_id& selector, const vm_id& candidate) {
    return stable_hash(selector.str() + "/" + candidate.str());
}

bool contains(const std::vector<vm_id>& selected, const vm_id& vm) {
    return std::find(selected.begin(), selected.end(), vm) != selected.end();
}

// Selects a VM for which `allowed` returns true, by rendezvous hashing.
template <typename Allowed>
bool select_one(const vm_id& self, gsl::span<const vm_entry> vms, std::vector<vm_id>& selected,
                Allowed allowed) {
    const vm_entry* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const vm_entry& it : vms) {
        if (it.vm == self || contains(selected, it.vm) || !allowed(it)) {
            continue;
        }
        const std::uint64_t candidate = weight(self, it.vm);
        if (best == nullptr || candidate > best_weight) {
            best = &it;
            best_weight = candidate;
        }
    }
    if (best != nullptr) {
        selected.push_back(best->vm);
    }
    return best != nullptr;
}

// Position on the hash ring of a zone.
std::uint64_t ring_position(const vm_id& vm) {
    return stable_hash("ring/" + vm.str());
}

void select_successor(const vm_entry& self, gsl::span<const vm_entry> vms,
                      std::vector<vm_id>& selected) {
    const std::uint64_t own = ring_position(self.vm);
    const vm_entry* best = nullptr;
    std::uint64_t best_distance = 0;
    for (const vm_entry& it : vms) {
        if (it.vm == self.vm || it.zone != self.zone) {
            continue;
        }
        // Unsigned subtraction wraps around the ring.
        const std::uint64_t distance = ring_position(it.vm) - own;
        if (best == nullptr || distance < best_distance) {
            best = &it;
            best_distance = distance;
        }
    }
    if (best != nullptr) {
        selected.push_back(best->vm);
    }
}

}  // namespace

std::vector<vm_id> select_neighbours(const vm_id& self, gsl::span<const vm_entry> vms) {
    std::vector<vm_id> selected;
    const auto own =
        std::find_if(vms.begin(), vms.end(), [&](const vm_entry& it) { return it.vm == self; });
    if (own == vms.end() || static_cast<std::size_t>(vms.size()) <= full_mesh_limit) {
        for (const vm_entry& it : vms) {
            if (it.vm != self) {
                selected.push_back(it.vm);
            }
        }
        return selected;
    }
    const vm_entry& own_entry = *own;
    const auto in_zone = [&](const vm_entry& it) { return it.zone == own_entry.zone; };
    const auto in_region = [&](const vm_entry& it) {
        return it.region == own_entry.region && it.zone != own_entry.zone;
    };
    const auto in_another_region = [&](const vm_entry& it) {
        return it.region != own_entry.region;
    };
    const auto anywhere = [](const vm_entry&) { return true; };
    select_successor(own_entry, vms, selected);
    if (selected.empty()) {
        select_one(self, vms, selected, anywhere);
    }
    select_one(self, vms, selected, in_zone) || select_one(self, vms, selected, anywhere);
    select_one(self, vms, selected, in_region) || select_one(self, vms, selected, anywhere);
    select_one(self, vms, selected, in_another_region) || select_one(self, vms, selected, anywhere);
    return selected;
}

}  // namespace radishpulley::membership
