/// Random values for a run, drawn from its seed.
#pragma once

#include <chrono>
#include <random>

namespace radishpulley::soak {

/// Returns a random duration from `min` to `max`, both included.
inline std::chrono::milliseconds random_duration(std::mt19937_64& random,
                                                 std::chrono::milliseconds min,
                                                 std::chrono::milliseconds max) {
    using rep = std::chrono::milliseconds::rep;
    return std::chrono::milliseconds(
        std::uniform_int_distribution<rep>(min.count(), max.count())(random));
}

}  // namespace radishpulley::soak
