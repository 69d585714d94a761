/// Table of slot owners: the only state on which the daemons have to agree for the token loans.
///
/// Ownership has no time limit. A slot becomes free when its owner releases it or is certainly
/// dead: a later incarnation of its VM exists, or the VM has left the platform's list. A daemon
/// that cannot reach the owners records this in the table, and owners hand over idle slots to it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifier.h"
#include "quota/messages.h"

namespace radishpulley::quota {

/// Largest number of slots.
constexpr std::size_t max_slot_count = 1024;

/// Ownership of one slot.
struct slot_entry {
    /// Empty while the slot has no owner.
    std::optional<vm_incarnation> owner;
    /// 0 until the slot has its first owner.
    fence_number fence = 0;

    friend bool operator==(const slot_entry& a, const slot_entry& b) {
        return a.owner == b.owner && a.fence == b.fence;
    }
};

/// Ownership of all slots. The number of slots is fixed when the table is first stored.
struct slot_table {
    std::vector<slot_entry> slots;
    /// Daemons that request slots because they cannot reach the owners and refuse admissions.
    std::set<vm_incarnation> wishes;

    friend bool operator==(const slot_table& a, const slot_table& b) {
        return a.slots == b.slots && a.wishes == b.wishes;
    }
};

/// Convert a table to JSON text and back. `parse_slot_table` throws invalid_input.
std::string to_text(const slot_table& it);
slot_table parse_slot_table(std::string_view text);

/// A daemon's view of the fleet, from which it derives the slots to claim.
struct fleet_view {
    vm_incarnation self;
    /// VMs in the platform's list that are not leaving.
    std::set<vm_id> live;
    /// VMs in the platform's list, including those that are leaving.
    std::set<vm_id> listed;
    /// VMs that this daemon has ever seen in the list.
    std::set<vm_id> seen;
    /// Latest known incarnation of each VM.
    std::map<vm_id, incarnation_number> incarnations;
    /// Whether this daemon refuses requests because it cannot reach slot owners.
    bool is_cut_off = false;
    /// Slots of this daemon that it has stopped lending because no daemon borrows from them.
    std::set<slot_number> retired;
};

/// Returns true when `owner` is certain to run no more.
bool is_certainly_dead(const vm_incarnation& owner, const fleet_view& fleet);

/// Returns the live VM that should own a slot, chosen by rendezvous hashing; empty when no VM is
/// live.
std::optional<vm_id> preferred_owner(slot_number slot, const std::set<vm_id>& live);

/// Returns the table after `fleet.self` has claimed all free slots of which it is the preferred
/// owner, and handed over its retired slots to the daemons that request slots. The result equals
/// `now` when there is nothing to change.
slot_table claim_slots(const slot_table& now, const fleet_view& fleet);

/// Returns the table without `self` as an owner, for a stopping daemon that no longer lends.
slot_table release_slots(const slot_table& now, const vm_incarnation& self);

}  // namespace radishpulley::quota
