#include "fleet_relays.h"

namespace radishpulley::edge {

fleet_relays::fleet_relays(const clock& time, const member_settings& self,
                           const fleet_member& fleet)
    : time_(time), vm_(self.vm), location_{self.zone, self.region}, fleet_(fleet) {}

std::optional<gateway::relay_target> fleet_relays::choose(const service_id& service,
                                                          const routing::allowed_regions& regions,
                                                          const request_id& request,
                                                          const std::set<vm_id>& excluded) const {
    std::vector<routing::relay_candidate> vms = fleet_.relay_candidates(time_.now());
    for (routing::relay_candidate& it : vms) {
        it.is_fit = it.is_fit && excluded.count(it.vm) == 0 && !is_cut_off_(it.vm, service);
    }
    const routing::relay_candidate* best = routing::choose_relay(vms, location_, regions, request);
    return best == nullptr ? std::nullopt
                           : std::make_optional(gateway::relay_target{best->vm, best->address});
}

}  // namespace radishpulley::edge
