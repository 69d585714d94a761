/// Decides to which availability zones' endpoints one request may be sent.
#pragma once

#include <utility>

#include "routing/allowed_regions.h"
#include "routing/location.h"
#include "routing/zone_evacuations.h"

namespace radishpulley::routing {

/// The allowed regions of a request, and the evacuated zones. Refers to the tables that it was made
/// from, so it is made anew for each decision.
class zone_filter {
public:
    /// Permits every zone.
    zone_filter() = default;
    zone_filter(allowed_regions regions, const location& zones, const zone_evacuations& evacuations)
        : regions_(std::move(regions)), zones_(&zones), evacuations_(&evacuations) {}

    /// Whether the request may be sent to endpoints of the zone now.
    bool permits(const zone_id& zone) const { return is_allowed(zone) && !is_evacuated(zone); }
    /// Whether the zone is in an allowed region. A zone of an unknown region is in none.
    bool is_allowed(const zone_id& zone) const {
        if (!regions_.is_restricted()) {
            return true;
        }
        const region_id* region = zones_ == nullptr ? nullptr : zones_->region_of(zone);
        return region != nullptr && regions_.allows(*region);
    }
    bool is_evacuated(const zone_id& zone) const {
        return evacuations_ != nullptr && evacuations_->is_evacuated(zone);
    }
    const allowed_regions& regions() const { return regions_; }

private:
    allowed_regions regions_;
    const location* zones_ = nullptr;
    const zone_evacuations* evacuations_ = nullptr;
};

}  // namespace radishpulley::routing
