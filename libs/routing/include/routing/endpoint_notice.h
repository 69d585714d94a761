/// What an endpoint says of itself in the head of an answer.
#pragma once

#include <optional>

#include "base/clock.h"

namespace radishpulley::routing {

/// One answer's statements; nothing is said by their absence but that no limit holds.
struct endpoint_notice {
    /// It leaves and takes no new requests.
    bool leaving = false;
    /// Requests a second that it takes from all VMs together, for as long as it says so.
    std::optional<double> rate_limit;
    /// It takes no requests from this VM for so long.
    std::optional<duration> pause;

    bool empty() const { return !leaving && !rate_limit && !pause; }
};

}  // namespace radishpulley::routing
