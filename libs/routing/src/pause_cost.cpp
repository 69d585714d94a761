#include "routing/pause_cost.h"

#include <algorithm>

namespace radishpulley::routing {
namespace {

// Returns the longest pause of a stream among `requests` requests while `work` tokens are prefilled
// in chunks that each take `work_per_token` times as long as those of a short prompt.
duration longest_pause(std::uint32_t requests, double work, double work_per_token,
                       const engine_speed& speed, const pause_cost_settings& settings) {
    const double chunks_work =
        static_cast<double>(settings.event_tokens) * settings.prefill_chunk_tokens * work_per_token;
    const std::chrono::duration<double, std::milli> prefill(std::min(work, chunks_work) /
                                                            speed.prefill_tokens_per_ms);
    return speed.pause_base + speed.pause_slowdown * requests +
           std::chrono::duration_cast<duration>(prefill);
}

}  // namespace

double late_share(duration pause, std::chrono::milliseconds target, double tolerance) {
    const double ratio = std::chrono::duration<double>(pause) / target;
    return std::clamp((ratio - 1 + tolerance) / (2 * tolerance), 0.0, 1.0);
}

duration pause_cost(const added_prefill& added, const endpoint_work& work,
                    const engine_speed& speed, const pause_cost_settings& settings) {
    const auto queued = static_cast<double>(work.unread_tokens);
    const duration before = longest_pause(work.requests, queued, 1, speed, settings);
    const duration after = longest_pause(work.requests + 1, queued + added.work,
                                         added.work_per_token, speed, settings);
    double late_streams = 0;
    for (const paced_streams& it : work.paced.groups()) {
        // Streams that are late already lose nothing more.
        const double more = late_share(after, it.gap_target, settings.tolerance) -
                            late_share(before, it.gap_target, settings.tolerance);
        late_streams += it.streams * std::max(0.0, more);
    }
    if (added.gap_target.count() > 0) {
        late_streams += late_share(before, added.gap_target, settings.tolerance);
    }
    return std::chrono::duration_cast<duration>(settings.late_stream_cost * late_streams);
}

}  // namespace radishpulley::routing
