// Part of slot_controller: permits, loads, and room for them.
#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

constexpr double most_own_loads = 1;
constexpr std::size_t most_permit_requests = 64;
/// Requests a second: one in four hours.
constexpr double least_popularity = 1.0 / (4 * 3600);

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
    work(now, out);
    return out;
}

void slot_controller::return_permit(const load_permit& it, slot_controller_decisions& out) const {
    out.push_back(send_to_weight_store{
        permit_done{term_.self, endpoint_, it.permit, it.fence, /*used=*/false}});
}

void slot_controller::finish_permit(slot& where, slot_controller_decisions& out) const {
    if (where.permit) {
        out.push_back(send_to_weight_store{permit_done{term_.self, endpoint_, where.permit->permit,
                                                       where.permit->fence, /*used=*/true}});
        where.permit.reset();
    }
}

void slot_controller::start_loads(time_point now, slot_controller_decisions& out) {
    for (const adapter_ref& adapter : ready_loads(now)) {
        const bool own = own_loads_ >= 1;
        if (permits_.empty() && !own) {
            return;
        }
        if (slots_.size() >= settings_.slots) {
            make_room(now, out);
            return;
        }
        slot& where = slots_[adapter];
        where.since = now;
        if (permits_.empty()) {
            own_loads_ -= 1;
        } else {
            where.permit = permits_.front();
            permits_.erase(permits_.begin());
        }
        give(order_kind::load, adapter, where, now, out);
    }
}

void slot_controller::make_room(time_point now, slot_controller_decisions& out) {
    const std::size_t loads = permits_.size() + (own_loads_ >= 1 ? 1 : 0);
    while (evicting() < loads) {
        const std::optional<adapter_ref> victim = choose_victim(now);
        if (!victim) {
            break;
        }
        give(order_kind::evict, *victim, slots_.at(*victim), now, out);
    }
}

void slot_controller::free_a_slot(const adapter_ref& wanted, time_point now, slot_controller_decisions& out) {
    if (const auto idle = choose_recall(now)) {
        slots_.at(*idle).recalled_at = now;
        recall(*idle, /*drain=*/false, out);
        return;
    }
    const auto wishes = wishes_.find(wanted);
    if (wishes == wishes_.end()) {
        return;
    }
    const bool impatient = std::any_of(
        wishes->second.begin(), wishes->second.end(),
        [this, now](const auto& it) { return now - it.second.since > settings_.patience; });
    if (const auto it = impatient ? choose_closing(now) : std::nullopt) {
        slots_.at(*it).closing = true;
        recall(*it, /*drain=*/true, out);
    }
}

void slot_controller::request_permits(time_point now, slot_controller_decisions& out) {
    const std::vector<adapter_ref> loads = ready_loads(now);
    std::size_t room = settings_.slots - std::min<std::size_t>(settings_.slots, slots_.size());
    room += evicting();
    if (room == 0 && !loads.empty()) {
        if (choose_victim(now)) {
            room = 1;
        } else if (may_evict(now)) {
            free_a_slot(loads.front(), now, out);
        }
    }
    const std::size_t wanted = std::min(loads.size(), room);
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
        body.priorities.push_back(need_of(loads[i], now));
    }
    permit_requests_[body.number] = now;
    out.push_back(send_to_weight_store{body});
}

void slot_controller::work(time_point now, slot_controller_decisions& out) {
    if (ended_ || !adopted_ || !fence_raised_) {
        return;
    }
    drop_permits(now, out);
    refill_own_loads(now);
    reopen_slots(now, out);
    start_loads(now, out);
    request_permits(now, out);
}

slot_controller_decisions slot_controller::tick(time_point now) {
    slot_controller_decisions out;
    if (ended_) {
        return out;
    }
    drop_ended(now);
    repeat_orders(now, out);
    work(now, out);
    return out;
}

void slot_controller::drop_ended(time_point now) {
    for (auto it = pins_.begin(); it != pins_.end();) {
        for (auto entry = it->second.begin(); entry != it->second.end();) {
            const bool over = now >= entry->second.hold_until;
            entry = over ? it->second.erase(entry) : std::next(entry);
        }
        it = it->second.empty() ? pins_.erase(it) : std::next(it);
    }
    std::vector<vm_incarnation> silent;
    for (const auto& [daemon, it] : demand_) {
        if (now - it.heard > settings_.pin_validity * 2) {
            silent.push_back(daemon);
        }
    }
    for (const vm_incarnation& it : silent) {
        set_demand(it, 0, now);
    }
    for (auto it = wishes_.begin(); it != wishes_.end();) {
        for (auto entry = it->second.begin(); entry != it->second.end();) {
            const bool over = now - entry->second.heard > settings_.wish_life;
            entry = over ? it->second.erase(entry) : std::next(entry);
        }
        it = it->second.empty() ? wishes_.erase(it) : std::next(it);
    }
    for (auto it = stray_orders_.begin(); it != stray_orders_.end();) {
        it = now >= it->second ? stray_orders_.erase(it) : std::next(it);
    }
    for (auto it = left_at_.begin(); it != left_at_.end();) {
        const bool over = now - it->second > settings_.report_lag;
        it = over ? left_at_.erase(it) : std::next(it);
    }
    if (now - pruned_at_ > settings_.popularity.half_life) {
        popularity_.prune(least_popularity, now);
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
    while (permit_requests_.size() > most_permit_requests) {
        const message_number oldest = permit_requests_.begin()->first;
        const bool needed = std::any_of(permits_.begin(), permits_.end(),
                                        [oldest](const auto& it) { return it.number == oldest; });
        if (needed) {
            return;
        }
        permit_requests_.erase(permit_requests_.begin());
    }
}

void slot_controller::refill_own_loads(time_point now) {
    own_loads_ += seconds(now - own_loads_at_) * settings_.guaranteed_loads_per_second;
    own_loads_ = std::min(own_loads_, most_own_loads);
    own_loads_at_ = now;
}

}  // namespace radishpulley::placement
