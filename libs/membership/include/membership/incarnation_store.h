/// Assigns an incarnation number to each start of the daemon on a VM, through the object API.
#pragma once

#include <variant>

#include "base/identifier.h"
#include "object_api/object_store.h"

namespace radishpulley::membership {

/// The object API did not answer: the daemon has no incarnation yet.
///
/// It must not make up a number. Until it has one, it serves requests based on reports of its
/// peers, but acquires no lease and grants nothing on behalf of its VM.
struct incarnation_unknown {};

using incarnation_result = std::variant<vm_incarnation, incarnation_unknown>;

/// Increments the counter `vms/<vm>`. Calls block.
class incarnation_store {
public:
    explicit incarnation_store(object_api::object_store& api) : api_(api) {}

    /// Returns a number that no earlier start of this VM had. A lost response skips a number, which
    /// is harmless. Two processes that start at the same time get different numbers.
    incarnation_result next_incarnation(const vm_id& vm);

private:
    object_api::object_store& api_;
};

}  // namespace radishpulley::membership
