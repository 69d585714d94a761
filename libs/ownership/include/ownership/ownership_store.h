/// Reads and commits the ownership table through the object API.
#pragma once

#include <optional>
#include <variant>

#include "object_api/object_store.h"
#include "ownership/ownership_policy.h"

namespace radishpulley::ownership {

/// The update is in the table; `copy` is the shard after it.
struct committed {
    shard copy;
};

/// Another update came first; nothing of this one was applied.
struct superseded {
    shard copy;
};

/// The store did not say; read the shard again before anything follows from the update.
struct undecided {};

/// Returns the shard after all assignments of `update`, or nothing where one of its entries has
/// another fencing number than expected.
std::optional<shard> try_apply(const shard& copy, const shard_update& update);

using commit_result = std::variant<committed, superseded, undecided>;
using read_result = std::variant<shard, object_api::unreachable>;

/// The table's objects, named `<prefix><index>`. Safe to call from several threads at once.
class ownership_store {
public:
    /// `store` must outlive this object.
    explicit ownership_store(object_api::object_store& store, std::string prefix = "ownership/");

    /// Reads one shard; an object that does not exist is an empty shard of version 0.
    /// Throws invalid_input where the stored text cannot be read.
    read_result read(shard_index index);

    /// Applies all assignments of `update` by one conditional update, or none: each needs that its
    /// entry still has the expected fencing number. Retries conflicts with other entries' updates.
    commit_result commit(const shard_update& update);

private:
    std::string name_of(shard_index index) const;

    object_api::object_store& store_;
    std::string prefix_;
};

}  // namespace radishpulley::ownership
