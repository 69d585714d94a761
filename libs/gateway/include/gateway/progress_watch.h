/// Tells from samples for how long a connection's peer has not acknowledged what was sent.
///
/// Pure; not thread-safe.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/clock.h"

namespace radishpulley::gateway {

/// What the operating system states about the sending side of a connection.
struct send_status {
    /// Whether sent bytes, or a probe, wait for the acknowledgement of the peer's system. What the
    /// peer has no room for is not sent, and doesn't count.
    bool awaits_acknowledgement = false;
    /// Time since an acknowledgement arrived last; zero if unknown.
    std::chrono::milliseconds since_acknowledgement{0};
    /// Number of written bytes that were not acknowledged.
    std::size_t undelivered = 0;
};

/// Watches one connection.
class progress_watch {
public:
    /// Longest time that one sample adds, so that a pause of this process is not taken for one of
    /// the peer.
    static constexpr std::chrono::milliseconds max_step{250};

    /// Takes a sample; returns for how long nothing was acknowledged.
    duration on_sample(const send_status& it, time_point now) {
        const duration step = std::min<duration>(now - sampled_at_, max_step);
        const bool is_silent = it.since_acknowledgement == std::chrono::milliseconds(0) ||
                               it.since_acknowledgement >= step;
        const bool goes_on =
            awaited_ && it.awaits_acknowledgement && is_silent && it.undelivered == undelivered_;
        stalled_ = goes_on ? stalled_ + step : duration::zero();
        awaited_ = it.awaits_acknowledgement;
        undelivered_ = it.undelivered;
        sampled_at_ = now;
        return stalled_;
    }

private:
    bool awaited_ = false;
    std::size_t undelivered_ = 0;
    duration stalled_{};
    time_point sampled_at_{};
};

}  // namespace radishpulley::gateway
