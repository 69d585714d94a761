/// Tells whether what a daemon knows of keys and endpoints is fresh enough to act on.
///
/// A paused daemon wakes with an old state and with old messages in its sockets. It must not send
/// work to an endpoint that has left meanwhile, nor pass bytes on for a key that was withdrawn.
#pragma once

#include <optional>

#include "base/clock.h"

namespace radishpulley::requests {

/// Age by the daemon's own clock, counted from when it asked and not from when it was answered: an
/// answer that waited in a socket proves nothing of the time since.
class state_freshness {
public:
    explicit state_freshness(duration max_age) : max_age_(max_age) {}

    /// The state as of `asked_at`, or a later one, is in force here.
    void confirm(time_point asked_at) {
        if (!confirmed_ || *confirmed_ < asked_at) {
            confirmed_ = asked_at;
        }
    }

    /// While false, hold back new work and answers' bytes until the next confirmation.
    bool is_fresh(time_point now) const { return confirmed_ && now - *confirmed_ <= max_age_; }

private:
    const duration max_age_;
    std::optional<time_point> confirmed_;
};

}  // namespace radishpulley::requests
