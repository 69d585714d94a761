/// Selects the peers to which a daemon keeps connections.
#pragma once

#include <cstddef>
#include <vector>

#include <gsl/span>

#include "object_api/vm_list.h"

namespace radishpulley::membership {

/// Largest fleet in which each daemon is connected to every other.
constexpr std::size_t full_mesh_limit = 16;

/// Returns the VMs to which `self` opens connections. It also accepts connections of others.
///
/// Up to `full_mesh_limit` VMs these are all others. In a larger fleet they are the successor on a
/// hash ring of the own zone, one more VM of that zone, one of another zone of the region, and one
/// of another region. Together with the connections that others open, this makes about eight
/// connections per VM. If there is no such VM, any other VM is selected instead. Equal lists give
/// equal selections, and adding or removing one VM changes few of them.
std::vector<vm_id> select_neighbours(const vm_id& self, gsl::span<const object_api::vm_entry> vms);

}  // namespace radishpulley::membership
