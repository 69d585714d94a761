/// Statuses and times that the parts of `exchange` share.
#pragma once

#include "base/clock.h"
#include "routing/configuration.h"

namespace radishpulley::gateway {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// When a caller may come back after a refusal whose cause has no end of its own.
constexpr duration usual_retry_after = std::chrono::milliseconds(250);

inline routing::milliseconds to_ms(duration it) {
    return std::chrono::duration_cast<routing::milliseconds>(it);
}

}  // namespace radishpulley::gateway
