/// Compact form of a list of names that resemble each other, as those of a fleet's VMs do.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <gsl/span>

#include "base/identifier.h"

namespace radishpulley::wire {

/// Packs names in order: for each the number of leading bytes that it shares with the one before,
/// the number of the others, and those. Numbers have seven bits in a byte, lowest first.
std::vector<std::uint8_t> pack_names(std::vector<vm_id> names);

/// Returns the names, sorted. Throws invalid_input for bytes that `pack_names` does not make.
std::vector<vm_id> unpack_names(gsl::span<const std::uint8_t> packed);

}  // namespace radishpulley::wire
