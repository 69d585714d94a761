#include "routing/engine_controller.h"

#include <algorithm>
#include <cmath>

namespace radishpulley::routing {
namespace {

// Change of a ready time that other daemons are not told.
constexpr duration announcement_tolerance = std::chrono::milliseconds(20);

}  // namespace

engine_controller::engine_controller(endpoint_id engine, engine_capacity capacity,
                                     adapter_load_times& load_times,
                                     engine_controller_settings settings)
    : engine_(std::move(engine)),
      capacity_(std::move(capacity)),
      settings_(settings),
      load_times_(load_times) {}

void engine_controller::reset() {
    sequence_ = 0;
    models_.clear();
    slots_.clear();
    pending_loads_.clear();
    cached_.clear();
    outstanding_order_.reset();
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
    const auto found = slots_.find(adapter);
    if (found == slots_.end() || found->second.leaving) {
        // The request crossed the order that evicted the adapter.
        return;
    }
    adapter_slot& it = found->second;
    if (it.load) {
        it.load->first_use.reset();
    }
    const bool may_be_late =
        it.load && now - it.load->ordered_at <= it.load->expected * settings_.max_lateness;
    if (may_be_late) {
        // The request was sent when the adapter should have been usable, and reported later.
        const time_point sent_at = std::min(now, it.ready_at);
        postpone(it, sent_at - it.load->ordered_at, now);
        return;
    }
    it.ready_at = std::max(it.ready_at, now + settings_.report_lag);
    request_report(now);
}

void engine_controller::postpone(adapter_slot& it, duration elapsed, time_point now) {
    const observed_load& load = *it.load;
    load_time_estimator& times = load_times_.source(load.is_fetched);
    times.on_missing(load.concurrent_loads, elapsed, now);
    const auto step = std::chrono::duration_cast<duration>(elapsed * settings_.late_load_step);
    it.ready_at = std::max(
        {it.ready_at, now + step, load.ordered_at + times.expected(load.concurrent_loads)});
}

std::vector<adapter_change> engine_controller::take_postponed(time_point now) {
    std::vector<adapter_change> out;
    for (auto& [name, it] : slots_) {
        if (!it.load || it.load->first_use || it.leaving) {
            continue;
        }
        const observed_load& load = *it.load;
        const duration expected =
            load_times_.source(load.is_fetched).expected(load.concurrent_loads);
        if (expected > load.expected) {
            it.ready_at = std::max(it.ready_at, load.ordered_at + expected);
        }
        if (it.ready_at > std::max(now, it.announced_ready_at + announcement_tolerance)) {
            it.announced_ready_at = it.ready_at;
            out.push_back({name, true, it.ready_at - now, it.version});
        }
    }
    return out;
}

void engine_controller::advance(time_point now) {
    for (auto& [name, it] : slots_) {
        const bool is_confirmed = it.load && it.load->first_use &&
                                  now >= *it.load->first_use + settings_.confirmation_delay;
        if (is_confirmed) {
            const observed_load& load = *it.load;
            load_times_.source(load.is_fetched)
                .on_present(load.concurrent_loads, *load.first_use - load.ordered_at, now);
            it.load.reset();
        }
    }
}

void engine_controller::request_report(time_point now) {
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
    merge_reported(it, now, held);
    for (auto at = slots_.begin(); at != slots_.end();) {
        at = held.count(at->first) == 0 ? slots_.erase(at) : std::next(at);
    }
    const bool is_evicting = std::any_of(slots_.begin(), slots_.end(),
                                         [](const auto& slot) { return slot.second.leaving; });
    if (is_evicting) {
        needs_report_ = true;
        report_after_ = now + settings_.report_lag;
    }
}

void engine_controller::merge_reported(const engine_report& it, time_point now,
                                       std::set<model_ref>& held) {
    for (const bool is_pending : {false, true}) {
        for (const held_model& model : is_pending ? it.pending : it.models) {
            for (const held_adapter& adapter : model.adapters) {
                const model_ref name{model.name, adapter.name};
                held.insert(name);
                merge_adapter(name, adapter.version, is_pending, now);
            }
        }
    }
}

void engine_controller::merge_adapter(const model_ref& name, std::uint64_t version, bool is_pending,
                                      time_point now) {
    const auto [at, added] = slots_.try_emplace(name);
    adapter_slot& it = at->second;
    if (added) {
        it.ready_at = is_pending ? now + load_times_.fetched.expected(1) : now;
        it.last_use = it.ready_at;
        add_to_cache(name);
    }
    // The report may be that old, so a pending load has run at least until then.
    const time_point as_of = now - settings_.report_lag;
    if (is_pending && it.load && as_of > it.load->ordered_at) {
        postpone(it, as_of - it.load->ordered_at, now);
    } else if (is_pending && !it.load) {
        it.ready_at = std::max(it.ready_at, now + load_times_.fetched.expected(1));
    }
    it.version = std::max(it.version, version);
}

void engine_controller::on_version(const model_ref& adapter, std::uint64_t version) {
    std::uint64_t& newest = versions_[adapter];
    if (version > newest) {
        newest = version;
        // The cached copy is of an older version.
        cached_.erase(std::remove(cached_.begin(), cached_.end(), adapter), cached_.end());
    }
}

double engine_controller::decayed_use_rate(const adapter_slot& it, time_point now) const {
    const double age = std::chrono::duration<double>(now - it.last_use) / settings_.usage_window;
    return it.rate * std::exp(-age);
}

void engine_controller::on_use(const model_ref& adapter, time_point now) {
    const auto found = slots_.find(adapter);
    if (found == slots_.end()) {
        return;
    }
    adapter_slot& it = found->second;
    it.rate = decayed_use_rate(it, now) +
              1 / std::chrono::duration<double>(settings_.usage_window).count();
    it.last_use = now;
    it.used = true;
    // An earlier use ran on the version that this load replaces.
    if (it.load && !it.load->first_use && now >= it.ready_at) {
        it.load->first_use = now;
    }
}

void engine_controller::on_running(const vm_id& daemon, const std::vector<model_ref>& adapters,
                                   time_point now) {
    running_[daemon] = {{adapters.begin(), adapters.end()}, now};
}

std::size_t engine_controller::running_count(time_point now) const {
    return std::count_if(slots_.begin(), slots_.end(),
                         [&](const auto& it) { return is_running(it.first, now); });
}

bool engine_controller::is_running(const model_ref& adapter, time_point now) const {
    return std::any_of(running_.begin(), running_.end(), [&](const auto& it) {
        return now - it.second.received_at < settings_.running_lifetime &&
               it.second.adapters.count(adapter) != 0;
    });
}

std::size_t engine_controller::loads_under_way(time_point now) const {
    return std::count_if(slots_.begin(), slots_.end(),
                         [now](const auto& it) { return it.second.ready_at > now; });
}

std::size_t engine_controller::free_slots() const {
    double used_mb = 0;
    double adapter_mb = 0;
    for (const model& it : capacity_.models) {
        if (models_.count(it.name) != 0) {
            used_mb += it.weights_mb;
            adapter_mb = std::max(adapter_mb, it.adapter_mb);
        }
    }
    std::size_t slots = capacity_.max_adapters;
    if (adapter_mb > 0 && capacity_.weights_mb > 0) {
        const double by_size = std::max(0.0, (capacity_.weights_mb - used_mb) / adapter_mb);
        slots = std::min(slots, static_cast<std::size_t>(by_size));
    }
    return slots > slots_.size() ? slots - slots_.size() : 0;
}

bool engine_controller::is_cached(const model_ref& adapter) const {
    return std::find(cached_.begin(), cached_.end(), adapter) != cached_.end();
}

duration engine_controller::expected_load_time(const model_ref& adapter,
                                               std::size_t fleet_loads) const {
    return load_times_.source(!is_cached(adapter)).expected(fleet_loads + 1);
}

void engine_controller::add_to_cache(const model_ref& adapter) {
    cached_.erase(std::remove(cached_.begin(), cached_.end(), adapter), cached_.end());
    cached_.push_back(adapter);
    if (cached_.size() > capacity_.cached_adapters()) {
        cached_.pop_front();
    }
}

load_response engine_controller::on_load_request(const model_ref& adapter, std::size_t fleet_loads,
                                                 time_point now, duration max_wait) {
    const auto found = slots_.find(adapter);
    if (found != slots_.end()) {
        return response_for_present(adapter, found->second, fleet_loads, now);
    }
    if (models_.count(adapter.model) == 0) {
        return load_refused{load_obstacle::no_model};
    }
    drop_settled_requests(now);
    const auto queued = std::find_if(pending_loads_.begin(), pending_loads_.end(),
                                     [&](const pending_load& it) { return it.adapter == adapter; });
    const std::size_t queue_position = queued - pending_loads_.begin();
    const load_response out =
        response_for_queued(adapter, queue_position, fleet_loads, now, max_wait);
    if (std::holds_alternative<load_refused>(out)) {
        return out;
    }
    const time_point wanted_until =
        max_wait > settings_.max_queue_time ? now + settings_.max_queue_time : now + max_wait;
    if (queued == pending_loads_.end()) {
        pending_loads_.push_back({adapter, wanted_until});
    } else {
        queued->wanted_until = std::max(queued->wanted_until, wanted_until);
    }
    return out;
}

load_response engine_controller::response_for_queued(const model_ref& adapter,
                                                     std::size_t queue_position,
                                                     std::size_t fleet_loads, time_point now,
                                                     duration max_wait) const {
    const time_point begin = needs_report_ ? now + settings_.report_lag : now;
    load_schedule timetable = schedule(now);
    for (std::size_t i = 0; i < queue_position; ++i) {
        timetable.add(expected_load_time(pending_loads_[i].adapter, fleet_loads), begin);
    }
    const auto ready_at = timetable.add(expected_load_time(adapter, fleet_loads), begin);
    if (!ready_at) {
        return load_refused{load_obstacle::places_in_use, std::nullopt};
    }
    const duration ready_in = *ready_at - now;
    if (ready_in > max_wait) {
        return load_refused{load_obstacle::many_waiting, ready_in};
    }
    const auto newest = versions_.find(adapter);
    return load_granted{ready_in, newest == versions_.end() ? 0 : newest->second};
}

load_schedule engine_controller::schedule(time_point now) const {
    std::vector<time_point> places(free_slots(), now);
    std::vector<time_point> load_slots(settings_.max_parallel_loads, now);
    std::size_t loads = 0;
    for (const auto& [name, it] : slots_) {
        if (const auto at = evictable_at(name, it, now)) {
            places.push_back(*at);
        }
        if (it.ready_at > now && loads < load_slots.size()) {
            load_slots[loads++] = it.ready_at;
        }
    }
    return load_schedule(places, load_slots);
}

std::optional<time_point> engine_controller::evictable_at(const model_ref& adapter,
                                                          const adapter_slot& it,
                                                          time_point now) const {
    if (it.leaving || is_running(adapter, now)) {
        return std::nullopt;
    }
    const time_point unused_until = it.used ? it.ready_at : it.ready_at + settings_.min_residency;
    return std::max(unused_until, it.last_use + settings_.eviction_idle);
}

load_response engine_controller::response_for_present(const model_ref& adapter, adapter_slot& it,
                                                      std::size_t fleet_loads,
                                                      time_point now) const {
    if (it.leaving) {
        return load_refused{load_obstacle::being_changed};
    }
    if (is_outdated(adapter, it)) {
        // The old version is replaced as soon as no request is running on it.
        return is_running(adapter, now)
                   ? load_response(load_refused{load_obstacle::being_changed})
                   : load_response(load_granted{expected_load_time(adapter, fleet_loads),
                                                versions_.at(adapter)});
    }
    it.last_use = std::max(it.last_use, now);
    return load_granted{std::max(it.ready_at - now, duration::zero()), it.version, true};
}

void engine_controller::drop_settled_requests(time_point now) {
    const auto is_settled = [&](const pending_load& it) {
        return now > it.wanted_until || slots_.count(it.adapter) != 0;
    };
    pending_loads_.erase(std::remove_if(pending_loads_.begin(), pending_loads_.end(), is_settled),
                         pending_loads_.end());
}

std::optional<model_ref> engine_controller::choose_victim(time_point now) const {
    const model_ref* best = nullptr;
    double lowest = 0;
    for (const auto& [name, it] : slots_) {
        const auto at = evictable_at(name, it, now);
        if (!at || *at > now) {
            continue;
        }
        const double rate = is_outdated(name, it) ? -1 : decayed_use_rate(it, now);
        if (best == nullptr || rate < lowest) {
            best = &name;
            lowest = rate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<model_ref>(*best);
}

bool engine_controller::is_outdated(const model_ref& adapter, const adapter_slot& it) const {
    const auto newest = versions_.find(adapter);
    return newest != versions_.end() && it.version < newest->second;
}

std::optional<model_ref> engine_controller::find_outdated_adapter(time_point now) const {
    for (const auto& [name, it] : slots_) {
        // Replacing an adapter in use would block all other orders to the engine until its requests
        // have ended.
        const bool in_use = is_running(name, now) || now - it.last_use < settings_.replacement_idle;
        if (is_outdated(name, it) && !in_use && !it.leaving && it.ready_at <= now) {
            return name;
        }
    }
    return std::nullopt;
}

std::optional<engine_order> engine_controller::next_adapter_order(time_point now) {
    drop_settled_requests(now);
    if (pending_loads_.empty() || loads_under_way(now) >= settings_.max_parallel_loads) {
        return std::nullopt;
    }
    if (free_slots() > 0) {
        engine_order order{order_kind::load, pending_loads_.front().adapter, 0, sequence_};
        return order;
    }
    const auto victim = choose_victim(now);
    if (!victim) {
        return std::nullopt;
    }
    return engine_order{order_kind::unload, *victim, 0, sequence_};
}

std::optional<engine_order> engine_controller::choose_order(time_point now) {
    if (outstanding_order_ || needs_report_ || now < retry_at_) {
        return std::nullopt;
    }
    for (const model& it : capacity_.models) {
        const bool is_ordered =
            model_ordered_at_ != time_point::min() &&
            now < model_ordered_at_ + it.load_time + settings_.model_retry_delay;
        if (models_.empty() && !is_ordered) {
            return engine_order{order_kind::load, {it.name, ""}, 0, sequence_};
        }
    }
    if (const auto name = find_outdated_adapter(now)) {
        return engine_order{order_kind::load, *name, versions_.at(*name), sequence_};
    }
    return next_adapter_order(now);
}

std::optional<engine_order> engine_controller::next_order(time_point now) {
    std::optional<engine_order> order = choose_order(now);
    if (!order) {
        return order;
    }
    outstanding_order_ = order;
    last_order_at_ = now;
    if (order->target.adapter.empty()) {
        model_ordered_at_ = now;
    }
    if (order->kind == order_kind::unload) {
        slots_[order->target].leaving = true;
    }
    return order;
}

adapter_change engine_controller::apply_load(const engine_order& order, std::size_t fleet_loads,
                                             time_point now) {
    const bool is_fetched = !is_cached(order.target);
    const std::size_t loads = fleet_loads + 1;
    load_time_estimator& times = load_times_.source(is_fetched);
    const duration expected = times.expected(loads);
    const duration ready_in = times.plan(loads, now);
    adapter_slot& it = slots_[order.target];
    it.ready_at = now + ready_in;
    it.announced_ready_at = it.ready_at;
    it.load = observed_load{now, expected, loads, is_fetched, std::nullopt};
    it.last_use = std::max(it.last_use, now);
    const auto newest = versions_.find(order.target);
    it.version = newest == versions_.end() ? it.version : newest->second;
    add_to_cache(order.target);
    adapter_change out{order.target, true, ready_in, it.version};
    if (is_fetched) {
        out.load_time = expected;
        out.concurrent_loads = loads;
    }
    return out;
}

adapter_change engine_controller::apply_unload(const engine_order& order, bool at_once,
                                               time_point now) {
    if (at_once) {
        slots_.erase(order.target);
    } else {
        // The adapter is evicted once its requests have ended; until then its slot is occupied.
        needs_report_ = true;
        report_after_ = now + settings_.report_lag;
    }
    return {order.target, false, {}, 0};
}

void engine_controller::apply_model_load(const engine_order& order, bool is_loaded,
                                         time_point now) {
    if (is_loaded) {
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
                                                            std::size_t fleet_loads,
                                                            time_point now) {
    if (!outstanding_order_) {
        return std::nullopt;
    }
    const engine_order order = *outstanding_order_;
    outstanding_order_.reset();
    const bool is_model = order.target.adapter.empty();
    const bool is_done =
        outcome == order_outcome::accepted || outcome == order_outcome::already_holds;
    if (!is_done) {
        if (order.kind == order_kind::unload) {
            slots_[order.target].leaving = false;
        }
        retry_at_ = now + settings_.retry_delay;
        if (outcome == order_outcome::conflict || outcome == order_outcome::rejected) {
            needs_report_ = true;
            report_after_ = now + settings_.report_lag;
        }
        return std::nullopt;
    }
    const bool unloaded = order.kind == order_kind::unload;
    // The engine counts an unload that completes at once, but not a load of an adapter that it
    // already holds.
    if (outcome == order_outcome::accepted || unloaded) {
        ++sequence_;
    }
    if (is_model) {
        apply_model_load(order, outcome == order_outcome::already_holds, now);
        return std::nullopt;
    }
    if (unloaded) {
        return apply_unload(order, outcome == order_outcome::already_holds, now);
    }
    return apply_load(order, fleet_loads, now);
}

bool engine_controller::needs_report(time_point now) const {
    return needs_report_ && now >= report_after_;
}

bool engine_controller::has_work(time_point now) const {
    return needs_report_ || outstanding_order_ || !pending_loads_.empty() ||
           find_outdated_adapter(now) || models_.empty();
}

}  // namespace radishpulley::routing
