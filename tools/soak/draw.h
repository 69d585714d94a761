/// Draws from a run's seed.
#pragma once

#include <chrono>
#include <random>

namespace radishpulley::soak {

/// Returns a time from `least` to `most`.
inline std::chrono::milliseconds draw_time(std::mt19937_64& random, std::chrono::milliseconds least,
                                           std::chrono::milliseconds most) {
    using rep = std::chrono::milliseconds::rep;
    return std::chrono::milliseconds(
        std::uniform_int_distribution<rep>(least.count(), most.count())(random));
}

}  // namespace radishpulley::soak
