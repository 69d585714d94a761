/// Which services other VMs do not reach, as their statuses state it.
///
/// Pure; not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::routing {

/// Statements of other VMs, each of which is valid for a time.
class peer_reachability {
public:
    /// Replaces what a VM stated before by the services that it does not reach.
    void on_status(const vm_id& from, const std::vector<service_id>& unreached, time_point now,
                   duration lifetime);
    /// Drops what is no longer valid.
    void drop_expired(time_point now);

    /// Whether a valid statement says that the VM does not reach the service.
    bool states_unreached(const vm_id& vm, const service_id& service, time_point now) const;
    /// Returns the VMs that state this of the service, ordered by id.
    std::vector<vm_id> without(const service_id& service, time_point now) const;
    /// Returns for each VM the services that it states as unreached.
    std::map<vm_id, std::set<service_id>> unreached(time_point now) const;

private:
    struct statement {
        std::set<service_id> unreached;
        time_point ends_at{};
    };

    std::map<vm_id, statement> statements_;
};

}  // namespace radishpulley::routing
