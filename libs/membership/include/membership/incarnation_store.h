/// Numbers the starts of the daemon on one VM, through the object API.
#pragma once

#include <variant>

#include "base/identifier.h"
#include "object_api/object_store.h"

namespace radishpulley::membership {

/// The object API did not answer: the daemon has no incarnation yet.
///
/// It must not use a number of its own making. Until it gets one it serves by what peers tell it,
/// but takes no lease and grants nothing in its VM's name.
struct incarnation_unknown {};

using incarnation_result = std::variant<vm_incarnation, incarnation_unknown>;

/// Raises the counter `vms/<vm>`. Blocking.
class incarnation_store {
public:
    explicit incarnation_store(object_api::object_store& api) : api_(api) {}

    /// Returns a number that no start of this VM had before. A lost answer costs a number, which is
    /// harmless. Two processes that start at once get different numbers.
    incarnation_result next_incarnation(const vm_id& vm);

private:
    object_api::object_store& api_;
};

}  // namespace radishpulley::membership
