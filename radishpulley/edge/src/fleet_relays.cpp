#include "fleet_relays.h"

#include <algorithm>

namespace radishpulley::edge {

fleet_relays::fleet_relays(const clock& time, const member_settings& self,
                           const fleet_member& fleet)
    : time_(time), vm_(self.vm), zone_(self.zone), region_(self.region), fleet_(fleet) {}

std::optional<gateway::relay_target> fleet_relays::choose(const service_id& service,
                                                          const routing::allowed_regions& regions,
                                                          const request_id& request,
                                                          const std::set<vm_id>& excluded) const {
    std::vector<routing::relay_candidate> candidates = fleet_.relay_candidates(time_.now());
    const auto is_unfit = [&](const routing::relay_candidate& it) {
        return excluded.count(it.vm) != 0 || is_cut_off_(it.vm, service);
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), is_unfit),
                     candidates.end());
    const routing::relay_candidate* best =
        routing::choose_relay(candidates, zone_, region_, regions, request);
    return best == nullptr ? std::nullopt
                           : std::make_optional(gateway::relay_target{best->vm, best->address});
}

}  // namespace radishpulley::edge
