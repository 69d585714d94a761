/// What a daemon's copies of the configuration and of the keys cost.
#pragma once

#include <cstddef>

namespace radishpulley::measure {

/// Costs of one daemon.
struct copy_costs {
    double configuration_bytes = 0;
    double head_bytes = 0;
    double largest_shard_bytes = 0;
    double apply_us = 0;
    double bytes_per_key = 0;
    double lookup_ns = 0;
    double update_us = 0;
};

/// Measures with this many adapters, of one version each, and keys.
copy_costs measure_copies(std::size_t adapters, std::size_t keys);

}  // namespace radishpulley::measure
