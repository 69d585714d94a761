/// Filters the changes of directory entries that every VM needs from those that only follow adapter
/// loads.
///
/// An entry changes with every adapter that an engine loads; the engine's holder announces those
/// changes by itself. Pure; not thread-safe.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "routing/endpoint.h"

namespace radishpulley::routing {

/// Keeps the last relevant fields of each endpoint's entry.
class entry_change_filter {
public:
    /// Records an entry; returns whether it is new or differs from the previous one in anything but
    /// adapters and a cold time that runs down.
    bool update(const endpoint& it) {
        std::vector<std::string> models;
        for (const held_model& each : it.models) {
            models.push_back(each.name);
        }
        const entry_fields fields{it.service,  it.address,       it.zone, it.slots,
                                  it.draining, it.started_at_ms, models,  it.software_version};
        const auto [at, added] = last_entries_.try_emplace(it.id, entry{fields, it.cold_left});
        const bool is_change = added || at->second.fields != fields ||
                               is_cold_change(at->second.cold_left, it.cold_left);
        at->second = {fields, it.cold_left};
        return is_change;
    }

    void remove(const endpoint_id& id) { last_entries_.erase(id); }
    void clear() { last_entries_.clear(); }

private:
    using entry_fields = std::tuple<service_id, std::string, zone_id, std::uint32_t, bool,
                                    std::int64_t, std::vector<std::string>, std::string>;
    using cold_time = std::optional<std::chrono::milliseconds>;
    struct entry {
        entry_fields fields;
        cold_time cold_left;
    };

    static bool is_cold_change(const cold_time& before, const cold_time& after) {
        const bool is_same_kind = before.has_value() == after.has_value();
        // A time that grows is that of an endpoint that became cold again.
        const bool is_running_down =
            before && after && *after <= *before && (after->count() > 0) == (before->count() > 0);
        return !is_same_kind || (after && !is_running_down);
    }

    std::map<endpoint_id, entry> last_entries_;
};

}  // namespace radishpulley::routing
