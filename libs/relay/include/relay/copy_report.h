/// Reports that VMs exchange about their copies of a collection of the platform's store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "relay/text_delta.h"

namespace radishpulley::relay {

/// Position in the order of all changes of the store.
using revision_number = std::uint64_t;

/// Leads from an object as of an earlier change to its new contents.
struct object_delta {
    revision_number base_revision = 0;
    text_delta to_contents;
};

/// One change of a collection.
struct reported_change {
    /// Revision of the store at which the change was made.
    revision_number revision = 0;
    std::string name;
    bool removed = false;
    /// Contents of the object as JSON text; empty if it was removed, or if `delta` leads to them.
    std::string contents;
    /// Set in place of the contents of a large object.
    std::optional<object_delta> delta = std::nullopt;
};

/// State of a copy of one collection, as confirmed `age_ms` ago.
struct copy_report {
    std::string collection;
    /// The copy contains every change up to this revision.
    revision_number as_of = 0;
    /// `changes` lists every change after this revision that readers need.
    revision_number complete_after = 0;
    /// Time since the store last confirmed the copy.
    std::uint32_t age_ms = 0;
    std::vector<reported_change> changes;
};

}  // namespace radishpulley::relay
