/// Rendezvous hashing: ranks VMs for a subject; every VM computes the same ranking.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <gsl/span>

#include "base/digest.h"
#include "base/identifier.h"

namespace radishpulley::routing {

inline std::uint64_t rendezvous_score(std::string_view subject, const vm_id& vm) {
    return stable_hash(std::string(subject) + "|" + vm.str());
}

/// Returns the rank of `self` among `vms`, from 0.
inline std::size_t rendezvous_rank(std::string_view subject, const vm_id& self,
                                   gsl::span<const vm_id> vms) {
    const std::uint64_t own = rendezvous_score(subject, self);
    return static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [&](const vm_id& vm) {
        return vm != self && rendezvous_score(subject, vm) < own;
    }));
}

/// Returns the highest-ranked of `vms`, which must not be empty.
inline vm_id rendezvous_first(std::string_view subject, gsl::span<const vm_id> vms) {
    return *std::min_element(vms.begin(), vms.end(), [&](const vm_id& a, const vm_id& b) {
        return rendezvous_score(subject, a) < rendezvous_score(subject, b);
    });
}

}  // namespace radishpulley::routing
