/// A token bucket that refills with time.
///
/// Pure; not thread-safe.
#pragma once

#include <algorithm>

#include "base/clock.h"

namespace radishpulley::routing {

/// Starts empty, so that recreating a bucket never grants a burst.
class token_bucket {
public:
    token_bucket() = default;
    token_bucket(double rate, double burst, time_point now)
        : rate_(rate), burst_(burst), filled_at_(now) {}

    /// Changes the rate, in tokens per second, and the size; the fill stays as far as it fits.
    void resize(double rate, double burst, time_point now) {
        fill_ = std::min(fill(now), burst);
        filled_at_ = now;
        rate_ = rate;
        burst_ = burst;
    }

    /// Removes a token, which must be available.
    void take(time_point now) {
        fill_ = fill(now) - 1;
        filled_at_ = now;
    }

    double rate() const { return rate_; }

    double fill(time_point now) const {
        return std::min(burst_,
                        fill_ + rate_ * std::chrono::duration<double>(now - filled_at_).count());
    }

    /// Whether a token is available. A fill that rounding leaves slightly below one counts as one.
    bool has_token(time_point now) const { return fill(now) + rounding >= 1; }

    /// Time until a token is available; the maximum duration if the bucket never refills.
    duration wait(time_point now) const {
        if (has_token(now)) {
            return duration::zero();
        }
        if (rate_ <= 0) {
            return duration::max();
        }
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>((1 - fill(now)) / rate_));
    }

private:
    static constexpr double rounding = 1e-6;

    double rate_ = 0;
    double burst_ = 0;
    double fill_ = 0;
    time_point filled_at_{};
};

}  // namespace radishpulley::routing
