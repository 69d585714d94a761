/// State that an endpoint announces in the headers of a response.
#pragma once

#include <optional>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::routing {

/// Announcements of one response. Their absence implies nothing, except that no rate limit applies.
struct endpoint_notice {
    /// The endpoint is shutting down and accepts no new requests.
    bool leaving = false;
    /// Requests per second that the endpoint accepts from all VMs together, for as long as it
    /// repeats the limit.
    std::optional<double> rate_limit;
    /// The endpoint accepts no requests from this VM for this time.
    std::optional<duration> pause;
    /// The endpoint is cold for this time.
    std::optional<duration> cold_left;
    /// The endpoint that answers, if the response names it. Another one than the request was sent
    /// to may answer at the same address.
    std::optional<endpoint_id> answered_by;

    bool empty() const { return !leaving && !rate_limit && !pause && !cold_left; }
};

}  // namespace radishpulley::routing
