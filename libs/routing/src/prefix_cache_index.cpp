#include "routing/prefix_cache_index.h"

#include "base/digest.h"

namespace radishpulley::routing {
namespace {

std::uint64_t mix(std::uint64_t seed, std::uint64_t value) {
    std::uint64_t x = seed ^ (value + 0x9e3779b97f4a7c15ULL + (seed << 6) + (seed >> 2));
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdULL;
    x ^= x >> 33;
    return x;
}

}  // namespace

prefix_cache_index::prefix_cache_index(prompt_memory_settings settings) : settings_(settings) {}

std::uint64_t prefix_cache_index::seed_of(const endpoint_id& engine,
                                          const request_attributes& request) const {
    const auto restarts = restarts_.find(engine);
    std::uint64_t seed = mix(stable_hash(engine.str()), stable_hash(request.target.model));
    seed = mix(seed, stable_hash(request.target.adapter));
    return mix(seed, restarts == restarts_.end() ? 0 : restarts->second);
}

void prefix_cache_index::on_read(const endpoint_id& engine, const request_attributes& request,
                                 time_point now) {
    std::uint64_t key = seed_of(engine, request);
    for (const prompt_segment& segment : request.segments) {
        key = mix(key, segment.id);
        const auto found = by_key_.find(key);
        if (found != by_key_.end()) {
            found->second->at = now;
            by_age_.splice(by_age_.end(), by_age_, found->second);
            continue;
        }
        by_age_.push_back({key, now});
        by_key_[key] = std::prev(by_age_.end());
    }
    while (by_age_.size() > settings_.max_entries) {
        by_key_.erase(by_age_.front().key);
        by_age_.pop_front();
    }
}

void prefix_cache_index::forget(const endpoint_id& engine) {
    ++restarts_[engine];
}

std::uint32_t prefix_cache_index::cached_tokens(const endpoint_id& engine,
                                                const request_attributes& request,
                                                time_point now) const {
    std::uint64_t key = seed_of(engine, request);
    std::uint32_t cached = 0;
    for (const prompt_segment& segment : request.segments) {
        key = mix(key, segment.id);
        const auto found = by_key_.find(key);
        if (found == by_key_.end() || now - found->second->at > settings_.lifetime) {
            break;
        }
        cached += segment.tokens;
    }
    return cached;
}

std::uint64_t shared_prefix_hash(const request_attributes& request) {
    std::uint64_t key = mix(stable_hash(request.target.model), stable_hash(request.target.adapter));
    for (std::size_t i = 0; i + 1 < request.segments.size(); ++i) {
        key = mix(key, request.segments[i].id);
    }
    return key;
}

}  // namespace radishpulley::routing
