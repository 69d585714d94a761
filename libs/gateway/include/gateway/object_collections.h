/// The platform's store: collections of named objects with revisions.
///
/// The deployment's adapter implements the interface; each callback runs once, on the loop's
/// thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishpulley::gateway {

/// Position in the total order of all changes of the store. A store that comes back from an older
/// copy gives numbers out again; the upper bits hold its era, which counts such restores. So each
/// revision of a later era is greater than all of an earlier one.
using store_revision = std::uint64_t;

/// Number of times that the store came back from an older copy.
using store_era = std::uint64_t;

/// Bits of a revision that hold the store's own number of the change.
constexpr unsigned store_number_bits = 40;

constexpr store_revision make_revision(store_era era, std::uint64_t number) {
    return (era << store_number_bits) | number;
}

constexpr store_era era_of(store_revision it) {
    return it >> store_number_bits;
}

/// Returns the store's own number of the change.
constexpr std::uint64_t number_of(store_revision it) {
    return it & ((store_revision{1} << store_number_bits) - 1);
}

/// A stored object.
struct stored_object {
    std::string name;
    /// Revision of its last change.
    store_revision revision = 0;
    /// Its contents as JSON text.
    std::string contents;
};

/// All objects of a collection as of a revision.
struct object_list {
    std::vector<stored_object> objects;
    store_revision revision = 0;
};

/// A change of one object in a collection.
struct object_change {
    stored_object object;
    bool removed = false;
};

/// Changes up to a revision; may be empty if the wait expired.
struct object_changes {
    std::vector<object_change> changes;
    store_revision revision = 0;
};

/// Required freshness of a response.
enum class read_freshness {
    /// As of the moment of the response.
    newest,
    /// May lag behind by seconds; cheaper for the store.
    may_lag
};

/// Timeouts, freshness and size of a watch.
struct watch_terms {
    /// Longest time for which the store waits for a change.
    std::chrono::milliseconds wait{4'000};
    /// Time beyond the wait after which the connection counts as silent.
    std::chrono::milliseconds response_timeout{1'500};
    read_freshness freshness = read_freshness::newest;
    /// Bytes of changes that are read; more of them fail the watch as too large.
    std::size_t max_bytes = 8'000'000;
    /// Called as parts of the response arrive.
    std::function<void()> on_progress = [] {};
};

/// Why a read has no result.
enum class read_failure {
    /// The store did not respond or is overloaded.
    unavailable,
    /// The store no longer keeps the changes since that revision, or has lost them in a restore.
    history_gone,
    /// The changes are larger than asked for; each holds its whole object.
    too_large
};

/// The write took effect.
struct write_done {
    stored_object object;
};

/// The object has another revision or exists already; nothing was changed.
struct write_conflict {
    std::optional<stored_object> current;
};

/// The store refused the write; nothing was changed.
struct write_refused {};

/// The write may have taken effect, or may still do so if the revision matches.
struct write_unknown {};

using list_result = std::variant<object_list, read_failure>;
using changes_result = std::variant<object_changes, read_failure>;
using write_result = std::variant<write_done, write_conflict, write_refused, write_unknown>;

/// Client of the store.
class object_collections {
public:
    virtual ~object_collections() = default;
    virtual void list(const std::string& kind, std::function<void(list_result)> done) = 0;
    /// Waits for a change after `since`. A response that lags may state an earlier revision than
    /// `since`.
    virtual void watch(const std::string& kind, store_revision since, const watch_terms& terms,
                       std::function<void(changes_result)> done) = 0;
    /// Creates an object; a conflict if it exists.
    virtual void create(const std::string& kind, const std::string& name,
                        const std::string& contents, std::function<void(write_result)> done) = 0;
    /// Replaces an object if it still has that revision.
    virtual void replace(const std::string& kind, const std::string& name, store_revision revision,
                         const std::string& contents, std::function<void(write_result)> done) = 0;
    virtual void remove(const std::string& kind, const std::string& name, store_revision revision,
                        std::function<void(write_result)> done) = 0;
};

}  // namespace radishpulley::gateway
