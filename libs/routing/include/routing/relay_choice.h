/// Chooses the VM that serves a request in place of one that reaches no endpoint of its service.
///
/// Pure.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"
#include "routing/allowed_regions.h"
#include "routing/rendezvous.h"

namespace radishpulley::routing {

/// Another VM of the fleet.
struct relay_candidate {
    vm_id vm;
    zone_id zone;
    region_id region;
    /// Address at which it accepts requests of its peers, IP:PORT.
    std::string address;
    /// Whether it can serve requests of others now.
    bool is_fit = true;
};

/// The VM that looks for one to serve its request.
struct relay_seeker {
    zone_id zone;
    region_id region;
};

namespace detail {

enum class relay_distance { same_zone, same_region, elsewhere };

inline relay_distance distance_of(const relay_candidate& it, const relay_seeker& from) {
    if (it.zone == from.zone) {
        return relay_distance::same_zone;
    }
    return it.region == from.region ? relay_distance::same_region : relay_distance::elsewhere;
}

}  // namespace detail

/// Returns the VM that serves the request: one of the zone if at least half of its VMs are fit,
/// else one of the region on the same condition, else one of all regions that the request may pass.
/// So the fit ones of a zone that is mostly cut off don't get the requests of all others in it.
/// Requests are spread evenly. Returns null if no VM is fit.
inline const relay_candidate* choose_relay(gsl::span<const relay_candidate> vms,
                                           const relay_seeker& from, const allowed_regions& regions,
                                           const request_id& request) {
    const relay_candidate* best = nullptr;
    for (const auto reach : {detail::relay_distance::same_zone, detail::relay_distance::same_region,
                             detail::relay_distance::elsewhere}) {
        std::size_t all = 0;
        std::size_t fit = 0;
        best = nullptr;
        for (const relay_candidate& it : vms) {
            // The request is in this VM's region already.
            const bool may_pass = it.region == from.region || regions.allows(it.region);
            if (!may_pass || detail::distance_of(it, from) > reach) {
                continue;
            }
            ++all;
            if (!it.is_fit) {
                continue;
            }
            ++fit;
            const bool is_better = best == nullptr || rendezvous_score(request.str(), it.vm) <
                                                          rendezvous_score(request.str(), best->vm);
            best = is_better ? &it : best;
        }
        if (best != nullptr && fit * 2 >= all) {
            return best;
        }
    }
    return best;
}

}  // namespace radishpulley::routing
