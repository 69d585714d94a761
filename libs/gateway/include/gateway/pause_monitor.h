/// Detects that this process did not run for a while, because it was frozen or its VM was
/// suspended.
///
/// After a pause, permissions may have been withdrawn, and queued input is as old as the pause. Has
/// no side effects; not thread-safe.
#pragma once

#include "base/clock.h"

namespace radishpulley::gateway {

/// Measures the gaps between the moments at which the process runs.
class pause_monitor {
public:
    /// `limit` is the longest gap that does not count as a pause.
    explicit pause_monitor(duration limit) : limit_(limit) {}

    /// Records that the process runs; returns whether a pause has just ended.
    bool on_running(time_point now) {
        const bool was_paused = last_run_ != time_point::min() && now - last_run_ > limit_;
        last_run_ = now;
        return was_paused;
    }

private:
    duration limit_;
    time_point last_run_ = time_point::min();
};

}  // namespace radishpulley::gateway
