/// Reads and commits the ownership table through the object API.
#pragma once

#include <optional>
#include <variant>

#include "object_api/object_store.h"
#include "ownership/ownership_policy.h"

namespace radishpulley::ownership {

/// The update was committed; `copy` is the shard after it.
struct committed {
    shard copy;
};

/// A concurrent update came first; nothing of this one was applied.
struct superseded {
    shard copy;
};

/// The outcome is unknown. The caller has to read the shard again before it relies on the update.
struct indeterminate {};

/// Returns the shard that a store has after it came back from an older copy, with the entries of
/// `known` that the copy lacks or has with a lower fencing number: what the store has lost stays in
/// force.
shard merge_restored(const shard& known, const shard& restored);

/// Returns the shard after all assignments of `update`, or nothing if one of its entries does not
/// have the expected fencing number.
std::optional<shard> try_apply(const shard& copy, const shard_update& update);

using commit_result = std::variant<committed, superseded, indeterminate>;
using read_result = std::variant<shard, object_api::unreachable>;

/// Access to the objects of the table, which are named `<prefix><index>`. Thread-safe.
class ownership_store {
public:
    /// `store` must outlive this object.
    explicit ownership_store(object_api::object_store& store, std::string prefix = "ownership/");

    /// Reads one shard. An object that does not exist is an empty shard of version 0.
    /// Throws invalid_input if the stored text is malformed.
    read_result read(shard_index index);

    /// Applies all assignments of `update` in one conditional update, or none: each requires that
    /// its entry still has the expected fencing number. Retries on conflicts with updates of other
    /// entries.
    commit_result commit(const shard_update& update);

private:
    std::string object_name(shard_index index) const;

    object_api::object_store& store_;
    std::string prefix_;
};

}  // namespace radishpulley::ownership
