/// Availability zone and region of a daemon, and the regions of all zones.
#pragma once

#include <map>

#include "base/identifier.h"

namespace radishpulley::routing {

/// Where a daemon runs.
struct location {
    zone_id zone;
    region_id region;
    /// Region of each availability zone of the deployment.
    std::map<zone_id, region_id> regions;

    /// Returns the region of a zone, or null if the deployment does not list the zone.
    const region_id* region_of(const zone_id& it) const {
        const auto found = regions.find(it);
        return found == regions.end() ? nullptr : &found->second;
    }
};

}  // namespace radishpulley::routing
