/// Times that the parts of `exchange` share.
#pragma once

#include "base/clock.h"
#include "gateway/http_status.h"
#include "routing/configuration.h"

namespace radishpulley::gateway {

/// When a caller may come back after a refusal whose cause has no end of its own.
constexpr duration usual_retry_after = std::chrono::milliseconds(250);

inline routing::milliseconds to_ms(duration it) {
    return std::chrono::duration_cast<routing::milliseconds>(it);
}

}  // namespace radishpulley::gateway
