/// Entries of the ownership table and their stored form.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifier.h"
#include "object_api/object_store.h"

namespace radishpulley::ownership {

/// Name of a resource that has at most one holder, such as `engine/e1` or `weight-store`.
using holding_id = identifier<struct holding_tag>;

/// Increases each time the holder of a holding changes.
using fencing_number = std::uint64_t;

/// Index of one object of the table.
using shard_index = std::uint32_t;

/// One entry of the table. It outlives its holders, so fencing numbers never repeat while the store
/// loses nothing; `ownership_policy::set_min_fence` keeps that across a restore.
struct holding {
    holding_id id;
    /// The VM name is empty while the entry has no holder.
    vm_incarnation holder;
    fencing_number fence = 0;
    /// Former holders that were replaced on suspicion. Each of them may still be running.
    std::vector<vm_incarnation> suspects;

    bool vacant() const { return holder.vm.empty(); }
};

/// Content of one object of the table at a version.
struct shard {
    shard_index index = 0;
    object_api::object_version version = 0;
    std::vector<holding> holdings;
};

/// Serializes the holdings of a shard.
std::string encode(const std::vector<holding>& holdings);

/// Parses the stored form. Throws invalid_input if it is malformed.
std::vector<holding> decode(std::string_view text);

/// Returns the index of the shard that stores `id`.
shard_index shard_of(const holding_id& id, shard_index shards);

}  // namespace radishpulley::ownership
