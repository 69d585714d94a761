/// Selects the endpoint at which a request's first event is expected soonest, with penalties for
/// choices that cost other requests time.
///
/// The estimate adds up the adapter's load time, the prompts queued ahead, the part of the
/// request's own prompt that the engine has not cached, the delay for a free request slot or for
/// memory, and the network distance. Pure.
#pragma once

#include <optional>
#include <set>

#include "routing/adapter_table.h"
#include "routing/cold_start_limits.h"
#include "routing/configuration.h"
#include "routing/endpoint_directory.h"
#include "routing/endpoint_limits.h"
#include "routing/load_time_estimator.h"
#include "routing/location.h"
#include "routing/prefix_cache_index.h"
#include "routing/work_table.h"
#include "routing/zone_filter.h"

namespace radishpulley::routing {

/// Time costs and processing speeds behind the estimate.
struct choice_settings {
    /// Prompt tokens that an engine prefills per millisecond while prompts are short.
    double prefill_tokens_per_ms = 34.5;
    /// Prompt length at which prefill takes twice as long per token as for a short prompt.
    double prefill_half_speed_tokens = 60'000;
    /// Cost of loading another copy of an adapter, as a fraction of its load time: it evicts an
    /// adapter and competes with the weight store's other loads.
    double eviction_cost = 0.55;
    /// Penalty per rank of an engine in the adapter's hash order, as a fraction of the load time,
    /// so that all daemons choose the same engine for an adapter that no engine holds.
    double rank_penalty = 0.2;
    duration cross_zone_latency = std::chrono::milliseconds(3);
    duration cross_region_latency = std::chrono::milliseconds(18);
    /// Penalty for an endpoint whose recent calls failed.
    duration failure_penalty = std::chrono::milliseconds(900);
    /// Typical time for which a request occupies its slot at a model engine, and at any other
    /// endpoint.
    duration typical_request_time = std::chrono::milliseconds(900);
    duration typical_call_time = std::chrono::milliseconds(20);
    /// Time after the announcement of a newer adapter version during which the old version may
    /// still be used.
    duration old_version_lifetime = std::chrono::milliseconds(2'600);
    /// Penalty for an old version, so that requests move away from it and the engine can replace
    /// it.
    duration old_version_penalty = std::chrono::milliseconds(350);
    /// Slowdown of all tokens per additional running request.
    duration batch_slowdown = std::chrono::milliseconds(2);
    /// Prefilling a prompt of at least this length stalls the streams that run at the same engine;
    /// each of them adds this penalty.
    std::uint32_t long_prompt_tokens = 12'000;
    duration long_prompt_penalty = std::chrono::milliseconds(60);
};

/// The selected endpoint and its estimate.
struct endpoint_choice {
    endpoint_id id;
    /// Whether the adapter must be loaded there first.
    bool needs_load = false;
    /// When the adapter is expected to be usable, if it is loading there already.
    std::optional<time_point> ready_at;
    /// Expected time until the first event.
    duration expected{};
    /// Cost of this choice to other requests, and for its risks, in time.
    duration penalty{};
    /// Prompt tokens that the engine has to prefill.
    std::uint32_t unread_tokens = 0;
    /// Prefill work for them, in tokens of a short prompt.
    std::uint32_t prefill_work = 0;
};

/// The endpoints to which a request may be sent as far as their zone and software go.
struct endpoint_filter {
    /// Availability zones to which the request may be sent.
    zone_filter zones{};
    /// The software that began the request's stream; others must not be selected.
    std::optional<software> began_at{};

    bool permits(const endpoint& it) const {
        return zones.permits(it.zone) && (!began_at || *began_at == software_of(it));
    }
};

/// Request for a selection.
struct choice_request {
    const request_attributes& attributes;
    const service& target;
    /// Endpoints that must not be selected again.
    const std::set<endpoint_id>& excluded;
    /// Engines at which no load can be ordered now.
    const std::set<endpoint_id>& load_excluded;
    /// Whether an adapter may be loaded for the request; otherwise only engines that hold it are
    /// candidates.
    bool may_load = true;
    /// Adapters that are loading at all engines.
    std::size_t fleet_loads = 0;
    endpoint_filter permitted{};
};

/// Selects endpoints from the routing tables, which must outlive it.
class endpoint_chooser {
public:
    endpoint_chooser(const endpoint_directory& directory, const endpoint_limits& limits,
                     const cold_start_limits& cold_limits, const adapter_table& adapters,
                     const adapter_load_times& load_times, const prefix_cache_index& prompts,
                     const work_table& work, location own_location, choice_settings settings = {});

    /// Returns the best endpoint, or nothing where the service has no candidate.
    std::optional<endpoint_choice> choose(const choice_request& request, time_point now) const;

    void set_location(location own_location) { location_ = std::move(own_location); }
    const choice_settings& settings() const { return settings_; }

private:
    std::optional<endpoint_choice> estimate(const endpoint& it, const choice_request& request,
                                            std::size_t rank, time_point now) const;
    duration distance(const endpoint& it) const;
    bool add_load_delay(const endpoint& it, const choice_request& request, std::size_t rank,
                        time_point now, endpoint_choice& out) const;
    duration queueing_delay(const endpoint& it, const choice_request& request) const;

    const endpoint_directory& directory_;
    const endpoint_limits& limits_;
    const cold_start_limits& cold_limits_;
    const adapter_table& adapters_;
    const adapter_load_times& load_times_;
    const prefix_cache_index& prompts_;
    const work_table& work_;
    location location_;
    choice_settings settings_;
};

}  // namespace radishpulley::routing
