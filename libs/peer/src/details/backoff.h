#pragma once

#include <algorithm>
#include <random>

#include "base/clock.h"

namespace radishpulley::peer::detail {

// Waits between attempts: a random part of a bound that doubles with each failure.
class backoff {
public:
    backoff(duration low, duration high) : low_(low), high_(high), bound_(low) {}

    // Returns the next wait and raises the bound.
    template <typename Random>
    duration next(Random& random) {
        std::uniform_int_distribution<duration::rep> distribution(0, bound_.count());
        bound_ = std::min(bound_ * 2, high_);
        return duration(distribution(random));
    }

    void reset() { bound_ = low_; }

private:
    duration low_;
    duration high_;
    duration bound_;
};

}  // namespace radishpulley::peer::detail
