/// Measures how long this VM knows of a newer configuration than the one in force. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace radishpulley::edge {

class configuration_lag {
public:
    /// Another VM, or the store, has stated this version.
    void on_heard(std::uint64_t version, time_point now) {
        if (version > in_force_ && !heard_at_) {
            heard_at_ = now;
        }
        heard_ = std::max(heard_, version);
    }

    /// The version is in force now. Returns the time since this VM first heard of a version newer
    /// than the one before.
    duration on_in_force(std::uint64_t version, time_point now) {
        const duration out = lag(now);
        in_force_ = version;
        heard_at_ = heard_ > in_force_ ? std::optional<time_point>(now) : std::nullopt;
        return out;
    }

    /// Returns zero if no newer version is known.
    duration lag(time_point now) const { return heard_at_ ? now - *heard_at_ : duration::zero(); }

private:
    std::uint64_t in_force_ = 0;
    std::uint64_t heard_ = 0;
    std::optional<time_point> heard_at_;
};

}  // namespace radishpulley::edge
