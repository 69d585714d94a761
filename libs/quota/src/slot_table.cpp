#include "quota/slot_table.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/findings.h"

namespace radishpulley::quota {
namespace {

using nlohmann::json;

json to_json(const vm_incarnation& it) {
    return {{"vm", it.vm.str()}, {"incarnation", it.incarnation}};
}

json to_json(const slot_entry& it) {
    json value = it.owner ? to_json(*it.owner) : json::object();
    value["fence"] = it.fence;
    return value;
}

bool is_incarnation(const json& value) {
    return value.is_object() && value.contains("vm") && value["vm"].is_string() &&
           value.contains("incarnation") && value["incarnation"].is_number_unsigned();
}

vm_incarnation read_incarnation(const json& value) {
    return {vm_id(value["vm"].get<std::string>()), value["incarnation"].get<incarnation_number>()};
}

slot_entry parse_entry(const json& value, const std::string& path, findings& found) {
    slot_entry it;
    if (!value.is_object() || !value.contains("fence") || !value["fence"].is_number_unsigned()) {
        found.add(path, "must be an object with an unsigned fence");
        return it;
    }
    it.fence = value["fence"].get<fence_number>();
    if (!value.contains("vm")) {
        return it;
    }
    if (!is_incarnation(value)) {
        found.add(path, "must name its owner by a vm and an unsigned incarnation");
        return it;
    }
    it.owner = read_incarnation(value);
    return it;
}

std::set<vm_incarnation> parse_wishes(const json& value, findings& found) {
    std::set<vm_incarnation> wishes;
    for (const json& it : value) {
        if (is_incarnation(it)) {
            wishes.insert(read_incarnation(it));
        } else {
            found.add("wishes", "must name daemons by a vm and an unsigned incarnation");
        }
    }
    return wishes;
}

bool is_free(const slot_entry& it, const fleet_view& fleet) {
    return !it.owner || is_certainly_dead(*it.owner, fleet);
}

}  // namespace

std::string to_text(const slot_table& it) {
    json slots = json::array();
    for (const slot_entry& entry : it.slots) {
        slots.push_back(to_json(entry));
    }
    json out = {{"slots", slots}};
    for (const vm_incarnation& wish : it.wishes) {
        out["wishes"].push_back(to_json(wish));
    }
    return out.dump();
}

slot_table parse_slot_table(std::string_view text) {
    findings found;
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("slots") || !value["slots"].is_array() ||
        value["slots"].empty() || value["slots"].size() > max_slot_count) {
        found.add("slots", "must be an array with 1 to 1024 entries");
        throw invalid_input(std::move(found));
    }
    slot_table it;
    for (const json& entry : value["slots"]) {
        const std::string path = "slots[" + std::to_string(it.slots.size()) + "]";
        it.slots.push_back(parse_entry(entry, path, found));
    }
    it.wishes = parse_wishes(value.value("wishes", json::array()), found);
    if (!found.empty()) {
        throw invalid_input(std::move(found));
    }
    return it;
}

bool is_certainly_dead(const vm_incarnation& owner, const fleet_view& fleet) {
    const auto it = fleet.incarnations.find(owner.vm);
    const bool replaced = it != fleet.incarnations.end() && it->second > owner.incarnation;
    const bool self_replaced =
        owner.vm == fleet.self.vm && owner.incarnation < fleet.self.incarnation;
    const bool has_left =
        fleet.seen.count(owner.vm) != 0 && fleet.listed.count(owner.vm) == 0 && owner != fleet.self;
    return replaced || self_replaced || has_left;
}

std::optional<vm_id> preferred_owner(slot_number slot, const std::set<vm_id>& live) {
    std::optional<vm_id> best;
    std::uint64_t best_hash = 0;
    for (const vm_id& it : live) {
        const std::uint64_t hash = stable_hash("slot/" + std::to_string(slot) + "/" + it.str());
        if (!best || hash > best_hash) {
            best = it;
            best_hash = hash;
        }
    }
    return best;
}

namespace {

void update_wishes(std::set<vm_incarnation>& wishes, const fleet_view& fleet) {
    for (auto it = wishes.begin(); it != wishes.end();) {
        const bool is_obsolete = it->vm == fleet.self.vm || is_certainly_dead(*it, fleet);
        it = is_obsolete ? wishes.erase(it) : std::next(it);
    }
    if (fleet.is_cut_off) {
        wishes.insert(fleet.self);
    }
}

// Distributes this daemon's retired slots round-robin over the daemons that request slots.
void hand_over_retired(slot_table& table, const fleet_view& fleet) {
    std::vector<vm_incarnation> recipients(table.wishes.begin(), table.wishes.end());
    recipients.erase(std::remove(recipients.begin(), recipients.end(), fleet.self),
                     recipients.end());
    if (recipients.empty()) {
        return;
    }
    for (const slot_number slot : fleet.retired) {
        slot_entry& entry = table.slots.at(slot);
        if (entry.owner == fleet.self) {
            entry = {recipients[slot % recipients.size()], entry.fence + 1};
        }
    }
}

}  // namespace

slot_table claim_slots(const slot_table& now, const fleet_view& fleet) {
    slot_table next = now;
    update_wishes(next.wishes, fleet);
    hand_over_retired(next, fleet);
    for (std::size_t i = 0; i < next.slots.size(); ++i) {
        slot_entry& entry = next.slots[i];
        if (!is_free(entry, fleet)) {
            continue;
        }
        if (preferred_owner(static_cast<slot_number>(i), fleet.live) == fleet.self.vm) {
            entry = {fleet.self, entry.fence + 1};
        }
    }
    return next;
}

slot_table release_slots(const slot_table& now, const vm_incarnation& self) {
    slot_table next = now;
    next.wishes.erase(self);
    for (slot_entry& it : next.slots) {
        if (it.owner == self) {
            it = {std::nullopt, it.fence + 1};
        }
    }
    return next;
}

}  // namespace radishpulley::quota
