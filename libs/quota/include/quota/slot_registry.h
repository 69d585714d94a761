/// The slot table in the platform's object API.
#pragma once

#include <optional>
#include <string_view>

#include "object_api/object_store.h"
#include "quota/slot_table.h"

namespace radishpulley::quota {

/// Name of the table's object.
constexpr std::string_view slot_table_name = "quota/slots";

/// What a call on the table came to.
enum class registry_outcome {
    /// The table read is current.
    current,
    /// The store did not answer; the last table read stays in use.
    unreachable,
    /// An update may have taken effect; read before the table is used for new ownership.
    unknown
};

/// Reads the table and changes it by conditional update. Calls block as the store's do.
///
///     slot_registry registry(store, 16);
///     if (registry.claim(fleet) == registry_outcome::current) node.set_table(registry.table(),
///     now);
class slot_registry {
public:
    /// `slot_count` counts only when no table is stored yet.
    slot_registry(object_api::object_store& store, std::size_t slot_count);

    /// Reads the table.
    registry_outcome refresh();

    /// Claims what the daemon should own, from a table read by this call; repeats after a conflict
    /// or a lost answer, a bounded number of times.
    registry_outcome claim(const fleet_view& fleet);

    /// Releases all slots of `self`. Call it only after the daemon stopped lending for good.
    registry_outcome release(const vm_incarnation& self);

    /// False while a write without an answer may still take effect.
    bool is_settled() const { return !unanswered_; }

    /// Last table read or written; without slots before the first success.
    const slot_table& table() const { return table_; }

private:
    template <typename Change>
    registry_outcome update(Change change);

    object_api::object_store& store_;
    std::size_t slot_count_;
    slot_table table_;
    object_api::object_version version_ = 0;
    /// Version on which a write without an answer depends; it may still take effect there.
    std::optional<object_api::object_version> unanswered_;
};

}  // namespace radishpulley::quota
