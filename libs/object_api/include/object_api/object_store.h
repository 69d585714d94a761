/// The platform's object API as an interface: versioned values, conditional updates, watches.
///
/// Calls block for at most the deadline that the implementation was built with. An answer can be
/// lost after the update took effect, which is why updates have the result `outcome_unknown`.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace radishpulley::object_api {

/// Version of one object: 0 while it does not exist, and higher after every update.
using object_version = std::uint64_t;

/// Position in the order of all updates of the store.
using store_revision = std::uint64_t;

/// Longest value, in bytes.
constexpr std::size_t max_value_size = 1'000'000;

/// One stored value.
struct object {
    std::string value;
    object_version version = 0;
};

/// The object does not exist.
struct not_found {};

/// The store did not answer, and nothing was changed by this call.
struct unreachable {};

/// The store did not answer; the update may have taken effect, now or later.
struct outcome_unknown {};

/// The update took effect and the object has this version.
struct stored {
    object_version version = 0;
};

/// The object had another version than expected; nothing was changed.
struct conflict {
    object_version current = 0;
};

using get_result = std::variant<object, not_found, unreachable>;
using put_result = std::variant<stored, conflict, outcome_unknown>;

/// Result of a watch that the store answered. `changed` is empty when the wait ran out, which still
/// proves that the store was reachable. `complete` is false where older changes are missing, and
/// then everything below the prefix must be read again.
struct watch_answer {
    std::vector<std::string> changed;
    store_revision revision = 0;
    bool complete = true;
};
using watch_result = std::variant<watch_answer, unreachable>;

/// Names of objects, in order.
using list_result = std::variant<std::vector<std::string>, unreachable>;

/// Client of the object API. Safe to call from several threads at once.
class object_store {
public:
    virtual ~object_store() = default;

    /// Reads one object.
    virtual get_result get(std::string_view name) = 0;

    /// Writes `value` if the object's version is `expected`; 0 creates it.
    virtual put_result put(std::string_view name, std::string_view value,
                           object_version expected) = 0;

    /// Deletes the object if its version is `expected`. The result `stored` has version 0.
    virtual put_result remove(std::string_view name, object_version expected) = 0;

    /// Lists the names that begin with `prefix`.
    virtual list_result list(std::string_view prefix) = 0;

    /// Waits until an object below `prefix` changes after `since`, at most for `wait`.
    /// With `since` 0 it answers at once with the present revision and nothing changed.
    virtual watch_result watch(std::string_view prefix, store_revision since, duration wait) = 0;
};

}  // namespace radishpulley::object_api
