// Part of slot_controller: orders to the engine and their results.
#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

/// Number of low bits of a fencing number that count the orders within one term.
constexpr int order_bits = 24;
constexpr std::uint32_t max_doublings = 4;
/// Number of loads over which the load interval is averaged.
constexpr int load_smoothing = 8;

}  // namespace

void slot_controller::issue_order(order_kind kind, const adapter_ref& adapter, slot& slot_entry,
                                  time_point now, slot_controller_decisions& out) {
    engine_order order;
    order.endpoint = endpoint_;
    order.kind = kind;
    order.adapter = adapter;
    order.fence = (term_.fence << order_bits) + ++order_count_;
    slot_entry.state = kind == order_kind::load ? slot_state::loading : slot_state::evicting;
    slot_entry.order = order.fence;
    slot_entry.ordered_at = now;
    slot_entry.is_answered = false;
    slot_entry.response_lost = false;
    out.push_back(send_engine_order{order});
}

// Until the engine has received this term's fencing number, orders of the previous term may still
// take effect. A load order for a loaded adapter has no effect other than to convey the number.
void slot_controller::raise_engine_fence(const engine_report& it, time_point now,
                                         slot_controller_decisions& out) {
    if (it.adapters.empty()) {
        fence_raised_ = true;
        return;
    }
    if (slots_.empty()) {
        const adapter_ref& adapter = it.adapters.front().adapter;
        issue_order(order_kind::load, adapter, slots_[adapter], now, out);
    }
}

slot_controller_decisions slot_controller::on_order_result(const order_result& it, time_point now) {
    slot_controller_decisions out;
    if (ended_ || past_incarnations_.count(it.engine_incarnation)) {
        return out;
    }
    update_engine_incarnation(it.engine_incarnation, now, out);
    const auto slot_entry = slots_.find(it.order.adapter);
    if (slot_entry == slots_.end() || slot_entry->second.order != it.order.fence) {
        return out;
    }
    if (it.outcome == order_outcome::fenced) {
        ended_ = true;
        return out;
    }
    if (it.outcome == order_outcome::unknown) {
        slot_entry->second.response_lost = true;
        unanswered_orders_until_[it.order.adapter] = now + settings_.max_order_lifetime;
        return out;
    }
    if (!fence_raised_) {
        // The order may have failed before the engine checked the number.
        fence_raised_ = it.outcome == order_outcome::done;
        adopt_from_ = std::max(adopt_from_, now + settings_.report_lag);
        slots_.clear();
        return out;
    }
    slot_entry->second.is_answered = true;
    slot_entry->second.since = now;
    if (it.order.kind == order_kind::load) {
        on_load_result(it, slot_entry->second, now, out);
    } else {
        on_evict_result(it, slot_entry->second, now);
    }
    advance(now, out);
    return out;
}

void slot_controller::on_load_result(const order_result& it, slot& slot_entry, time_point now,
                                     slot_controller_decisions& out) {
    const adapter_ref adapter = it.order.adapter;
    finish_permit(slot_entry, out);
    if (it.outcome == order_outcome::done) {
        slot_entry.state = slot_state::loaded;
        slot_entry.last_use_at = now;
        failures_.erase(adapter);
        update_load_interval(adapter, now);
        grant_waiting_requests(adapter, now, out);
        return;
    }
    slots_.erase(adapter);
    unloaded_at_[adapter] = now;
    failure& failed = failures_[adapter];
    const std::uint32_t doublings = std::min(failed.count, max_doublings);
    const duration delay = settings_.failed_load_delay * (1 << doublings);
    ++failed.count;
    failed.retry_at = now + delay;
    refuse_waiting_requests(adapter, pin_refusal_reason::load_failed, delay, out);
}

// The interval between loads indicates how long pin requests wait, whatever delays the loads.
void slot_controller::update_load_interval(const adapter_ref& adapter, time_point now) {
    const auto it = waiting_requests_.find(adapter);
    if (it == waiting_requests_.end()) {
        return;
    }
    time_point wished = now;
    for (const auto& [daemon, entry] : it->second) {
        wished = std::min(wished, entry.since);
    }
    const duration interval = now - std::max(wished, last_load_);
    load_interval_ += (interval - load_interval_) / load_smoothing;
    last_load_ = now;
}

void slot_controller::on_evict_result(const order_result& it, slot& slot_entry, time_point now) {
    if (it.outcome == order_outcome::failed) {
        slot_entry.state = slot_state::loaded;
        slot_entry.draining = false;
        return;
    }
    unloaded_at_[it.order.adapter] = now;
    slots_.erase(it.order.adapter);
}

void slot_controller::repeat_orders(time_point now, slot_controller_decisions& out) {
    for (auto& [adapter, it] : slots_) {
        const bool due = now - it.ordered_at >= settings_.order_retry;
        if (it.is_answered || !it.response_lost || !due) {
            continue;
        }
        const bool evict = it.state == slot_state::evicting;
        issue_order(evict ? order_kind::evict : order_kind::load, adapter, it, now, out);
    }
}

}  // namespace radishpulley::placement
