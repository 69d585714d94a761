/// Chooses the VM that serves a request in place of one that reaches no endpoint of its service.
///
/// Pure; every VM chooses alike for the same request.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"
#include "routing/allowed_regions.h"
#include "routing/rendezvous.h"

namespace radishpulley::routing {

/// A VM that could serve the request.
struct relay_candidate {
    vm_id vm;
    zone_id zone;
    region_id region;
    /// Address at which it accepts requests of its peers, IP:PORT.
    std::string address;
};

/// Returns the candidate for the request: one of the zone, else of the region, else of the other
/// regions that the request may pass. Requests are spread over the candidates at that distance.
/// Returns null if there is none.
inline const relay_candidate* choose_relay(gsl::span<const relay_candidate> candidates,
                                           const zone_id& zone, const region_id& region,
                                           const allowed_regions& regions,
                                           const request_id& request) {
    enum distance { same_zone, same_region, elsewhere };
    const auto distance_of = [&](const relay_candidate& it) {
        if (it.zone == zone) {
            return same_zone;
        }
        return it.region == region ? same_region : elsewhere;
    };
    const relay_candidate* best = nullptr;
    const auto is_better = [&](const relay_candidate& it) {
        if (best == nullptr || distance_of(it) != distance_of(*best)) {
            return best == nullptr || distance_of(it) < distance_of(*best);
        }
        return rendezvous_score(request.str(), it.vm) < rendezvous_score(request.str(), best->vm);
    };
    for (const relay_candidate& it : candidates) {
        // The request is in this VM's region already.
        const bool may_pass = it.region == region || regions.allows(it.region);
        if (may_pass && is_better(it)) {
            best = &it;
        }
    }
    return best;
}

}  // namespace radishpulley::routing
