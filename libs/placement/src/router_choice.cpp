// Part of router: choice of the engine for a request.
#include "placement/router.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace radishpulley::placement {
namespace {

constexpr std::size_t max_cached_candidates = 8192;

/// Maximum factor of the copy cost of a rare adapter.
constexpr double max_copy_cost_factor = 1000;

std::string hash_subject(const adapter_ref& it) {
    return it.adapter.str() + '|';
}

}  // namespace

// Choice of engine.

const std::vector<endpoint_id>& router::candidates_for(const adapter_ref& adapter,
                                                       const region_id& home_region) const {
    if (candidates_.size() > max_cached_candidates) {
        candidates_.clear();
    }
    const auto [it, added] = candidates_.try_emplace({adapter, home_region});
    if (added) {
        it->second = rank_engines(adapter, home_region);
    }
    return it->second;
}

std::vector<endpoint_id> router::rank_engines(const adapter_ref& adapter,
                                              const region_id& home_region) const {
    struct candidate {
        bool is_in_home_region = false;
        std::uint64_t weight = 0;
        endpoint_id endpoint;
    };
    std::vector<candidate> ranked;
    const std::string subject = hash_subject(adapter);
    for (const auto& [endpoint, engine] : engines_) {
        if (!engine.info.draining && !engine.holder.vm.empty()) {
            ranked.push_back({engine.info.region == home_region,
                              stable_hash(subject + endpoint.str()), endpoint});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const candidate& a, const candidate& b) {
        return a.is_in_home_region != b.is_in_home_region ? a.is_in_home_region
                                                          : a.weight > b.weight;
    });
    ranked.resize(std::min(ranked.size(), settings_.candidates));
    std::vector<endpoint_id> result;
    for (candidate& it : ranked) {
        result.push_back(std::move(it.endpoint));
    }
    return result;
}

duration router::queue_wait(const engine_view& engine) const {
    const std::uint32_t reported = engine.state.running + engine.state.queued;
    const std::uint32_t load = std::max(reported, engine.running) + engine.waiting + 1;
    const std::uint32_t places = std::max<std::uint32_t>(1, engine.info.concurrency);
    if (load <= places) {
        return duration::zero();
    }
    return mean_run_ * (load - places) / places;
}

bool router::has_copy(const engine_view& engine, const adapter_ref& adapter, time_point now) const {
    const auto it = engine.copies.find(adapter);
    return it != engine.copies.end() && now - it->second < settings_.copy_ttl;
}

// A load uses budget of all other adapters, so a copy of a rare adapter must save more.
duration router::copy_cost(const adapter_ref& adapter) const {
    const auto it = rates_.find(adapter);
    const double rate = it == rates_.end() ? 0 : it->second;
    const double usual = settings_.copy_reference_rate;
    const double scarcity = std::max(1.0, usual / std::max(rate, usual / max_copy_cost_factor));
    return std::chrono::duration_cast<duration>(settings_.load_cost * scarcity);
}

duration router::cost_of(const engine_view& engine, std::size_t rank, const placement_request& it,
                         time_point now) const {
    duration cost = queue_wait(engine);
    const auto pin = pins_.find({engine.info.endpoint, it.adapter});
    const bool present = pin != pins_.end() && now < pin->second.valid_until;
    const bool under_way = pin != pins_.end() && !pin->second.waiting.empty();
    if (!present && under_way) {
        cost += pin->second.expected_wait;
    }
    if (!present && !under_way && rank > 0 && !has_copy(engine, it.adapter, now)) {
        cost += copy_cost(it.adapter);
    }
    if (engine.info.region != region_) {
        cost += settings_.region_cost;
    } else if (engine.info.zone != zone_) {
        cost += settings_.zone_cost;
    }
    const auto prefix = engine.prefixes.find(it.prefix);
    const bool cached = it.prefix != 0 && prefix != engine.prefixes.end() &&
                        now - prefix->second < settings_.prefix_ttl;
    return cached ? cost - settings_.prefix_cache_gain : cost;
}

std::optional<router::engine_choice> router::choose_engine(const placement_request& it,
                                                           time_point now,
                                                           const endpoint_id& avoid) const {
    std::optional<engine_choice> best;
    duration best_cost{};
    std::size_t rank = 0;
    for (const endpoint_id& endpoint : candidates_for(it.adapter, it.home_region)) {
        const engine_view& engine = engines_.at(endpoint);
        const duration cost = cost_of(engine, rank, it, now);
        ++rank;
        if (endpoint != avoid && (!best || cost < best_cost)) {
            best = engine_choice{endpoint, queue_wait(engine)};
            best_cost = cost;
        }
    }
    return best;
}

}  // namespace radishpulley::placement
