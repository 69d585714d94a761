/// Tells on which VMs a ticket is in force, from numbers that the daemons report and relay.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"
#include "model/ticket.h"

namespace radishpulley::tickets {

/// Message: the number that one VM has in force.
struct in_force_report {
    vm_incarnation vm;
    model::ticket_number number = 0;
};

/// On which VMs a ticket is in force.
struct rollout_status {
    std::vector<vm_id> in_force;
    std::vector<vm_id> missing;
};

/// Collects and relays reports. Each neighbour is sent only what changed since the last time.
class rollout {
public:
    /// Position up to which a neighbour has been told; 0 for a new connection.
    using position = std::uint64_t;

    /// Takes reports of this VM or of a peer; older ones change nothing.
    void take(gsl::span<const in_force_report> reports);

    /// Forgets VMs that are not in `vms`.
    void keep_only(const std::vector<vm_id>& vms);

    /// Returns reports that changed after `told`, and moves `told` to now.
    std::vector<in_force_report> news(position& told) const;

    /// Returns where ticket `number` or a later one is in force, among `vms`.
    rollout_status status(model::ticket_number number, const std::vector<vm_id>& vms) const;

private:
    struct entry {
        in_force_report report;
        position changed = 0;
    };
    std::map<vm_id, entry> entries_;
    position last_ = 0;
};

}  // namespace radishpulley::tickets
