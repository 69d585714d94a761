/// Which daemon owns which slot: the one agreement behind the token loans.
///
/// An owner has no time limit. Its slots are free for others when it released them, or when its
/// death is certain: a later incarnation of its VM exists, or the VM left the platform's list. A
/// daemon that can't reach the owners says so in the table, and owners give it idle slots.
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
    /// 0 until the slot was first owned.
    fence_number fence = 0;

    friend bool operator==(const slot_entry& a, const slot_entry& b) {
        return a.owner == b.owner && a.fence == b.fence;
    }
};

/// Ownership of all slots. The number of slots is fixed when the table is first stored.
struct slot_table {
    std::vector<slot_entry> slots;
    /// Daemons that refuse requests because they can't reach owners.
    std::set<vm_incarnation> wishes;

    friend bool operator==(const slot_table& a, const slot_table& b) {
        return a.slots == b.slots && a.wishes == b.wishes;
    }
};

/// Returns a table as JSON text and back; `parse_slot_table` throws invalid_input.
std::string to_text(const slot_table& it);
slot_table parse_slot_table(std::string_view text);

/// What one daemon knows about the fleet when it looks for slots to claim.
struct fleet_view {
    vm_incarnation self;
    /// VMs in the platform's list that are not leaving.
    std::set<vm_id> live;
    /// VMs in the platform's list, also those leaving.
    std::set<vm_id> listed;
    /// VMs that were once in the list, as far as this daemon saw it.
    std::set<vm_id> seen;
    /// Latest incarnation known of each VM.
    std::map<vm_id, incarnation_number> incarnations;
    /// This daemon refuses requests because it can't reach owners.
    bool is_cut_off = false;
    /// Slots of this daemon that it has stopped lending, because nobody borrows from them here.
    std::set<slot_number> retired;
};

/// Returns true when `owner` can certainly run no more.
bool is_certainly_dead(const vm_incarnation& owner, const fleet_view& fleet);

/// Returns the live VM that should own a slot, by rendezvous hashing; empty when none is live.
std::optional<vm_id> preferred_owner(slot_number slot, const std::set<vm_id>& live);

/// Returns the table with every claim that `fleet.self` should make now: free slots that it is the
/// preferred owner of. Retired slots go to a daemon that wishes for some. The result equals `now`
/// when there is nothing to change.
slot_table claim_slots(const slot_table& now, const fleet_view& fleet);

/// Returns the table without `self` as an owner, for a daemon that stops and has stopped lending.
slot_table release_slots(const slot_table& now, const vm_incarnation& self);

}  // namespace radishpulley::quota
