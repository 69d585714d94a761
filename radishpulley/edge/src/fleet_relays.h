/// The VMs of the fleet to which requests are passed on.
#pragma once

#include <functional>

#include "edge/fleet_member.h"
#include "gateway/relay_peers.h"

namespace radishpulley::edge {

/// Chooses among the VMs that are heard and don't leave.
class fleet_relays final : public gateway::relay_peers {
public:
    fleet_relays(const clock& time, const member_settings& self, const fleet_member& fleet);

    /// Sets the function that returns whether a VM states that it doesn't reach a service.
    void set_is_cut_off(std::function<bool(const vm_id&, const service_id&)> is_cut_off) {
        is_cut_off_ = std::move(is_cut_off);
    }

    std::optional<gateway::relay_target> choose(const service_id& service,
                                                const routing::allowed_regions& regions,
                                                const request_id& request,
                                                const std::set<vm_id>& excluded) const override;
    const vm_id& self() const override { return vm_; }
    const std::string& secret() const override { return fleet_.secret(); }

private:
    const clock& time_;
    const vm_id vm_;
    const routing::relay_seeker location_;
    const fleet_member& fleet_;
    std::function<bool(const vm_id&, const service_id&)> is_cut_off_ =
        [](const vm_id&, const service_id&) { return false; };
};

}  // namespace radishpulley::edge
