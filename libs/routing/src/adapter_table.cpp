#include "routing/adapter_table.h"

#include <algorithm>
#include <set>

namespace radishpulley::routing {
namespace {

// Maximum delay of the directory behind an engine.
constexpr duration directory_lag = std::chrono::milliseconds(2'500);
// Most versions of one adapter that are remembered.
constexpr std::size_t max_announced_versions = 16;

}  // namespace

void adapter_table::on_entry(const endpoint& it, time_point now) {
    engine_record& row = engines_[it.id];
    row.models.clear();
    std::set<model_ref> held;
    for (const held_model& model : it.models) {
        row.models[model.name] = model.version;
        for (const held_adapter& adapter : model.adapters) {
            const model_ref name{model.name, adapter.name};
            held.insert(name);
            adapter_record& known = row.adapters[name];
            if (std::find(row.cached.begin(), row.cached.end(), name) == row.cached.end()) {
                add_to_cache(row, name);
            }
            if (now >= known.hint_valid_until) {
                known.view = {adapter_state::loaded, now, adapter.version};
            }
        }
    }
    for (auto at = row.adapters.begin(); at != row.adapters.end();) {
        const bool dropped = held.count(at->first) == 0 && now >= at->second.hint_valid_until;
        at = dropped ? row.adapters.erase(at) : std::next(at);
    }
}

void adapter_table::add_to_cache(engine_record& row, const model_ref& adapter) const {
    const auto found = std::find(row.cached.begin(), row.cached.end(), adapter);
    if (found != row.cached.end()) {
        row.cached.erase(found);
    }
    row.cached.push_back(adapter);
    if (row.cached.size() > cache_size_) {
        row.cached.pop_front();
    }
}

bool adapter_table::is_cached(const endpoint_id& engine, const model_ref& adapter) const {
    const auto row = engines_.find(engine);
    return row != engines_.end() && std::find(row->second.cached.begin(), row->second.cached.end(),
                                              adapter) != row->second.cached.end();
}

void adapter_table::on_hint(const endpoint_id& engine, const model_ref& adapter,
                            const adapter_view& view, time_point now) {
    engine_record& row = engines_[engine];
    adapter_record& known = row.adapters[adapter];
    const bool was_held = known.view.state != adapter_state::absent;
    known.view = view;
    if (view.state != adapter_state::absent || was_held) {
        add_to_cache(row, adapter);
    }
    const time_point from = view.state == adapter_state::loading ? view.ready_at : now;
    known.hint_valid_until = from + directory_lag;
}

void adapter_table::on_missing(const endpoint_id& engine, const model_ref& adapter,
                               time_point now) {
    on_hint(engine, adapter, adapter_view{}, now);
}

void adapter_table::on_removed(const endpoint_id& engine) {
    engines_.erase(engine);
}

void adapter_table::on_version(const model_ref& adapter, std::uint64_t version, time_point at) {
    std::vector<announced_version>& known = versions_[adapter];
    if (!known.empty() && version <= known.back().version) {
        return;
    }
    known.push_back({version, at});
    if (known.size() > max_announced_versions) {
        // The oldest one stays, so that a version is required however quickly they follow.
        known.erase(known.begin() + 1);
    }
}

adapter_view adapter_table::view(const endpoint_id& engine, const model_ref& adapter,
                                 time_point now) const {
    const auto row = engines_.find(engine);
    if (row == engines_.end()) {
        return {};
    }
    const auto found = row->second.adapters.find(adapter);
    if (found == row->second.adapters.end()) {
        return {};
    }
    adapter_view it = found->second.view;
    if (it.state == adapter_state::loading && it.ordered && it.ready_at <= now) {
        it.state = adapter_state::loaded;
    }
    return it;
}

std::size_t adapter_table::loads_under_way(time_point now) const {
    std::size_t n = 0;
    for (const auto& [engine, row] : engines_) {
        for (const auto& [adapter, adapter_record] : row.adapters) {
            const adapter_view& it = adapter_record.view;
            const bool is_loading =
                it.state == adapter_state::loading && it.ordered && it.ready_at > now;
            n += is_loading ? 1 : 0;
        }
    }
    return n;
}

bool adapter_table::has_model(const endpoint_id& engine, const std::string& model) const {
    const auto row = engines_.find(engine);
    return row != engines_.end() && row->second.models.count(model) != 0;
}

std::uint64_t adapter_table::newest_version(const model_ref& adapter) const {
    const auto found = versions_.find(adapter);
    return found == versions_.end() ? 0 : found->second.back().version;
}

std::uint64_t adapter_table::version_after(const model_ref& adapter, duration age,
                                           time_point now) const {
    const auto found = versions_.find(adapter);
    std::uint64_t newest = 0;
    if (found != versions_.end()) {
        for (const announced_version& it : found->second) {
            newest = it.at <= now - age ? it.version : newest;
        }
    }
    return newest;
}

}  // namespace radishpulley::routing
