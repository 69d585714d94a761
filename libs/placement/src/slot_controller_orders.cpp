// Part of slot_controller: orders to the engine and their results.
#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {
namespace {

/// Bits of a fencing number that count the orders within one term.
constexpr int order_bits = 24;
constexpr std::uint32_t most_doublings = 4;
/// Loads over which the time between two is averaged.
constexpr int load_smoothing = 8;

}  // namespace

void slot_controller::give(order_kind kind, const adapter_ref& adapter, slot& where, time_point now,
                       slot_controller_decisions& out) {
    engine_order order;
    order.endpoint = endpoint_;
    order.kind = kind;
    order.adapter = adapter;
    order.fence = (term_.fence << order_bits) + ++order_count_;
    where.state = kind == order_kind::load ? slot_state::loading : slot_state::evicting;
    where.order = order.fence;
    where.ordered_at = now;
    where.answered = false;
    where.answer_lost = false;
    out.push_back(send_engine_order{order});
}

// Until the engine has seen this term's fencing number, orders of the term before may still reach
// it. Loading what is loaded has no other effect than to show the number.
void slot_controller::raise_fence(const engine_report& it, time_point now, slot_controller_decisions& out) {
    if (it.adapters.empty()) {
        fence_raised_ = true;
        return;
    }
    if (slots_.empty()) {
        const adapter_ref& adapter = it.adapters.front().adapter;
        give(order_kind::load, adapter, slots_[adapter], now, out);
    }
}

slot_controller_decisions slot_controller::on_order_result(const order_result& it, time_point now) {
    slot_controller_decisions out;
    if (ended_ || past_incarnations_.count(it.engine_incarnation)) {
        return out;
    }
    note_engine(it.engine_incarnation, now, out);
    const auto where = slots_.find(it.order.adapter);
    if (where == slots_.end() || where->second.order != it.order.fence) {
        return out;
    }
    if (it.outcome == order_outcome::fenced) {
        ended_ = true;
        return out;
    }
    if (it.outcome == order_outcome::unknown) {
        where->second.answer_lost = true;
        stray_orders_[it.order.adapter] = now + settings_.order_silence;
        return out;
    }
    if (!fence_raised_) {
        // A failure may come from before the engine looked at the number.
        fence_raised_ = it.outcome == order_outcome::done;
        adopt_from_ = std::max(adopt_from_, now + settings_.report_lag);
        slots_.clear();
        return out;
    }
    where->second.answered = true;
    where->second.since = now;
    if (it.order.kind == order_kind::load) {
        on_load_result(it, where->second, now, out);
    } else {
        on_evict_result(it, where->second, now);
    }
    work(now, out);
    return out;
}

void slot_controller::on_load_result(const order_result& it, slot& where, time_point now,
                                 slot_controller_decisions& out) {
    const adapter_ref adapter = it.order.adapter;
    finish_permit(where, out);
    if (it.outcome == order_outcome::done) {
        where.state = slot_state::loaded;
        where.last_use = now;
        failures_.erase(adapter);
        note_load(adapter, now);
        serve_wishes(adapter, now, out);
        return;
    }
    slots_.erase(adapter);
    left_at_[adapter] = now;
    failure& failed = failures_[adapter];
    const std::uint32_t doublings = std::min(failed.count, most_doublings);
    const duration delay = settings_.failed_load_delay * (1 << doublings);
    ++failed.count;
    failed.retry_at = now + delay;
    refuse_wishes(adapter, pin_refusal_reason::load_failed, delay, out);
}

// The time between loads says how long wishes wait, whatever holds the loads back.
void slot_controller::note_load(const adapter_ref& adapter, time_point now) {
    const auto it = wishes_.find(adapter);
    if (it == wishes_.end()) {
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

void slot_controller::on_evict_result(const order_result& it, slot& where, time_point now) {
    if (it.outcome == order_outcome::failed) {
        where.state = slot_state::loaded;
        where.closing = false;
        return;
    }
    left_at_[it.order.adapter] = now;
    slots_.erase(it.order.adapter);
}

void slot_controller::repeat_orders(time_point now, slot_controller_decisions& out) {
    for (auto& [adapter, it] : slots_) {
        const bool due = now - it.ordered_at >= settings_.order_retry;
        if (it.answered || !it.answer_lost || !due) {
            continue;
        }
        const bool evict = it.state == slot_state::evicting;
        give(evict ? order_kind::evict : order_kind::load, adapter, it, now, out);
    }
}

}  // namespace radishpulley::placement
