/// Remembers which prompt parts each engine read of late, to guess what it still keeps.
///
/// An engine keeps a part only for the same model and adapter and after the same parts before it.
/// Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "base/clock.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Limits of the memory.
struct prompt_memory_settings {
    std::size_t most_entries = 8'192;
    /// Age from which a part counts as dropped by the engine.
    duration lifetime = std::chrono::seconds(20);
};

/// Least recently used table of (engine, model, chain of parts).
class prefix_cache_index {
public:
    explicit prefix_cache_index(prompt_memory_settings settings = {});

    /// The engine reads this request's prompt.
    void on_read(const endpoint_id& engine, const request_attributes& request, time_point now);
    /// The engine restarted.
    void forget(const endpoint_id& engine);
    /// Returns how many leading tokens of the prompt the engine probably keeps.
    std::uint32_t kept_tokens(const endpoint_id& engine, const request_attributes& request,
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
    /// Changes the keys of an engine that restarted, so that its old entries are never found.
    std::unordered_map<endpoint_id, std::uint64_t> restarts_;
};

/// Returns a number that is equal for requests that share all parts but the last.
std::uint64_t shared_prompt_hash(const request_attributes& request);

}  // namespace radishpulley::routing
