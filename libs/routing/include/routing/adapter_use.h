/// Uses of adapters by requests, and when they are expected to end.
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "routing/request_attributes.h"
#include "routing/work_table.h"

namespace radishpulley::routing {

/// One request that is sent to an engine, as far as it tells how long its adapter is in use.
struct adapter_use {
    request_number request = 0;
    /// Expected time until the first event.
    duration first_event_in{};
    /// Expected output tokens; 0 if unknown.
    std::uint32_t output_tokens = 0;
    /// Time after which the request is given up.
    duration time_left = duration::max();
};

/// An adapter that requests of one daemon are running on.
struct running_adapter {
    model_ref adapter;
    /// Time until the last of these requests is expected to end, if known; zero if they should have
    /// ended already.
    std::optional<duration> ends_in;
};

}  // namespace radishpulley::routing
