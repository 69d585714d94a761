#include "routing/engine_controller.h"

#include <algorithm>
#include <cmath>

namespace radishpulley::routing {

engine_controller::engine_controller(endpoint_id engine, engine_capacity capacity, keeper_settings settings)
    : engine_(std::move(engine)), capacity_(std::move(capacity)), settings_(settings) {}

void engine_controller::reset() {
    sequence_ = 0;
    models_.clear();
    places_.clear();
    wishes_.clear();
    copies_.clear();
    given_.reset();
    needs_report_ = true;
    report_after_ = time_point{};
    model_ordered_at_ = time_point::min();
}

void engine_controller::on_entry(const endpoint& it) {
    if (it.started_at_ms > started_at_ms_) {
        reset();
        started_at_ms_ = it.started_at_ms;
    }
    if (it.started_at_ms == started_at_ms_) {
        for (const held_model& model : it.models) {
            models_.insert(model.name);
        }
    }
}

void engine_controller::on_missing(const model_ref& adapter, time_point now) {
    const auto found = places_.find(adapter);
    if (found == places_.end() || found->second.leaving) {
        // The request crossed the order that took the adapter away.
        return;
    }
    place& it = found->second;
    if (now < it.ready_at + settings_.late_load) {
        it.ready_at = std::max(it.ready_at, now + settings_.late_load_step);
        return;
    }
    on_doubt(now);
}

void engine_controller::on_doubt(time_point now) {
    if (!needs_report_) {
        needs_report_ = true;
        report_after_ = std::max(now, last_order_at_ + settings_.report_lag);
    }
}

void engine_controller::on_report_lost(time_point now) {
    report_after_ = now + settings_.report_lag;
}

void engine_controller::on_report(const engine_report& it, time_point now) {
    if (it.started_at_ms < started_at_ms_) {
        return;
    }
    if (it.started_at_ms > started_at_ms_) {
        reset();
        started_at_ms_ = it.started_at_ms;
    }
    needs_report_ = false;
    sequence_ = it.order_sequence;
    for (const held_model& model : it.models) {
        models_.insert(model.name);
    }
    std::set<model_ref> held;
    adopt(it.models, now, held);
    adopt(it.pending, now + settings_.fetched_load, held);
    for (auto at = places_.begin(); at != places_.end();) {
        at = held.count(at->first) == 0 ? places_.erase(at) : std::next(at);
    }
    const bool some_leave = std::any_of(places_.begin(), places_.end(),
                                        [](const auto& place) { return place.second.leaving; });
    if (some_leave) {
        needs_report_ = true;
        report_after_ = now + settings_.report_lag;
    }
}

void engine_controller::adopt(const std::vector<held_model>& models, time_point ready_at,
                          std::set<model_ref>& held) {
    for (const held_model& model : models) {
        for (const held_adapter& adapter : model.adapters) {
            const model_ref name{model.name, adapter.name};
            held.insert(name);
            const auto [at, added] = places_.try_emplace(name);
            if (added) {
                at->second.ready_at = ready_at;
                at->second.last_use = ready_at;
                remember_copy(name);
            }
            at->second.version = std::max(at->second.version, adapter.version);
        }
    }
}

void engine_controller::on_version(const model_ref& adapter, std::uint64_t version) {
    std::uint64_t& newest = versions_[adapter];
    newest = std::max(newest, version);
}

double engine_controller::rate_of(const place& it, time_point now) const {
    const double age = std::chrono::duration<double>(now - it.last_use) / settings_.use_window;
    return it.rate * std::exp(-age);
}

void engine_controller::on_use(const model_ref& adapter, time_point now) {
    const auto found = places_.find(adapter);
    if (found == places_.end()) {
        return;
    }
    place& it = found->second;
    it.rate = rate_of(it, now) + 1 / std::chrono::duration<double>(settings_.use_window).count();
    it.last_use = now;
    it.used = true;
}

void engine_controller::on_running(const vm_id& daemon, const std::vector<model_ref>& adapters,
                               time_point now) {
    running_[daemon] = {{adapters.begin(), adapters.end()}, now};
}

std::size_t engine_controller::running_count(time_point now) const {
    return std::count_if(places_.begin(), places_.end(),
                         [&](const auto& it) { return is_running(it.first, now); });
}

bool engine_controller::is_running(const model_ref& adapter, time_point now) const {
    return std::any_of(running_.begin(), running_.end(), [&](const auto& it) {
        return now - it.second.heard < settings_.running_lifetime &&
               it.second.adapters.count(adapter) != 0;
    });
}

std::size_t engine_controller::loads_under_way(time_point now) const {
    return std::count_if(places_.begin(), places_.end(),
                         [now](const auto& it) { return it.second.ready_at > now; });
}

std::size_t engine_controller::room() const {
    double used_mb = 0;
    double adapter_mb = 0;
    for (const model& it : capacity_.models) {
        if (models_.count(it.name) != 0) {
            used_mb += it.weights_mb;
            adapter_mb = std::max(adapter_mb, it.adapter_mb);
        }
    }
    std::size_t places = capacity_.max_adapters;
    if (adapter_mb > 0 && capacity_.weights_mb > 0) {
        const double by_size = std::max(0.0, (capacity_.weights_mb - used_mb) / adapter_mb);
        places = std::min(places, static_cast<std::size_t>(by_size));
    }
    return places > places_.size() ? places - places_.size() : 0;
}

bool engine_controller::has_copy(const model_ref& adapter) const {
    return std::find(copies_.begin(), copies_.end(), adapter) != copies_.end();
}

duration engine_controller::load_time(const model_ref& adapter, std::size_t fleet_loads) const {
    if (has_copy(adapter)) {
        return settings_.warm_load;
    }
    const double crowd =
        static_cast<double>(fleet_loads + 1) / static_cast<double>(settings_.full_speed_loads);
    return std::chrono::duration_cast<duration>(settings_.fetched_load *
                                                std::clamp(crowd, 1.0, settings_.most_slowing));
}

void engine_controller::remember_copy(const model_ref& adapter) {
    copies_.erase(std::remove(copies_.begin(), copies_.end(), adapter), copies_.end());
    copies_.push_back(adapter);
    if (copies_.size() > capacity_.cached_adapters()) {
        copies_.pop_front();
    }
}

load_response engine_controller::on_load_request(const model_ref& adapter, std::size_t fleet_loads,
                                   time_point now, duration patience) {
    const auto found = places_.find(adapter);
    if (found != places_.end()) {
        return answer_for(adapter, found->second, fleet_loads, now);
    }
    if (models_.count(adapter.model) == 0) {
        return load_refused{load_obstacle::no_model};
    }
    drop_settled_wishes(now);
    const auto waiting = std::find_if(wishes_.begin(), wishes_.end(),
                                      [&](const wish& it) { return it.adapter == adapter; });
    const std::size_t ahead = waiting - wishes_.begin();
    const bool is_new = waiting == wishes_.end();
    if (is_new && room() <= ahead && !choose_victim(now)) {
        return load_refused{load_obstacle::places_in_use};
    }
    const auto rounds = static_cast<int>((loads_under_way(now) + ahead) / settings_.parallel_loads);
    const duration ready_in = load_time(adapter, fleet_loads) * (1 + rounds) +
                              (needs_report_ ? settings_.report_lag : duration::zero());
    if (ready_in > patience) {
        return load_refused{load_obstacle::many_waiting};
    }
    if (is_new) {
        wishes_.push_back({adapter, now});
    }
    return load_granted{ready_in, versions_.count(adapter) != 0 ? versions_[adapter] : 0};
}

load_response engine_controller::answer_for(const model_ref& adapter, place& it,
                                      std::size_t fleet_loads, time_point now) const {
    if (it.leaving) {
        return load_refused{load_obstacle::being_changed};
    }
    if (is_outdated(adapter, it)) {
        // It is replaced as soon as nothing runs on it.
        return is_running(adapter, now) ? load_response(load_refused{load_obstacle::being_changed})
                                        : load_response(load_granted{load_time(adapter, fleet_loads),
                                                                   versions_.at(adapter)});
    }
    it.last_use = std::max(it.last_use, now);
    return load_granted{std::max(it.ready_at - now, duration::zero()), it.version, true};
}

void engine_controller::drop_settled_wishes(time_point now) {
    const auto is_settled = [&](const wish& it) {
        return now - it.since > settings_.wish_lifetime || places_.count(it.adapter) != 0;
    };
    wishes_.erase(std::remove_if(wishes_.begin(), wishes_.end(), is_settled), wishes_.end());
}

std::optional<model_ref> engine_controller::choose_victim(time_point now) const {
    const model_ref* best = nullptr;
    double lowest = 0;
    for (const auto& [name, it] : places_) {
        const bool fresh = !it.used && now < it.ready_at + settings_.first_stay;
        const bool busy = it.leaving || it.ready_at > now || fresh;
        if (busy || now - it.last_use < settings_.idle || is_running(name, now)) {
            continue;
        }
        const double rate = is_outdated(name, it) ? -1 : rate_of(it, now);
        if (best == nullptr || rate < lowest) {
            best = &name;
            lowest = rate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<model_ref>(*best);
}

bool engine_controller::is_outdated(const model_ref& adapter, const place& it) const {
    const auto newest = versions_.find(adapter);
    return newest != versions_.end() && it.version < newest->second;
}

std::optional<model_ref> engine_controller::outdated(time_point now) const {
    for (const auto& [name, it] : places_) {
        // Replacing what is in use would keep the engine from all other orders until its requests
        // have ended.
        const bool in_use = is_running(name, now) || now - it.last_use < settings_.replace_idle;
        if (is_outdated(name, it) && !in_use && !it.leaving && it.ready_at <= now) {
            return name;
        }
    }
    return std::nullopt;
}

std::optional<engine_order> engine_controller::order_for_wishes(time_point now) {
    drop_settled_wishes(now);
    if (wishes_.empty() || loads_under_way(now) >= settings_.parallel_loads) {
        return std::nullopt;
    }
    if (room() > 0) {
        engine_order order{order_kind::load, wishes_.front().adapter, 0, sequence_};
        return order;
    }
    const auto victim = choose_victim(now);
    if (!victim) {
        return std::nullopt;
    }
    return engine_order{order_kind::unload, *victim, 0, sequence_};
}

std::optional<engine_order> engine_controller::decide(time_point now) {
    if (given_ || needs_report_ || now < quiet_until_) {
        return std::nullopt;
    }
    for (const model& it : capacity_.models) {
        const bool waits = model_ordered_at_ != time_point::min() &&
                           now < model_ordered_at_ + it.load_time + settings_.model_retry;
        if (models_.empty() && !waits) {
            return engine_order{order_kind::load, {it.name, ""}, 0, sequence_};
        }
    }
    if (const auto name = outdated(now)) {
        return engine_order{order_kind::load, *name, versions_.at(*name), sequence_};
    }
    return order_for_wishes(now);
}

std::optional<engine_order> engine_controller::next_order(time_point now) {
    std::optional<engine_order> order = decide(now);
    if (!order) {
        return order;
    }
    given_ = order;
    last_order_at_ = now;
    if (order->target.adapter.empty()) {
        model_ordered_at_ = now;
    }
    if (order->kind == order_kind::unload) {
        places_[order->target].leaving = true;
    }
    return order;
}

adapter_change engine_controller::note_load(const engine_order& order, std::size_t fleet_loads,
                                        time_point now) {
    const bool is_fetched = !has_copy(order.target);
    const duration takes = load_time(order.target, fleet_loads);
    place& it = places_[order.target];
    it.ready_at = now + takes;
    it.last_use = std::max(it.last_use, now);
    const auto newest = versions_.find(order.target);
    it.version = newest == versions_.end() ? it.version : newest->second;
    remember_copy(order.target);
    return {order.target, true, takes, it.version, is_fetched};
}

adapter_change engine_controller::note_unload(const engine_order& order, bool at_once, time_point now) {
    if (at_once) {
        places_.erase(order.target);
    } else {
        // It leaves when its requests have ended; until then its place is taken.
        needs_report_ = true;
        report_after_ = now + settings_.report_lag;
    }
    return {order.target, false, {}, 0};
}

void engine_controller::note_model_load(const engine_order& order, bool is_there, time_point now) {
    if (is_there) {
        models_.insert(order.target.model);
        return;
    }
    for (const model& it : capacity_.models) {
        if (it.name == order.target.model) {
            needs_report_ = true;
            report_after_ = now + it.load_time + settings_.report_lag;
        }
    }
}

std::optional<adapter_change> engine_controller::on_outcome(order_outcome outcome,
                                                        std::size_t fleet_loads, time_point now) {
    if (!given_) {
        return std::nullopt;
    }
    const engine_order order = *given_;
    given_.reset();
    const bool is_model = order.target.adapter.empty();
    const bool done = outcome == order_outcome::accepted || outcome == order_outcome::already_holds;
    if (!done) {
        if (order.kind == order_kind::unload) {
            places_[order.target].leaving = false;
        }
        quiet_until_ = now + settings_.retry_delay;
        if (outcome == order_outcome::conflict || outcome == order_outcome::rejected) {
            needs_report_ = true;
            report_after_ = now + settings_.report_lag;
        }
        return std::nullopt;
    }
    const bool unloaded = order.kind == order_kind::unload;
    // The engine counts an unload that is done at once, but not a load of what it holds.
    if (outcome == order_outcome::accepted || unloaded) {
        ++sequence_;
    }
    if (is_model) {
        note_model_load(order, outcome == order_outcome::already_holds, now);
        return std::nullopt;
    }
    if (unloaded) {
        return note_unload(order, outcome == order_outcome::already_holds, now);
    }
    return note_load(order, fleet_loads, now);
}

bool engine_controller::needs_report(time_point now) const {
    return needs_report_ && now >= report_after_;
}

bool engine_controller::has_work(time_point now) const {
    return needs_report_ || given_ || !wishes_.empty() || outdated(now) || models_.empty();
}

}  // namespace radishpulley::routing
