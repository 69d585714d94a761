#include "routing/endpoint_choice.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/digest.h"

namespace radishpulley::routing {
namespace {

duration from_ms(double ms) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

// Sorts endpoints in an order that every daemon computes alike for this adapter.
std::vector<const endpoint*> ranked(std::vector<const endpoint*> endpoints,
                                    const request_attributes& attributes) {
    const std::string seed = attributes.target.empty()
                                 ? std::string()
                                 : attributes.target.model + "/" + attributes.target.adapter + "#";
    std::vector<std::pair<std::uint64_t, const endpoint*>> scored;
    scored.reserve(endpoints.size());
    for (const endpoint* it : endpoints) {
        scored.emplace_back(stable_hash(seed + it->id.str()), it);
    }
    std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
    std::transform(scored.begin(), scored.end(), endpoints.begin(),
                   [](const auto& it) { return it.second; });
    return endpoints;
}

}  // namespace

endpoint_chooser::endpoint_chooser(const endpoint_directory& directory,
                                   const endpoint_limits& limits,
                                   const cold_start_limits& cold_limits,
                                   const adapter_table& adapters,
                                   const adapter_load_times& load_times,
                                   const prefix_cache_index& prompts, const work_table& work,
                                   location own_location, choice_settings settings)
    : directory_(directory),
      limits_(limits),
      cold_limits_(cold_limits),
      adapters_(adapters),
      load_times_(load_times),
      prompts_(prompts),
      work_(work),
      location_(std::move(own_location)),
      settings_(settings) {}

duration endpoint_chooser::distance(const endpoint& it) const {
    if (it.zone == location_.zone) {
        return duration::zero();
    }
    const region_id* region = location_.region_of(it.zone);
    const bool same_region = region != nullptr && *region == location_.region;
    return same_region ? settings_.cross_zone_latency : settings_.cross_region_latency;
}

bool endpoint_chooser::add_load_delay(const endpoint& it, const choice_request& request,
                                      std::size_t rank, time_point now,
                                      endpoint_choice& out) const {
    const model_ref& target = request.attributes.target;
    if (!adapters_.has_model(it.id, target.model)) {
        return false;
    }
    if (target.adapter.empty()) {
        return true;
    }
    const adapter_view view = adapters_.view(it.id, target, now);
    const std::uint64_t newest = adapters_.newest_version(target);
    const bool replaced = view.version < newest;
    const bool outdated =
        view.version < adapters_.version_after(target, settings_.old_version_lifetime, now);
    if (replaced) {
        out.penalty += settings_.old_version_penalty;
    }
    if (view.state == adapter_state::loaded && !outdated) {
        return true;
    }
    if (view.state == adapter_state::loading && !outdated) {
        out.ready_at = view.ready_at;
        out.expected += view.ready_at - now;
        return true;
    }
    if (!request.may_load || request.load_excluded.count(it.id) != 0) {
        return false;
    }
    out.needs_load = true;
    const bool is_fetched = !adapters_.is_cached(it.id, target);
    const duration load_time = load_times_.source(is_fetched).expected(request.fleet_loads + 1);
    const double penalty =
        settings_.eviction_cost + (is_fetched ? settings_.rank_penalty * rank : 0);
    out.expected += load_time;
    out.penalty += std::chrono::duration_cast<duration>(load_time * penalty);
    return true;
}

duration endpoint_chooser::queueing_delay(const endpoint& it, const choice_request& request) const {
    const endpoint_work work = work_.total(it.id);
    const bool is_engine = request.target.engine.has_value();
    const duration service_time =
        is_engine ? settings_.typical_request_time : settings_.typical_call_time;
    duration wait = duration::zero();
    if (work.requests >= it.slots) {
        wait += service_time * static_cast<int>(work.requests + 1 - it.slots) /
                static_cast<int>(std::max<std::uint32_t>(1, it.slots));
    }
    if (!is_engine) {
        return wait + service_time * static_cast<int>(work.requests) / 2;
    }
    wait += settings_.batch_slowdown * static_cast<int>(work.requests);
    if (request.attributes.prompt_tokens >= settings_.long_prompt_tokens) {
        wait += settings_.long_prompt_penalty * static_cast<int>(work.requests);
    }
    wait += from_ms(static_cast<double>(work.unread_tokens) / settings_.prefill_tokens_per_ms);
    const std::uint64_t need = work.memory_tokens + request.attributes.prompt_tokens;
    const std::uint64_t capacity = request.target.engine->memory_tokens;
    if (capacity != 0 && need > capacity) {
        const double excess = static_cast<double>(need - capacity) / static_cast<double>(capacity);
        wait += from_ms(excess * 3'000) + settings_.typical_request_time / 2;
    }
    return wait;
}

std::optional<endpoint_choice> endpoint_chooser::estimate(const endpoint& it,
                                                          const choice_request& request,
                                                          std::size_t rank, time_point now) const {
    endpoint_choice out;
    out.id = it.id;
    if (request.target.engine && !request.attributes.target.empty()) {
        if (!add_load_delay(it, request, rank, now, out)) {
            return std::nullopt;
        }
        const std::uint32_t cached = prompts_.cached_tokens(it.id, request.attributes, now);
        out.unread_tokens =
            request.attributes.prompt_tokens - std::min(cached, request.attributes.prompt_tokens);
        out.prefill_work = static_cast<std::uint32_t>(
            out.unread_tokens *
            (1 + request.attributes.prompt_tokens / settings_.prefill_half_speed_tokens));
        out.expected += from_ms(out.prefill_work / settings_.prefill_tokens_per_ms);
    }
    out.expected += queueing_delay(it, request) + distance(it);
    if (directory_.is_deprioritized(it.id, now)) {
        out.penalty += settings_.failure_penalty;
    }
    return out;
}

std::optional<endpoint_choice> endpoint_chooser::choose(const choice_request& request,
                                                        time_point now) const {
    const std::vector<const endpoint*> endpoints =
        ranked(directory_.usable(request.target.id), request.attributes);
    std::optional<endpoint_choice> best;
    for (std::size_t rank = 0; rank < endpoints.size(); ++rank) {
        const endpoint_id& id = endpoints[rank]->id;
        const bool takes_requests = limits_.allows(id, now) && cold_limits_.allows(id, now) &&
                                    directory_.pause_left(id, now) == duration::zero();
        const bool is_permitted = request.permitted.permits(*endpoints[rank]);
        if (request.excluded.count(id) != 0 || !takes_requests || !is_permitted) {
            continue;
        }
        const auto it = estimate(*endpoints[rank], request, rank, now);
        if (it && (!best || it->expected + it->penalty < best->expected + best->penalty)) {
            best = it;
        }
    }
    return best;
}

}  // namespace radishpulley::routing
