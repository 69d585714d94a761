/// Tracks which prompt segments each engine read recently, to estimate the contents of its prefix
/// cache.
///
/// An engine reuses a segment only for the same model and adapter and after the same preceding
/// segments. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "base/clock.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Bounds of the index.
struct prompt_memory_settings {
    std::size_t max_entries = 8'192;
    /// Age above which a segment is assumed to be evicted by the engine.
    duration lifetime = std::chrono::seconds(20);
};

/// LRU table of (engine, model, chain of segments).
class prefix_cache_index {
public:
    explicit prefix_cache_index(prompt_memory_settings settings = {});

    /// Records that the engine reads this request's prompt.
    void on_read(const endpoint_id& engine, const request_attributes& request, time_point now);
    /// Drops the entries of an engine that restarted.
    void forget(const endpoint_id& engine);
    /// Returns how many leading tokens of the prompt the engine probably has cached.
    std::uint32_t cached_tokens(const endpoint_id& engine, const request_attributes& request,
                                time_point now) const;

private:
    struct entry {
        std::uint64_t key = 0;
        time_point at{};
    };

    std::uint64_t seed_of(const endpoint_id& engine, const request_attributes& request) const;

    prompt_memory_settings settings_;
    std::list<entry> by_age_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> by_key_;
    /// Restart counts. They change the keys of a restarted engine, so that its old entries are
    /// never found.
    std::unordered_map<endpoint_id, std::uint64_t> restarts_;
};

/// Returns a hash that is equal for requests that share all segments but the last.
std::uint64_t shared_prefix_hash(const request_attributes& request);

}  // namespace radishpulley::routing
