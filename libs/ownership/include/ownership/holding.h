/// Who holds what: entries of the ownership table and their stored form.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifier.h"
#include "object_api/object_store.h"

namespace radishpulley::ownership {

/// Name of one thing that has at most one holder, such as `engine/e1` or `weight-store`.
using holding_id = identifier<struct holding_tag>;

/// Grows at every change of a holding's holder.
using fencing_number = std::uint64_t;

/// Position of one object of the table.
using shard_index = std::uint32_t;

/// One entry of the table. It outlives its holders, so that fencing numbers never repeat.
struct holding {
    holding_id id;
    /// The name is empty while nobody holds it.
    vm_incarnation holder;
    fencing_number fence = 0;
    /// Earlier holders that were replaced on suspicion; each may still be running.
    std::vector<vm_incarnation> suspects;

    bool vacant() const { return holder.vm.empty(); }
};

/// One object of the table as it was read.
struct shard {
    shard_index index = 0;
    object_api::object_version version = 0;
    std::vector<holding> holdings;
};

/// Returns the stored form of a shard's holdings.
std::string encode(const std::vector<holding>& holdings);

/// Reads the stored form; throws invalid_input.
std::vector<holding> decode(std::string_view text);

/// Returns the shard that keeps `id`.
shard_index shard_of(const holding_id& id, shard_index shards);

}  // namespace radishpulley::ownership
