/// Which engine holds which adapter, as far as this daemon knows.
///
/// Two sources are joined: the platform's directory, which is complete and late, and hints of the
/// daemon that orders an engine's loads, which come at once and may be lost. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "routing/endpoint.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

enum class adapter_state { absent, loading, loaded };

/// State of one adapter at one engine.
struct adapter_view {
    adapter_state state = adapter_state::absent;
    /// While it loads: when it is expected to be usable.
    time_point ready_at{};
    std::uint64_t version = 0;
    /// The engine has accepted the order; before that a load is only meant.
    bool ordered = true;
};

/// Table of adapters by engine.
class adapter_table {
public:
    /// Sets how many adapters each engine keeps copies of.
    void set_cache_size(std::size_t n) { kept_copies_ = n; }
    /// Takes what an engine says that it holds.
    void on_entry(const endpoint& it, time_point now);
    /// Takes a hint about one adapter at one engine.
    void on_hint(const endpoint_id& engine, const model_ref& adapter, const adapter_view& view,
                 time_point now);
    /// Takes an engine's refusal of a request because it does not hold the adapter.
    void on_missing(const endpoint_id& engine, const model_ref& adapter, time_point now);
    void on_removed(const endpoint_id& engine);
    /// Takes the newest version that was announced for an adapter.
    void on_version(const model_ref& adapter, std::uint64_t version, time_point now);

    /// Returns the state of an adapter at an engine; a load whose time has come counts as loaded.
    adapter_view view(const endpoint_id& engine, const model_ref& adapter, time_point now) const;
    /// Whether the engine holds the base model.
    bool has_model(const endpoint_id& engine, const std::string& model) const;
    /// Returns how many adapters are on their way to all engines.
    std::size_t loads_under_way(time_point now) const;
    /// Whether the engine held the adapter of late, so that it loads fast.
    bool has_copy(const endpoint_id& engine, const model_ref& adapter) const;
    /// Returns the newest announced version, or 0.
    std::uint64_t newest_version(const model_ref& adapter) const;
    /// Returns when the newest version was announced to this daemon.
    time_point announced_at(const model_ref& adapter) const;

private:
    struct cell {
        adapter_view view;
        /// Until then the directory, which is late, does not overrule a hint.
        time_point hint_valid_until = time_point::min();
    };
    struct engine_row {
        std::map<std::string, std::uint64_t> models;
        std::map<model_ref, cell> adapters;
        /// Adapters that it holds or held, the latest last.
        std::deque<model_ref> copies;
    };
    struct announced {
        std::uint64_t version = 0;
        time_point at{};
    };

    void remember_copy(engine_row& row, const model_ref& adapter) const;

    std::size_t kept_copies_ = 40;
    std::map<endpoint_id, engine_row> engines_;
    std::map<model_ref, announced> versions_;
};

}  // namespace radishpulley::routing
