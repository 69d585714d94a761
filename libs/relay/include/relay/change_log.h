/// The most recent changes of a copy, which its VM sends in reports.
///
/// A reader whose copy has revision `complete_after()` or later needs only the listed changes.
/// Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <deque>

#include "base/clock.h"
#include "relay/copy_report.h"

namespace radishpulley::relay {

/// Limits of a log. A reader that misses a dropped change reads it from the store.
struct change_log_settings {
    std::size_t max_changes = 24;
    /// Total size of all listed changes; a report has to fit into a datagram.
    std::size_t max_bytes = 12'000;
    duration lifetime = std::chrono::seconds(4);
};

/// Change log of one collection.
class change_log {
public:
    explicit change_log(change_log_settings settings = {});

    /// Clears the log after a full read of the copy at `revision`.
    void restart(revision_number revision);
    void add(reported_change it, time_point now);
    /// Drops changes older than the lifetime.
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
