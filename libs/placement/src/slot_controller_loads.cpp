// Part of slot_controller: load permits, loads and evictions.
#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

constexpr double max_guaranteed_loads = 1;
constexpr std::size_t max_permit_requests = 64;
/// Requests per second: one in four hours.
constexpr double min_popularity = 1.0 / (4 * 3600);

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

slot_controller_decisions slot_controller::on_permit(const load_permit& it, time_point now) {
    slot_controller_decisions out;
    if (it.endpoint != endpoint_ || it.holder != term_.self) {
        return out;
    }
    const auto asked = permit_requests_.find(it.number);
    const bool in_time = asked != permit_requests_.end() && now < asked->second + it.validity;
    const auto id = std::make_pair(it.fence, it.permit);
    if (id <= last_permit_) {
        return out;
    }
    if (ended_ || !in_time || it.fence < store_fence_) {
        return_permit(it, out);
        return out;
    }
    on_weight_store_holder(it.fence);
    last_permit_ = id;
    permits_.push_back(it);
    advance(now, out);
    return out;
}

void slot_controller::return_permit(const load_permit& it, slot_controller_decisions& out) const {
    out.push_back(send_to_weight_store{
        permit_done{term_.self, endpoint_, it.permit, it.fence, /*used=*/false}});
}

void slot_controller::finish_permit(slot& slot_entry, slot_controller_decisions& out) const {
    if (slot_entry.permit) {
        out.push_back(
            send_to_weight_store{permit_done{term_.self, endpoint_, slot_entry.permit->permit,
                                             slot_entry.permit->fence, /*used=*/true}});
        slot_entry.permit.reset();
    }
}

void slot_controller::start_loads(time_point now, slot_controller_decisions& out) {
    for (const adapter_ref& adapter : ready_loads(now)) {
        const bool has_guaranteed_load = guaranteed_loads_ >= 1;
        if (permits_.empty() && !has_guaranteed_load) {
            return;
        }
        if (slots_.size() >= settings_.slots) {
            evict_for_loads(now, out);
            return;
        }
        slot& slot_entry = slots_[adapter];
        slot_entry.since = now;
        if (permits_.empty()) {
            guaranteed_loads_ -= 1;
        } else {
            slot_entry.permit = permits_.front();
            permits_.erase(permits_.begin());
        }
        issue_order(order_kind::load, adapter, slot_entry, now, out);
    }
}

void slot_controller::evict_for_loads(time_point now, slot_controller_decisions& out) {
    const std::size_t loads = permits_.size() + (guaranteed_loads_ >= 1 ? 1 : 0);
    while (evicting_count() < loads) {
        const std::optional<adapter_ref> victim = choose_eviction(now);
        if (!victim) {
            break;
        }
        issue_order(order_kind::evict, *victim, slots_.at(*victim), now, out);
    }
}

void slot_controller::free_slot(const adapter_ref& wanted, time_point now,
                                slot_controller_decisions& out) {
    if (const auto idle = choose_adapter_to_recall(now)) {
        slots_.at(*idle).recalled_at = now;
        recall(*idle, /*drain=*/false, out);
        return;
    }
    const auto waiting = waiting_requests_.find(wanted);
    if (waiting == waiting_requests_.end()) {
        return;
    }
    const bool waited_too_long =
        std::any_of(waiting->second.begin(), waiting->second.end(), [this, now](const auto& it) {
            return now - it.second.since > settings_.max_wait_before_draining;
        });
    if (const auto it = waited_too_long ? choose_adapter_to_drain(now) : std::nullopt) {
        slots_.at(*it).draining = true;
        recall(*it, /*drain=*/true, out);
    }
}

void slot_controller::request_permits(time_point now, slot_controller_decisions& out) {
    const std::vector<adapter_ref> loads = ready_loads(now);
    std::size_t free_slots =
        settings_.slots - std::min<std::size_t>(settings_.slots, slots_.size());
    free_slots += evicting_count();
    if (free_slots == 0 && !loads.empty()) {
        if (choose_eviction(now)) {
            free_slots = 1;
        } else if (may_evict(now)) {
            free_slot(loads.front(), now, out);
        }
    }
    const std::size_t wanted = std::min(loads.size(), free_slots);
    const std::size_t missing = wanted - std::min(wanted, permits_.size());
    const bool recent = !permit_requests_.empty() &&
                        now - permit_requests_.rbegin()->second < settings_.permit_retry;
    if (missing == permits_asked_ && (missing == 0 || recent)) {
        return;
    }
    permits_asked_ = missing;
    permit_request body;
    body.holder = term_.self;
    body.endpoint = endpoint_;
    body.number = ++last_number_;
    for (std::size_t i = 0; i < missing; ++i) {
        body.needs.push_back(load_priority(loads[i], now));
    }
    permit_requests_[body.number] = now;
    out.push_back(send_to_weight_store{body});
}

void slot_controller::advance(time_point now, slot_controller_decisions& out) {
    if (ended_ || !adopted_ || !fence_raised_) {
        return;
    }
    drop_permits(now, out);
    refill_guaranteed_loads(now);
    reopen_slots(now, out);
    start_loads(now, out);
    request_permits(now, out);
}

slot_controller_decisions slot_controller::tick(time_point now) {
    slot_controller_decisions out;
    if (ended_) {
        return out;
    }
    drop_expired(now);
    repeat_orders(now, out);
    advance(now, out);
    return out;
}

void slot_controller::drop_expired(time_point now) {
    for (auto it = pins_.begin(); it != pins_.end();) {
        for (auto entry = it->second.begin(); entry != it->second.end();) {
            const bool over = now >= entry->second.hold_until;
            entry = over ? it->second.erase(entry) : std::next(entry);
        }
        it = it->second.empty() ? pins_.erase(it) : std::next(it);
    }
    std::vector<vm_incarnation> inactive;
    for (const auto& [daemon, it] : demand_) {
        if (now - it.last_request_at > settings_.pin_validity * 2) {
            inactive.push_back(daemon);
        }
    }
    for (const vm_incarnation& it : inactive) {
        set_demand(it, 0, now);
    }
    for (auto it = waiting_requests_.begin(); it != waiting_requests_.end();) {
        for (auto entry = it->second.begin(); entry != it->second.end();) {
            const bool over = now - entry->second.last_request_at > settings_.waiting_request_ttl;
            entry = over ? it->second.erase(entry) : std::next(entry);
        }
        it = it->second.empty() ? waiting_requests_.erase(it) : std::next(it);
    }
    for (auto it = unanswered_orders_until_.begin(); it != unanswered_orders_until_.end();) {
        it = now >= it->second ? unanswered_orders_until_.erase(it) : std::next(it);
    }
    for (auto it = unloaded_at_.begin(); it != unloaded_at_.end();) {
        const bool over = now - it->second > settings_.report_lag;
        it = over ? unloaded_at_.erase(it) : std::next(it);
    }
    if (now - pruned_at_ > settings_.popularity.half_life) {
        popularity_.prune(min_popularity, now);
        pruned_at_ = now;
    }
}

void slot_controller::drop_permits(time_point now, slot_controller_decisions& out) {
    for (auto it = permits_.begin(); it != permits_.end();) {
        const bool valid = now < permit_requests_.at(it->number) + it->validity;
        if (!valid) {
            return_permit(*it, out);
        }
        it = valid ? std::next(it) : permits_.erase(it);
    }
    while (permit_requests_.size() > max_permit_requests) {
        const message_number oldest = permit_requests_.begin()->first;
        const bool needed = std::any_of(permits_.begin(), permits_.end(),
                                        [oldest](const auto& it) { return it.number == oldest; });
        if (needed) {
            return;
        }
        permit_requests_.erase(permit_requests_.begin());
    }
}

void slot_controller::refill_guaranteed_loads(time_point now) {
    guaranteed_loads_ +=
        seconds(now - guaranteed_loads_refilled_at_) * settings_.guaranteed_loads_per_second;
    guaranteed_loads_ = std::min(guaranteed_loads_, max_guaranteed_loads);
    guaranteed_loads_refilled_at_ = now;
}

}  // namespace radishpulley::placement
