/// Access to the slot table in the platform's object API.
#pragma once

#include <optional>
#include <string_view>

#include "object_api/object_store.h"
#include "quota/slot_table.h"

namespace radishpulley::quota {

/// Object name of the slot table.
constexpr std::string_view slot_table_name = "quota/slots";

/// Outcome of a read or an update of the table.
enum class registry_outcome {
    /// The table is current.
    current,
    /// The store did not answer; the last table read remains in use.
    unreachable,
    /// An update may have taken effect; the table has to be read again before new ownership is
    /// derived from it.
    unknown
};

/// Reads the table and changes it by conditional updates. Calls block on the store.
///
///     slot_registry registry(store, 16);
///     if (registry.claim(fleet) == registry_outcome::current) node.set_table(registry.table(),
///     now);
class slot_registry {
public:
    /// `slot_count` applies only when no table is stored yet.
    slot_registry(object_api::object_store& store, std::size_t slot_count);

    /// Reads the table.
    registry_outcome refresh();

    /// Reads the table and claims the slots that the daemon should own. It retries after a conflict
    /// or a lost answer, a bounded number of times.
    registry_outcome claim(const fleet_view& fleet);

    /// Releases all slots of `self`. Valid only after the daemon has stopped lending for good.
    registry_outcome release(const vm_incarnation& self);

    /// Returns false while a write without an answer may still take effect.
    bool is_settled() const { return !unconfirmed_version_; }

    /// Returns the last table read or written; it has no slots before the first successful call.
    const slot_table& table() const { return table_; }

private:
    template <typename Change>
    registry_outcome update(Change change);

    object_api::object_store& store_;
    std::size_t slot_count_;
    slot_table table_;
    object_api::object_version version_ = 0;
    /// Version that a write without an answer was conditional on; the write may still take effect
    /// while the table has this version.
    std::optional<object_api::object_version> unconfirmed_version_;
};

}  // namespace radishpulley::quota
