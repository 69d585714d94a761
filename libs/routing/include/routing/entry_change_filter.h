/// Tells changes of an endpoint's entry that every VM needs from those that follow each adapter.
///
/// Entries change with every adapter that an engine loads, which the engine's holder tells by
/// itself. Pure; not thread-safe.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "routing/endpoint.h"

namespace radishpulley::routing {

/// Remembers what the platform's directory last said of each endpoint.
class entry_change_filter {
public:
    /// Takes an entry; returns whether it is new, or says something else than before apart from
    /// adapters.
    bool update(const endpoint& it) {
        std::vector<std::string> models;
        for (const held_model& each : it.models) {
            models.push_back(each.name);
        }
        const facts said{it.service,  it.address,       it.zone, it.slots,
                         it.draining, it.started_at_ms, models};
        const auto [at, added] = known_.try_emplace(it.id, said);
        if (!added && at->second == said) {
            return false;
        }
        at->second = said;
        return true;
    }

    void remove(const endpoint_id& id) { known_.erase(id); }
    void clear() { known_.clear(); }

private:
    using facts = std::tuple<service_id, std::string, zone_id, std::uint32_t, bool, std::int64_t,
                             std::vector<std::string>>;

    std::map<endpoint_id, facts> known_;
};

}  // namespace radishpulley::routing
