/// The last changes of a copy, for the reports that its VM sends.
///
/// A reader that knows the copy as of `complete_after()` or later needs only what is listed.
/// Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <deque>

#include "base/clock.h"
#include "relay/copy_report.h"

namespace radishpulley::relay {

/// Limits of a log; what exceeds them is asked of the store by whoever misses it.
struct change_log_settings {
    std::size_t most_changes = 24;
    /// Contents of all listed changes together; a report has to fit into a datagram.
    std::size_t most_bytes = 12'000;
    duration lifetime = std::chrono::seconds(4);
};

/// Log of one collection.
class change_log {
public:
    explicit change_log(change_log_settings settings = {});

    /// The copy was read whole: nothing before `revision` is listed.
    void restart(revision_number revision);
    void add(reported_change it, time_point now);
    /// Drops what is too old.
    void advance(time_point now);

    revision_number complete_after() const { return complete_after_; }
    std::vector<reported_change> changes() const;

private:
    struct entry {
        reported_change change;
        time_point at{};
    };

    void drop_oldest();

    change_log_settings settings_;
    std::deque<entry> entries_;
    std::size_t bytes_ = 0;
    revision_number complete_after_ = 0;
};

}  // namespace radishpulley::relay
