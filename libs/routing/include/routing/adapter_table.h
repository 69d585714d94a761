/// This daemon's view of which engine holds which adapter.
///
/// It merges two sources: the platform's directory, which is complete but delayed, and hints of the
/// daemon that orders an engine's loads, which are immediate but may be lost. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "routing/endpoint.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

enum class adapter_state { absent, loading, loaded };

/// State of one adapter at one engine.
struct adapter_view {
    adapter_state state = adapter_state::absent;
    /// When the adapter is expected to be usable, if it is loading.
    time_point ready_at{};
    std::uint64_t version = 0;
    /// Whether the engine has accepted the order; before that the load is only planned.
    bool ordered = true;
};

/// Table of adapters by engine.
class adapter_table {
public:
    /// Sets the number of adapters that each engine caches.
    void set_cache_size(std::size_t n) { cache_size_ = n; }
    /// Applies an engine's directory entry.
    void on_entry(const endpoint& it, time_point now);
    /// Applies a hint about one adapter at one engine.
    void on_hint(const endpoint_id& engine, const model_ref& adapter, const adapter_view& view,
                 time_point now);
    /// Records that an engine refused a request because it does not hold the adapter.
    void on_missing(const endpoint_id& engine, const model_ref& adapter, time_point now);
    void on_removed(const endpoint_id& engine);
    /// Records a version of an adapter that was announced at `at`, or earlier.
    void on_version(const model_ref& adapter, std::uint64_t version, time_point at);

    /// Returns the state of an adapter at an engine; a load whose expected time has passed counts
    /// as loaded.
    adapter_view view(const endpoint_id& engine, const model_ref& adapter, time_point now) const;
    /// Whether the engine holds the base model.
    bool has_model(const endpoint_id& engine, const std::string& model) const;
    /// Returns how many adapters are loading at all engines; loads that are only planned don't
    /// count.
    std::size_t loads_under_way(time_point now) const;
    /// Whether the engine probably has a cached copy of the adapter, so that it loads fast.
    bool is_cached(const endpoint_id& engine, const model_ref& adapter) const;
    /// Returns the newest announced version, or 0.
    std::uint64_t newest_version(const model_ref& adapter) const;
    /// Returns the newest version that was announced at least `age` ago, or 0. Each version that
    /// is older than that one has been replaced for at least as long, also while newer versions
    /// follow each other quickly.
    std::uint64_t version_after(const model_ref& adapter, duration age, time_point now) const;

private:
    struct adapter_record {
        adapter_view view;
        /// Until this time the delayed directory does not override a hint.
        time_point hint_valid_until = time_point::min();
    };
    struct engine_record {
        std::map<std::string, std::uint64_t> models;
        std::map<model_ref, adapter_record> adapters;
        /// Adapters that the engine holds or held, most recent last.
        std::deque<model_ref> cached;
    };
    struct announced_version {
        std::uint64_t version = 0;
        time_point at{};
    };

    void add_to_cache(engine_record& row, const model_ref& adapter) const;

    std::size_t cache_size_ = 40;
    std::map<endpoint_id, engine_record> engines_;
    /// Announced versions by adapter, oldest first.
    std::map<model_ref, std::vector<announced_version>> versions_;
};

}  // namespace radishpulley::routing
