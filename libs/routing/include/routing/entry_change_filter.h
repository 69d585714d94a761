/// Filters the changes of directory entries that every VM needs from those that only follow adapter
/// loads.
///
/// An entry changes with every adapter that an engine loads; the engine's holder announces those
/// changes by itself. Pure; not thread-safe.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "routing/endpoint.h"

namespace radishpulley::routing {

/// Keeps the last relevant fields of each endpoint's entry.
class entry_change_filter {
public:
    /// Records an entry; returns whether it is new or differs from the previous one in anything but
    /// adapters.
    bool update(const endpoint& it) {
        std::vector<std::string> models;
        for (const held_model& each : it.models) {
            models.push_back(each.name);
        }
        const entry_fields fields{it.service,  it.address,       it.zone, it.slots,
                                  it.draining, it.started_at_ms, models};
        const auto [at, added] = last_entries_.try_emplace(it.id, fields);
        if (!added && at->second == fields) {
            return false;
        }
        at->second = fields;
        return true;
    }

    void remove(const endpoint_id& id) { last_entries_.erase(id); }
    void clear() { last_entries_.clear(); }

private:
    using entry_fields = std::tuple<service_id, std::string, zone_id, std::uint32_t, bool,
                                    std::int64_t, std::vector<std::string>>;

    std::map<endpoint_id, entry_fields> last_entries_;
};

}  // namespace radishpulley::routing
