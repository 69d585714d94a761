/// Chooses the endpoint of a request: the one where its first event is expected soonest.
///
/// The expectation adds up the adapter's load, the prompts ahead of this one, the unread part of
/// its own prompt, a wait for a place or for memory, and the distance. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "routing/adapter_table.h"
#include "routing/configuration.h"
#include "routing/endpoint_directory.h"
#include "routing/endpoint_limits.h"
#include "routing/prefix_cache_index.h"
#include "routing/work_table.h"

namespace radishpulley::routing {

/// Costs as time, and speeds.
struct choice_settings {
    /// Prompt tokens that an engine reads in a millisecond, for short prompts.
    double read_tokens_per_ms = 34.5;
    /// Length at which a prompt takes twice as long for each token as a short one.
    double slow_prompt_tokens = 60'000;
    /// Time from an order until an adapter is usable.
    duration adapter_load = std::chrono::milliseconds(270);
    /// The same where the engine held the adapter of late.
    duration warm_load = std::chrono::milliseconds(60);
    /// Harm that a further copy of an adapter does to the adapter that it displaces, and to the
    /// weight store's other loads.
    duration displacement = std::chrono::milliseconds(150);
    duration warm_displacement = std::chrono::milliseconds(25);
    /// Added for each place by which an engine stands behind the first for an adapter, so that
    /// daemons choose the same engine for an adapter that is nowhere.
    duration rank_step = std::chrono::milliseconds(50);
    duration other_zone = std::chrono::milliseconds(3);
    duration other_region = std::chrono::milliseconds(18);
    /// Added where calls failed of late.
    duration avoidance = std::chrono::milliseconds(900);
    /// Usual time that a request holds its place at a model engine, and at another endpoint.
    duration usual_run = std::chrono::milliseconds(900);
    duration usual_call = std::chrono::milliseconds(20);
    /// Time for which an adapter's replaced version may still be used.
    duration old_version_use = std::chrono::milliseconds(2'600);
    /// Added for a replaced version, so that requests leave it and it can be exchanged.
    duration old_version_cost = std::chrono::milliseconds(350);
    /// Slowing of all tokens by one more running request.
    duration batch_step = std::chrono::milliseconds(2);
    /// Reading a prompt from this length on makes pauses in the streams that run beside it; each of
    /// them counts as this much time.
    std::uint32_t long_prompt_tokens = 12'000;
    duration long_prompt_harm = std::chrono::milliseconds(60);
};

/// Where a daemon is.
struct location {
    zone_id zone;
    region_id region;
    /// Region of each availability zone.
    std::map<zone_id, region_id> regions;
};

/// The chosen endpoint.
struct endpoint_choice {
    endpoint_id id;
    /// The adapter must be loaded there first.
    bool needs_load = false;
    /// While the adapter loads there already: when it is expected to be usable.
    std::optional<time_point> ready_at;
    /// Time until the first event.
    duration expected{};
    /// Prompt tokens that the engine has to read.
    std::uint32_t unread_tokens = 0;
    /// Work of reading them, as tokens of a short prompt.
    std::uint32_t prefill_work = 0;
};

/// What is asked for.
struct choice_request {
    const request_attributes& facts;
    const service& target;
    /// Endpoints that must not be chosen again.
    const std::set<endpoint_id>& excluded;
    /// Engines whose loads can't be ordered now.
    const std::set<endpoint_id>& no_loads;
    /// Whether an adapter may be loaded for it; otherwise only engines that have it are chosen.
    bool may_load = true;
};

/// Joins the tables into a choice. The tables must outlive it.
class endpoint_chooser {
public:
    endpoint_chooser(const endpoint_directory& directory, const endpoint_limits& limits,
                     const adapter_table& adapters, const prefix_cache_index& prompts,
                     const work_table& work, location where, choice_settings settings = {});

    /// Returns the best endpoint, or nothing where the service has none to offer.
    std::optional<endpoint_choice> choose(const choice_request& request, time_point now) const;

    void set_location(location where) { where_ = std::move(where); }
    const choice_settings& settings() const { return settings_; }

private:
    std::optional<endpoint_choice> assess(const endpoint& it, const choice_request& request,
                                          std::size_t rank, time_point now) const;
    duration distance(const endpoint& it) const;
    bool add_adapter_wait(const endpoint& it, const choice_request& request, std::size_t rank,
                          time_point now, endpoint_choice& out) const;
    duration place_wait(const endpoint& it, const choice_request& request) const;

    const endpoint_directory& directory_;
    const endpoint_limits& limits_;
    const adapter_table& adapters_;
    const prefix_cache_index& prompts_;
    const work_table& work_;
    location where_;
    choice_settings settings_;
};

}  // namespace radishpulley::routing
