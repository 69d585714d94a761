/// Ages as VMs tell them to each other.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

#include "base/clock.h"

namespace radishpulley::routing::details {

/// Returns an age in whole milliseconds, limited to what the messages can hold.
inline std::uint32_t age_ms(duration it) {
    const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
    constexpr std::int64_t max_ms = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, max_ms));
}

}  // namespace radishpulley::routing::details
