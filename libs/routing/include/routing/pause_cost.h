/// Cost of a placement in late events of streams.
///
/// An engine interleaves chunks of the prompts that it prefills with decode steps, and an event of
/// a stream takes several decode steps. So a prefill prolongs the pauses between the events of all
/// streams at the engine, by at most as many chunks as an event has decode steps. A placement costs
/// what it makes late: the streams that run at the engine, by the new request's prefill, and the
/// new stream, by the prefill that is queued there. Pure.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/clock.h"
#include "routing/engine_speed.h"
#include "routing/work_table.h"

namespace radishpulley::routing {

/// Model of the pauses, and what a late stream costs.
struct pause_cost_settings {
    /// Tokens of a stream's event; each takes one decode step.
    std::uint32_t event_tokens = 6;
    /// Prompt tokens that an engine prefills between two decode steps.
    std::uint32_t prefill_chunk_tokens = 2'000;
    /// Relative error of an expected pause. A pause that is shorter than its target by this share
    /// is certainly in time, and one that is longer by as much is certainly late.
    double tolerance = 0.2;
    /// Cost of one late stream, in time to the first event of the new request.
    duration late_stream_cost = std::chrono::milliseconds(60);
};

/// What a new request adds to an engine.
struct added_prefill {
    /// Prefill work in tokens of a short prompt.
    std::uint32_t work = 0;
    /// Prefill work per prompt token; it grows with the length of the prompt.
    double work_per_token = 1;
    /// Gap target of the new request; 0 if it has none.
    std::chrono::milliseconds gap_target{0};
};

/// Returns the probability, from 0 to 1, that a pause that is expected to take `pause` exceeds
/// `target`.
double late_share(duration pause, std::chrono::milliseconds target, double tolerance);

/// Returns the cost of placing the request at an engine with the given speed and work.
duration pause_cost(const added_prefill& added, const endpoint_work& work,
                    const engine_speed& speed, const pause_cost_settings& settings);

}  // namespace radishpulley::routing
