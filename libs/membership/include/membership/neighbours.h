/// Chooses the peers to which a daemon keeps connections.
#pragma once

#include <cstddef>
#include <vector>

#include <gsl/span>

#include "object_api/vm_list.h"

namespace radishpulley::membership {

/// Largest fleet in which each daemon is connected to every other.
constexpr std::size_t full_mesh_limit = 16;

/// Returns the VMs to which `self` opens connections; it also accepts those of others.
///
/// Up to `full_mesh_limit` these are all others. Beyond it: the successor on a ring of the own
/// zone, one more VM of that zone, one of another zone of the region, and one of another region;
/// with those that others open, about eight connections a VM. Where a choice does not exist, any
/// other VM is taken instead. Equal lists give equal choices, and one VM more or less changes few
/// of them.
std::vector<vm_id> select_neighbours(const vm_id& self, gsl::span<const object_api::vm_entry> vms);

}  // namespace radishpulley::membership
