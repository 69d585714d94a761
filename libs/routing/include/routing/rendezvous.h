/// Rendezvous hashing: ranks VMs for a subject; every VM computes the same ranking.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

/// Returns the `count` highest-ranked of `vms`, or all if they are fewer; the highest first.
inline std::vector<vm_id> rendezvous_top(std::string_view subject, gsl::span<const vm_id> vms,
                                         std::size_t count) {
    std::vector<std::pair<std::uint64_t, const vm_id*>> scored;
    scored.reserve(vms.size());
    for (const vm_id& vm : vms) {
        scored.emplace_back(rendezvous_score(subject, vm), &vm);
    }
    const std::size_t n = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(n), scored.end(),
                      [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<vm_id> out;
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(*scored[i].second);
    }
    return out;
}

}  // namespace radishpulley::routing
