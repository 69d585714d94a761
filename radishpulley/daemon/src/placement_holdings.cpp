// The part of placement_runtime that follows the ownership table: what this VM holds.
#include <charconv>
#include <utility>

#include "daemon/placement_runtime.h"
#include "details/holding_names.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {

using detail::engine_holding;
using detail::engine_of;
using detail::ownership_prefix;
using detail::weight_store_holding;
using ownership::holding_id;
using telemetry::log_event;
using telemetry::severity;

namespace {

// All engines together; the weight store's budget grants the rest of its two loads a second.
constexpr double loads_without_permit_per_second = 0.2;

}  // namespace

void placement_runtime::poll_ownership() {
    const std::lock_guard<std::mutex> one_at_a_time(ownership_mutex_);
    const auto result = api_.watch(ownership_prefix, ownership_revision_, duration(0));
    const auto* answer = std::get_if<object_api::watch_answer>(&result);
    if (answer == nullptr) {
        return;
    }
    std::set<ownership::shard_index> indexes;
    bool revalidate = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        revalidate = guard_.needs_revalidation();
    }
    const bool read_all = ownership_revision_ == 0 || !answer->complete || revalidate;
    const ownership::ownership_settings settings;
    for (ownership::shard_index i = 0; read_all && i < settings.shards; ++i) {
        indexes.insert(i);
    }
    for (const std::string& name : answer->changed) {
        ownership::shard_index i = 0;
        const char* first = name.data() + ownership_prefix.size();
        std::from_chars(first, name.data() + name.size(), i);
        indexes.insert(i);
    }
    // Before the reads, because a read that fails sets it back.
    ownership_revision_ = answer->revision;
    read_shards(indexes);
    write_plans();
    hand_over();
}

void placement_runtime::read_shards(const std::set<ownership::shard_index>& indexes) {
    for (const ownership::shard_index i : indexes) {
        const time_point began = clock_.now();
        const ownership::read_result result = store_.read(i);
        if (const auto* it = std::get_if<ownership::shard>(&result)) {
            take_shard(*it, began);
        } else {
            // Everything is read again next time.
            ownership_revision_ = 0;
        }
    }
}

void placement_runtime::take_shard(const ownership::shard& it, time_point read_began) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = clock_.now();
    policy_.on_shard(it, now);
    for (const ownership::holding& entry : it.holdings) {
        guard_.on_entry(entry, read_began);
        if (!entry.vacant()) {
            vms_.on_incarnation_seen(entry.holder, now);
        }
    }
    update_holdings(now);
}

void placement_runtime::write_plans() {
    std::vector<ownership::shard_update> updates;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!policy_.complete()) {
            return;
        }
        updates = policy_.plan(vms_, clock_.now());
    }
    for (const ownership::shard_update& it : updates) {
        const time_point began = clock_.now();
        const ownership::commit_result result = store_.commit(it);
        if (const auto* done = std::get_if<ownership::committed>(&result)) {
            take_shard(done->copy, began);
        } else if (const auto* other = std::get_if<ownership::superseded>(&result)) {
            take_shard(other->copy, began);
        }
    }
}

void placement_runtime::hand_over() {
    std::vector<ownership::shard_update> updates;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const time_point now = clock_.now();
        for (const holding_id& id : policy_.holdings_to_hand_over(vms_, now)) {
            const auto held = held_.find(engine_of(id));
            if (held != held_.end() && held->second.keeper->orders_outstanding(now)) {
                continue;
            }
            if (held != held_.end()) {
                handoffs_[engine_of(id)] = held->second.keeper->hand_off(now);
            }
            end_term(id);
            updates.push_back(policy_.vacate(id));
        }
    }
    for (const ownership::shard_update& update : updates) {
        const time_point began = clock_.now();
        const ownership::commit_result result = store_.commit(update);
        if (const auto* done = std::get_if<ownership::committed>(&result)) {
            take_shard(done->copy, began);
        }
    }
}

void placement_runtime::update_holdings(time_point now) {
    std::set<endpoint_id> mine;
    for (const ownership::holding& it : policy_.own_holdings()) {
        const endpoint_id id = engine_of(it.id);
        if (id.empty()) {
            if (it.id == holding_id(weight_store_holding) && !budget_ && !leaving_) {
                budget_.emplace(placement::load_budget_settings(), it.fence, now);
            }
            continue;
        }
        if (engines_.count(id) != 0 && guard_.may_act(it.id, now)) {
            mine.insert(id);
            start_term(it, now);
        }
    }
    for (auto it = held_.begin(); it != held_.end();) {
        if (mine.count(it->first) != 0) {
            ++it;
            continue;
        }
        const auto entry = policy_.find(engine_holding(it->first));
        if (entry && entry->holder != self_) {
            // Replaced on suspicion: the next holder evicts nothing until it has this.
            handoffs_[it->first] = it->second.keeper->hand_off(now);
        }
        it = held_.erase(it);
    }
    send_handoffs();
    const auto store = policy_.find(holding_id(weight_store_holding));
    if (store && store->holder != self_) {
        budget_.reset();
    }
    for (auto& [id, it] : held_) {
        if (store && !store->vacant()) {
            it.keeper->on_weight_store_holder(store->fence);
        }
    }
    for (const auto& [id, it] : engines_) {
        const auto entry = policy_.find(engine_holding(id));
        if (entry) {
            apply(router_of(it.configured.service).on_holder(id, entry->holder, entry->fence, now));
        }
    }
}

void placement_runtime::send_handoffs() {
    for (auto it = handoffs_.begin(); it != handoffs_.end();) {
        const auto entry = policy_.find(engine_holding(it->first));
        const bool has_next = entry && !entry->vacant() && entry->fence > it->second.fence;
        if (!has_next) {
            ++it;
            continue;
        }
        deliver(entry->holder.vm, it->second);
        it = handoffs_.erase(it);
    }
    dispatch_queued();
}

void placement_runtime::start_term(const ownership::holding& it, time_point now) {
    const endpoint_id id = engine_of(it.id);
    const auto held = held_.find(id);
    if (held != held_.end() && held->second.keeper->fence() == it.fence) {
        return;
    }
    const model::endpoint& configured = engines_.at(id).configured;
    placement::slot_controller_settings settings;
    settings.slots = configured.slots;
    settings.concurrency = configured.concurrency;
    settings.checks_fencing = configured.checks_fencing;
    settings.longest_request = longest_request_;
    settings.guaranteed_loads_per_second =
        loads_without_permit_per_second / static_cast<double>(engines_.size());
    placement::controller_term term;
    term.fence = it.fence;
    term.self = self_;
    term.suspects = it.suspects;
    term.first = it.fence == 1;
    daemons_.insert(it.suspects.begin(), it.suspects.end());
    held_engine entry;
    entry.keeper = std::make_unique<placement::slot_controller>(id, settings, term, now);
    held_[id] = std::move(entry);
    log_event(severity::info, "engine_held", {{"endpoint", id}, {"fence", it.fence}});
}

void placement_runtime::end_term(const holding_id& id) {
    guard_.stop(id);
    held_.erase(engine_of(id));
    if (id == holding_id(weight_store_holding)) {
        budget_.reset();
    }
    log_event(severity::info, "holding_returned", {{"holding", id}});
}

}  // namespace radishpulley::daemon
