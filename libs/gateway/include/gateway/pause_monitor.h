/// Notices that this process did not run for a while: it was frozen, or its VM was suspended.
///
/// What was allowed before may not be allowed any more, and input that waited meanwhile is as old
/// as the pause. Pure; not thread-safe.
#pragma once

#include "base/clock.h"

namespace radishpulley::gateway {

/// Watches the moments at which the process runs.
class pause_monitor {
public:
    /// `limit` is the longest time between two moments that is no pause.
    explicit pause_monitor(duration limit) : limit_(limit) {}

    /// Notes that the process runs; returns whether a pause has just ended.
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
