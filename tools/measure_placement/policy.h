/// What the measurement compares.
#pragma once

#include <memory>
#include <vector>

#include "world.h"

namespace radishpulley::measure {

/// Engines and weight store of one run.
struct world {
    world();
    event_queue events;
    weight_store store{events};
    std::vector<std::unique_ptr<engine_model>> engines;
};

/// Places requests and orders loads and evictions.
class policy {
public:
    virtual ~policy() = default;
    virtual void place(job& it) = 0;
    /// Bytes of control messages that crossed regions.
    virtual std::uint64_t control_bytes() const { return 0; }
    /// Control messages between daemons, also within a region.
    virtual std::uint64_t control_messages() const { return 0; }
};

enum class plain_kind { random, least_loaded, lru };

/// Returns a policy that loads on demand and evicts the least recently used idle adapter.
std::unique_ptr<policy> make_plain_policy(world& where, plain_kind kind, std::uint64_t seed);

/// Returns the router and slot_controller of this project, on nine daemons.
/// With `regions_known` the router is told each adapter's usual region.
std::unique_ptr<policy> make_fleet_policy(world& where, std::uint64_t seed, bool regions_known);

}  // namespace radishpulley::measure
