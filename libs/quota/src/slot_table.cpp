#include "quota/slot_table.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/findings.h"

namespace radishpulley::quota {
namespace {

using nlohmann::json;

json to_json(const slot_entry& it) {
    json value = {{"fence", it.fence}};
    if (it.owner) {
        value["vm"] = it.owner->vm.str();
        value["incarnation"] = it.owner->incarnation;
    }
    return value;
}

slot_entry parse_entry(const json& value, const std::string& place, findings& found) {
    slot_entry it;
    if (!value.is_object() || !value.contains("fence") || !value["fence"].is_number_unsigned()) {
        found.add(place, "must be an object with an unsigned fence");
        return it;
    }
    it.fence = value["fence"].get<fence_number>();
    if (!value.contains("vm")) {
        return it;
    }
    if (!value["vm"].is_string() || !value.contains("incarnation") ||
        !value["incarnation"].is_number_unsigned()) {
        found.add(place, "must name its owner by a vm and an unsigned incarnation");
        return it;
    }
    it.owner = vm_incarnation{vm_id(value["vm"].get<std::string>()),
                              value["incarnation"].get<incarnation_number>()};
    return it;
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
    return json{{"slots", slots}}.dump();
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
        const std::string place = "slots[" + std::to_string(it.slots.size()) + "]";
        it.slots.push_back(parse_entry(entry, place, found));
    }
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

slot_table claim_slots(const slot_table& now, const fleet_view& fleet) {
    slot_table next = now;
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
    for (slot_entry& it : next.slots) {
        if (it.owner == self) {
            it = {std::nullopt, it.fence + 1};
        }
    }
    return next;
}

}  // namespace radishpulley::quota
