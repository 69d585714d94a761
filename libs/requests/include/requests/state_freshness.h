/// Tracks whether a daemon's local state of keys and endpoints is fresh enough to act on.
///
/// A daemon that resumes after a pause has stale state and old messages in its sockets. It must not
/// send requests to an endpoint that has left, nor forward bytes for a key that was withdrawn.
#pragma once

#include <optional>

#include "base/clock.h"

namespace radishpulley::requests {

/// Measures the state's age by the daemon's own clock. The age counts from the time of the query
/// and not of its response, because a response that waited in a socket proves nothing about the
/// time since.
class state_freshness {
public:
    explicit state_freshness(duration max_age) : max_age_(max_age) {}

    /// Records that the state as of `queried_at`, or a later one, is in effect.
    void confirm(time_point queried_at) {
        if (!confirmed_ || *confirmed_ < queried_at) {
            confirmed_ = queried_at;
        }
    }

    /// Returns whether the state is fresh. While it is not, the daemon must hold back new requests
    /// and response bytes until the next confirmation.
    bool is_fresh(time_point now) const { return confirmed_ && now - *confirmed_ <= max_age_; }

private:
    const duration max_age_;
    std::optional<time_point> confirmed_;
};

}  // namespace radishpulley::requests
