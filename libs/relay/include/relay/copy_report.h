/// What a VM tells the others of its copy of one collection of the platform's store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishpulley::relay {

/// Position in the order of all changes of the store.
using revision_number = std::uint64_t;

/// One change of a collection.
struct reported_change {
    /// Revision up to which this change is told.
    revision_number revision = 0;
    std::string name;
    bool removed = false;
    /// The object's contents as JSON text; empty where it was removed.
    std::string contents;
};

/// A statement about one collection. It holds for as long ago as `age_ms` says.
struct copy_report {
    std::string collection;
    /// Every change up to this revision is in the copy.
    revision_number as_of = 0;
    /// `changes` lists every change after this revision that readers need.
    revision_number complete_after = 0;
    /// Time since the store confirmed the copy.
    std::uint32_t age_ms = 0;
    std::vector<reported_change> changes;
};

}  // namespace radishpulley::relay
