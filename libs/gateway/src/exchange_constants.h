/// Constants and helpers shared by the source files of `exchange`.
#pragma once

#include <string_view>

#include "base/clock.h"
#include "gateway/http_status.h"
#include "routing/configuration.h"

namespace radishpulley::gateway {

/// Reason of a request that has its whole response.
constexpr std::string_view answered = "answered";

/// Retry-After of refusals whose cause has no known end.
constexpr duration default_retry_after = std::chrono::milliseconds(250);

/// Retry-After of refusals that last until the operator changes something.
constexpr duration operator_retry_after = std::chrono::seconds(1);

/// Longest wait of a request that broke off for other VMs to say that its segments are answered
/// elsewhere.
constexpr duration evidence_wait = std::chrono::milliseconds(400);

inline routing::milliseconds to_ms(duration it) {
    return std::chrono::duration_cast<routing::milliseconds>(it);
}

}  // namespace radishpulley::gateway
