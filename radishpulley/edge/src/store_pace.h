/// Settings of the collection followers, derived from the platform's bounds.
#pragma once

#include "gateway/collection_follower.h"
#include "settings/edge_settings.h"

namespace radishpulley::edge {

/// Time that the store may take to respond after a watch's wait, including slow links.
constexpr std::chrono::milliseconds store_response_timeout{500};
/// Short, because entries that expired during an outage of the store stay in use until a response
/// shows that the store is reachable again.
constexpr std::chrono::milliseconds endpoints_max_backoff{500};
/// Pause between watches that batches changes of many versions.
constexpr std::chrono::milliseconds versions_pause{200};

inline gateway::follower_settings follower_settings_with_pause(std::chrono::milliseconds pause) {
    gateway::follower_settings out;
    out.response_timeout = store_response_timeout;
    out.pause = pause;
    return out;
}

inline gateway::follower_settings configuration_follower_settings(
    const settings::edge_bounds_settings& it) {
    gateway::follower_settings out = gateway::pace_for_staleness(
        it.configuration_apply, follower_settings_with_pause(std::chrono::milliseconds(0)));
    out.reports = gateway::report_contents::deltas;
    return out;
}

/// An engine's entry changes with every adapter that the engine loads.
inline gateway::follower_settings endpoints_follower_settings(
    const settings::edge_bounds_settings& it) {
    gateway::follower_settings out = gateway::pace_for_staleness_when_busy(
        it.endpoint_drain, follower_settings_with_pause(std::chrono::milliseconds(0)));
    out.max_backoff = endpoints_max_backoff;
    return out;
}

inline gateway::follower_settings versions_follower_settings(
    const settings::edge_bounds_settings& it) {
    return gateway::pace_for_staleness(it.version_apply,
                                       follower_settings_with_pause(versions_pause));
}

/// `bound` is the time in which an evacuation has to be in force.
inline gateway::follower_settings evacuations_follower_settings(duration bound) {
    return gateway::pace_for_staleness(bound,
                                       follower_settings_with_pause(std::chrono::milliseconds(0)));
}

}  // namespace radishpulley::edge
