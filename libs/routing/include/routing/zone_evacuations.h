/// The availability zones that the operator evacuates: nothing more is sent to their endpoints.
///
/// Pure; not thread-safe.
#pragma once

#include <set>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"

namespace radishpulley::routing {

/// Effect of an update on the evacuated zones.
struct evacuation_changes {
    std::vector<zone_id> begun;
    std::vector<zone_id> ended;

    bool empty() const { return begun.empty() && ended.empty(); }
};

/// The set of evacuated zones.
class zone_evacuations {
public:
    /// Replaces the set by a complete list.
    evacuation_changes on_list(gsl::span<const zone_id> zones);
    evacuation_changes on_begin(const zone_id& zone);
    evacuation_changes on_end(const zone_id& zone);

    bool is_evacuated(const zone_id& zone) const { return zones_.count(zone) != 0; }
    const std::set<zone_id>& zones() const { return zones_; }

private:
    std::set<zone_id> zones_;
};

}  // namespace radishpulley::routing
