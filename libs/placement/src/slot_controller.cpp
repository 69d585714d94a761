#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

constexpr double prefetch_priority_factor = 0.001;

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

slot_controller::slot_controller(endpoint_id endpoint, slot_controller_settings settings,
                                 controller_term term, time_point now)
    : endpoint_(std::move(endpoint)),
      settings_(settings),
      term_(std::move(term)),
      evict_from_(now),
      adopt_from_(now),
      popularity_(settings.popularity),
      load_interval_(settings.initial_load_interval),
      guaranteed_loads_refilled_at_(now) {
    if (term_.first) {
        return;
    }
    evict_from_ = now + settings_.pin_validity + settings_.longest_request + settings_.clock_margin;
    adopt_from_ = now + settings_.report_lag;
    fence_raised_ = !settings_.checks_fencing;
}

// Queries.

bool slot_controller::is_loaded(const adapter_ref& it) const {
    const auto slot_entry = slots_.find(it);
    return slot_entry != slots_.end() && slot_entry->second.state == slot_state::loaded;
}

bool slot_controller::is_pinned(const adapter_ref& it, time_point now) const {
    const auto pins = pins_.find(it);
    if (pins == pins_.end()) {
        return false;
    }
    return std::any_of(pins->second.begin(), pins->second.end(),
                       [now](const auto& entry) { return now < entry.second.hold_until; });
}

std::size_t slot_controller::pin_count() const {
    std::size_t n = 0;
    for (const auto& [adapter, pins] : pins_) {
        n += pins.size();
    }
    return n;
}

bool slot_controller::orders_outstanding(time_point now) const {
    const bool awaited = std::any_of(slots_.begin(), slots_.end(),
                                     [](const auto& it) { return !it.second.is_answered; });
    const bool may_take_effect =
        std::any_of(unanswered_orders_until_.begin(), unanswered_orders_until_.end(),
                    [now](const auto& it) { return now < it.second; });
    return awaited || may_take_effect;
}

bool slot_controller::may_evict(time_point now) const {
    return now >= evict_from_ && term_.suspects.empty();
}

bool slot_controller::in_use(const adapter_ref& adapter, const slot& it, time_point now) const {
    return it.reported_active_requests > 0 || is_pinned(adapter, now);
}

bool slot_controller::is_safe_from_late_orders(const adapter_ref& adapter, time_point now) const {
    if (settings_.checks_fencing) {
        return true;
    }
    const auto it = unanswered_orders_until_.find(adapter);
    return it == unanswered_orders_until_.end() || now >= it->second;
}

double slot_controller::load_priority(const adapter_ref& adapter, time_point now) const {
    const auto it = waiting_requests_.find(adapter);
    if (it == waiting_requests_.end()) {
        return prefetch_priority_factor * popularity_.rate(adapter, now);
    }
    double weight = 0;
    duration oldest{};
    for (const auto& [daemon, entry] : it->second) {
        weight += entry.request.weight;
        oldest = std::max(oldest, entry.request.oldest_wait + (now - entry.last_request_at));
    }
    return weight + seconds(oldest);
}

std::vector<adapter_ref> slot_controller::ready_loads(time_point now) const {
    std::vector<std::pair<double, adapter_ref>> ranked;
    const auto consider = [&](const adapter_ref& adapter) {
        const auto failed = failures_.find(adapter);
        const bool too_early = failed != failures_.end() && now < failed->second.retry_at;
        if (slots_.count(adapter) == 0 && !too_early && is_safe_from_late_orders(adapter, now)) {
            ranked.emplace_back(load_priority(adapter, now), adapter);
        }
    };
    for (const auto& [adapter, waiting] : waiting_requests_) {
        consider(adapter);
    }
    if (ranked.empty() && slots_.size() < settings_.slots) {
        const auto most_requested = popularity_.most_popular(now, [this](const adapter_ref& it) {
            return slots_.count(it) == 0 && failures_.count(it) == 0;
        });
        if (most_requested && popularity_.rate(*most_requested, now) >= settings_.prefetch_rate) {
            consider(*most_requested);
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<adapter_ref> result;
    result.reserve(ranked.size());
    for (auto& [priority, adapter] : ranked) {
        result.push_back(std::move(adapter));
    }
    return result;
}

std::optional<adapter_ref> slot_controller::choose_eviction(time_point now) const {
    std::optional<adapter_ref> victim;
    double lowest_rate = 0;
    if (!may_evict(now)) {
        return victim;
    }
    for (const auto& [adapter, it] : slots_) {
        const bool is_settled = it.state == slot_state::loaded && it.is_answered;
        const bool wanted = waiting_requests_.count(adapter) != 0 && !it.draining;
        if (!is_settled || wanted || in_use(adapter, it, now) ||
            !is_safe_from_late_orders(adapter, now)) {
            continue;
        }
        const double score = popularity_.rate(adapter, now);
        if (!victim || score < lowest_rate) {
            victim = adapter;
            lowest_rate = score;
        }
    }
    return victim;
}

std::optional<adapter_ref> slot_controller::choose_adapter_to_recall(time_point now) const {
    std::optional<adapter_ref> choice;
    double lowest_rate = 0;
    for (const auto& [adapter, it] : slots_) {
        const auto pins = pins_.find(adapter);
        const bool recalled =
            it.recalled_at != time_point::min() && now - it.recalled_at < settings_.permit_retry;
        if (it.state != slot_state::loaded || recalled || it.draining || pins == pins_.end()) {
            continue;
        }
        const bool idle = std::all_of(pins->second.begin(), pins->second.end(), [](const auto& p) {
            return p.second.running == 0 && p.second.waiting == 0;
        });
        const double score = popularity_.rate(adapter, now);
        if (idle && (!choice || score < lowest_rate)) {
            choice = adapter;
            lowest_rate = score;
        }
    }
    return choice;
}

std::optional<adapter_ref> slot_controller::choose_adapter_to_drain(time_point now) const {
    std::optional<adapter_ref> choice;
    double lowest_rate = 0;
    for (const auto& [adapter, it] : slots_) {
        if (it.draining) {
            return std::nullopt;
        }
        const bool is_settled = it.state == slot_state::loaded && it.is_answered;
        const bool stayed = now - it.since > settings_.min_residency;
        const double score = popularity_.rate(adapter, now);
        if (is_settled && stayed && (!choice || score < lowest_rate)) {
            choice = adapter;
            lowest_rate = score;
        }
    }
    return choice;
}

void slot_controller::reopen_slots(time_point now, slot_controller_decisions& out) {
    for (auto& [adapter, it] : slots_) {
        if (it.draining && it.state == slot_state::loaded && ready_loads(now).empty()) {
            it.draining = false;
            grant_waiting_requests(adapter, now, out);
        }
    }
}

std::uint32_t slot_controller::window_for(const vm_incarnation& daemon) const {
    const auto it = demand_.find(daemon);
    const std::uint32_t own_demand = it == demand_.end() ? 0 : it->second.requests;
    // 25 % more than the engine's concurrency keeps its batch full between two grants.
    const std::uint32_t max_requests = settings_.concurrency + settings_.concurrency / 4;
    const std::uint32_t free = max_requests - std::min(max_requests, all_demand_);
    const std::uint32_t share =
        all_demand_ == 0 ? max_requests : max_requests * own_demand / all_demand_;
    return std::max<std::uint32_t>({1, share, own_demand + free});
}

void slot_controller::set_demand(const vm_incarnation& daemon, std::uint32_t requests,
                                 time_point now) {
    const auto it = demand_.try_emplace(daemon).first;
    all_demand_ += requests - it->second.requests;
    it->second = {requests, now};
    if (requests == 0) {
        demand_.erase(it);
    }
}

duration slot_controller::expected_wait() const {
    return load_interval_ * static_cast<int>(std::max<std::size_t>(1, waiting_requests_.size()));
}

engine_digest slot_controller::digest() const {
    return {reported_running_, reported_queued_, settings_.concurrency,
            static_cast<std::uint32_t>(waiting_requests_.size())};
}

std::size_t slot_controller::evicting_count() const {
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(), [](const auto& it) {
        return it.second.state == slot_state::evicting;
    }));
}

// Pins.

slot_controller_decisions slot_controller::on_pin_request(const pin_request& it, time_point now) {
    slot_controller_decisions out;
    if (ended_) {
        return out;
    }
    popularity_.add(it.adapter, it.arrived, now);
    set_demand(it.daemon, it.engine_demand, now);
    const auto pins = pins_.find(it.adapter);
    if (pins != pins_.end()) {
        const auto known = pins->second.find(it.daemon);
        if (known != pins->second.end() && known->second.number > it.number) {
            return out;
        }
    }
    if (adopted_ && is_loaded(it.adapter) && !slots_.at(it.adapter).draining) {
        grant(it, now, out);
        advance(now, out);
        return out;
    }
    waiting_request_map& waiting = waiting_requests_[it.adapter];
    const auto [entry, added] = waiting.try_emplace(it.daemon);
    if (!added && entry->second.request.number > it.number) {
        return out;
    }
    if (added) {
        entry->second.since = now;
    }
    entry->second.request = it;
    entry->second.last_request_at = now;
    refuse(it, pin_refusal_reason::loading, expected_wait(), out);
    advance(now, out);
    return out;
}

void slot_controller::grant(const pin_request& it, time_point now, slot_controller_decisions& out) {
    slot& slot_entry = slots_.at(it.adapter);
    slot_entry.last_use_at = now;
    slot_entry.recalled_at = time_point::min();
    pin& entry = pins_[it.adapter][it.daemon];
    entry.number = it.number;
    entry.hold_until =
        std::max(entry.hold_until,
                 now + settings_.pin_validity + settings_.longest_request + settings_.clock_margin);
    entry.running = it.running;
    entry.waiting = it.waiting;
    pin_grant body;
    body.endpoint = endpoint_;
    body.adapter = it.adapter;
    body.daemon = it.daemon;
    body.number = it.number;
    body.fence = term_.fence;
    body.validity = settings_.pin_validity;
    body.window = window_for(it.daemon);
    body.requests_per_second = popularity_.rate(it.adapter, now);
    body.state = digest();
    out.push_back(send_to_daemon{it.daemon, body});
}

void slot_controller::refuse(const pin_request& it, pin_refusal_reason reason, duration wait,
                             slot_controller_decisions& out) const {
    pin_refusal body;
    body.endpoint = endpoint_;
    body.adapter = it.adapter;
    body.daemon = it.daemon;
    body.number = it.number;
    body.fence = term_.fence;
    body.reason = reason;
    body.expected_wait = wait;
    body.state = digest();
    out.push_back(send_to_daemon{it.daemon, body});
}

void slot_controller::refuse_waiting_requests(const adapter_ref& adapter, pin_refusal_reason reason,
                                              duration wait, slot_controller_decisions& out) {
    const auto it = waiting_requests_.find(adapter);
    if (it == waiting_requests_.end()) {
        return;
    }
    for (const auto& [daemon, entry] : it->second) {
        refuse(entry.request, reason, wait, out);
    }
    waiting_requests_.erase(it);
}

void slot_controller::grant_waiting_requests(const adapter_ref& adapter, time_point now,
                                             slot_controller_decisions& out) {
    const auto it = waiting_requests_.find(adapter);
    if (it == waiting_requests_.end()) {
        return;
    }
    const waiting_request_map waiting = std::move(it->second);
    waiting_requests_.erase(it);
    for (const auto& [daemon, entry] : waiting) {
        grant(entry.request, now, out);
    }
}

slot_controller_decisions slot_controller::on_pin_release(const pin_release& it, time_point now) {
    slot_controller_decisions out;
    if (ended_) {
        return out;
    }
    popularity_.add(it.adapter, it.arrived, now);
    set_demand(it.daemon, it.engine_demand, now);
    const auto waiting = waiting_requests_.find(it.adapter);
    if (waiting != waiting_requests_.end()) {
        const auto entry = waiting->second.find(it.daemon);
        if (entry != waiting->second.end() && entry->second.request.number <= it.number) {
            waiting->second.erase(entry);
        }
        if (waiting->second.empty()) {
            waiting_requests_.erase(waiting);
        }
    }
    const auto pins = pins_.find(it.adapter);
    if (pins != pins_.end()) {
        const auto entry = pins->second.find(it.daemon);
        if (entry != pins->second.end() && entry->second.number <= it.number) {
            pins->second.erase(entry);
        }
        if (pins->second.empty()) {
            pins_.erase(pins);
        }
    }
    advance(now, out);
    return out;
}

slot_controller_decisions slot_controller::on_daemon_ended(const vm_incarnation& who,
                                                           time_point now) {
    slot_controller_decisions out;
    const auto suspect = std::find(term_.suspects.begin(), term_.suspects.end(), who);
    if (suspect != term_.suspects.end()) {
        term_.suspects.erase(suspect);
        evict_from_ = std::max(evict_from_, now + settings_.pin_validity +
                                                settings_.longest_request + settings_.clock_margin);
    }
    set_demand(who, 0, now);
    const time_point last_end = now + settings_.longest_request + settings_.clock_margin;
    for (auto& [adapter, pins] : pins_) {
        const auto it = pins.find(who);
        if (it != pins.end() && it->second.daemon_ended == time_point::max()) {
            it->second.hold_until = std::min(it->second.hold_until, last_end);
            it->second.daemon_ended = now;
            it->second.running = 0;
            it->second.waiting = 0;
        }
    }
    for (auto it = waiting_requests_.begin(); it != waiting_requests_.end();) {
        it->second.erase(who);
        it = it->second.empty() ? waiting_requests_.erase(it) : std::next(it);
    }
    return out;
}

void slot_controller::recall(const adapter_ref& adapter, bool drain,
                             slot_controller_decisions& out) const {
    const auto pins = pins_.find(adapter);
    if (pins == pins_.end()) {
        return;
    }
    for (const auto& [daemon, it] : pins->second) {
        if (it.daemon_ended == time_point::max()) {
            out.push_back(
                send_to_daemon{daemon, pin_recall{endpoint_, adapter, daemon, term_.fence, drain}});
        }
    }
}

// Terms.

keeper_handoff slot_controller::hand_off(time_point now) {
    ended_ = true;
    keeper_handoff result;
    result.endpoint = endpoint_;
    result.fence = term_.fence;
    result.from = term_.self;
    result.unknown_pins = std::max(duration::zero(), evict_from_ - now);
    if (!term_.suspects.empty()) {
        result.unknown_pins = duration::max();
    }
    for (const auto& [adapter, pins] : pins_) {
        for (const auto& [daemon, it] : pins) {
            if (now < it.hold_until) {
                result.pins.push_back({daemon, adapter, it.number, it.hold_until - now});
            }
        }
    }
    return result;
}

slot_controller_decisions slot_controller::on_handoff(const keeper_handoff& it, time_point now) {
    slot_controller_decisions out;
    if (ended_ || it.fence >= term_.fence) {
        return out;
    }
    const auto longest = settings_.pin_validity + settings_.longest_request;
    for (const pin_record& record : it.pins) {
        pin& entry = pins_[record.adapter][record.daemon];
        const duration remaining = std::min<duration>(record.remaining, longest);
        entry.hold_until = std::max(entry.hold_until, now + remaining + settings_.clock_margin);
    }
    const auto suspect = std::find(term_.suspects.begin(), term_.suspects.end(), it.from);
    const bool was_suspect = suspect != term_.suspects.end();
    if (was_suspect) {
        term_.suspects.erase(suspect);
    }
    // After a handover, a vacant entry precedes the next term. After a replacement, the next term
    // follows directly.
    const fencing_number next = it.fence + (was_suspect ? 1 : 2);
    if (next == term_.fence && it.unknown_pins != duration::max()) {
        evict_from_ = std::min(evict_from_, now + it.unknown_pins);
    }
    advance(now, out);
    return out;
}

void slot_controller::on_weight_store_holder(fencing_number fence) {
    store_fence_ = std::max(store_fence_, fence);
}

}  // namespace radishpulley::placement
