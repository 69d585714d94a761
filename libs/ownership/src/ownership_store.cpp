#include "ownership/ownership_store.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace radishpulley::ownership {
namespace {

constexpr int max_attempts = 8;

enum class update_state { not_applied, applied, conflicting };

holding* find(std::vector<holding>& list, const holding_id& id) {
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&id](const holding& entry) { return entry.id == id; });
    return it == list.end() ? nullptr : &*it;
}

update_state state_of(std::vector<holding>& list, const assignment& it) {
    const holding* entry = find(list, it.id);
    const fencing_number fence = entry == nullptr ? 0 : entry->fence;
    if (fence == it.expected_fence) {
        return update_state::not_applied;
    }
    const bool ours = fence == it.fence() && entry->holder == it.holder;
    return ours ? update_state::applied : update_state::conflicting;
}

update_state state_of(shard& copy, const shard_update& update) {
    std::size_t applied = 0;
    for (const assignment& it : update.assignments) {
        const update_state state = state_of(copy.holdings, it);
        if (state == update_state::conflicting) {
            return update_state::conflicting;
        }
        applied += state == update_state::applied ? 1 : 0;
    }
    if (applied == 0) {
        return update.assignments.empty() ? update_state::applied : update_state::not_applied;
    }
    return applied == update.assignments.size() ? update_state::applied : update_state::conflicting;
}

void apply(std::vector<holding>& list, const assignment& it) {
    holding* entry = find(list, it.id);
    if (entry == nullptr) {
        list.push_back({it.id, {}, 0, {}});
        entry = &list.back();
    }
    entry->holder = it.holder;
    entry->fence = it.fence();
    entry->suspects = it.suspects;
}

shard with_update(shard copy, const shard_update& update) {
    for (const assignment& it : update.assignments) {
        apply(copy.holdings, it);
    }
    return copy;
}

}  // namespace

shard merge_restored(const shard& known, const shard& restored) {
    shard out = restored;
    for (const holding& it : known.holdings) {
        holding* entry = find(out.holdings, it.id);
        if (entry == nullptr) {
            out.holdings.push_back(it);
        } else if (entry->fence < it.fence) {
            *entry = it;
        }
    }
    return out;
}

std::optional<shard> try_apply(const shard& copy, const shard_update& update) {
    shard next = copy;
    if (state_of(next, update) != update_state::not_applied) {
        return std::nullopt;
    }
    return with_update(std::move(next), update);
}

ownership_store::ownership_store(object_api::object_store& store, std::string prefix)
    : store_(store), prefix_(std::move(prefix)) {}

std::string ownership_store::object_name(shard_index index) const {
    return prefix_ + std::to_string(index);
}

read_result ownership_store::read(shard_index index) {
    const object_api::get_result result = store_.get(object_name(index));
    if (std::holds_alternative<object_api::unreachable>(result)) {
        return object_api::unreachable{};
    }
    shard copy;
    copy.index = index;
    if (const auto* it = std::get_if<object_api::object>(&result)) {
        copy.version = it->version;
        copy.holdings = decode(it->value);
    }
    return copy;
}

commit_result ownership_store::commit(const shard_update& update) {
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        read_result answer = read(update.index);
        if (std::holds_alternative<object_api::unreachable>(answer)) {
            return indeterminate{};
        }
        shard copy = std::get<shard>(std::move(answer));
        switch (state_of(copy, update)) {
            case update_state::applied:
                return committed{std::move(copy)};
            case update_state::conflicting:
                return superseded{std::move(copy)};
            case update_state::not_applied:
                break;
        }
        shard next = with_update(copy, update);
        const object_api::put_result result =
            store_.put(object_name(update.index), encode(next.holdings), copy.version);
        if (const auto* it = std::get_if<object_api::stored>(&result)) {
            next.version = it->version;
            return committed{std::move(next)};
        }
    }
    return indeterminate{};
}

}  // namespace radishpulley::ownership
