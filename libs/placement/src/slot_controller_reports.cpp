// Part of slot_controller: reports of the engine.
#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {

void slot_controller::update_engine_incarnation(const std::string& incarnation, time_point now,
                                                slot_controller_decisions& out) {
    if (incarnation.empty() || incarnation == engine_incarnation_) {
        return;
    }
    const bool restarted = !engine_incarnation_.empty();
    if (restarted) {
        past_incarnations_.insert(engine_incarnation_);
    }
    engine_incarnation_ = incarnation;
    report_sequence_ = 0;
    if (!restarted) {
        return;
    }
    for (auto& [adapter, it] : slots_) {
        finish_permit(it, out);
        recall(adapter, /*drain=*/true, out);
        if (!it.is_answered) {
            // The order may have been sent to the new process.
            unanswered_orders_until_[adapter] = now + settings_.max_order_lifetime;
        }
    }
    slots_.clear();
    unloaded_at_.clear();
    reported_running_ = 0;
    reported_queued_ = 0;
    adopted_ = false;
}

slot_controller_decisions slot_controller::on_report(const engine_report& it, time_point now) {
    slot_controller_decisions out;
    if (ended_ || it.endpoint != endpoint_ || past_incarnations_.count(it.engine_incarnation)) {
        return out;
    }
    update_engine_incarnation(it.engine_incarnation, now, out);
    if (it.sequence <= report_sequence_) {
        return out;
    }
    report_sequence_ = it.sequence;
    reported_running_ = it.running;
    reported_queued_ = it.queued;
    if (!fence_raised_) {
        raise_engine_fence(it, now, out);
        return out;
    }
    if (now < adopt_from_) {
        return out;
    }
    if (!adopted_) {
        adopt_reported_adapters(it, now);
    }
    reconcile(it, now, out);
    release_pins_of_ended(it, now);
    advance(now, out);
    return out;
}

void slot_controller::adopt_reported_adapters(const engine_report& it, time_point now) {
    adopted_ = true;
    for (const reported_adapter& entry : it.adapters) {
        const auto [slot_entry, added] = slots_.try_emplace(entry.adapter);
        slot& adopted = slot_entry->second;
        if (!added) {
            continue;
        }
        adopted.since = now;
        const bool loaded = entry.state == reported_state::loaded;
        adopted.state = loaded ? slot_state::loaded : slot_state::loading;
        adopted.is_answered = loaded;
        adopted.response_lost = !loaded;
        adopted.ordered_at = now;
    }
}

void slot_controller::reconcile(const engine_report& it, time_point now,
                                slot_controller_decisions& out) {
    std::map<adapter_ref, const reported_adapter*> reported;
    for (const reported_adapter& entry : it.adapters) {
        reported[entry.adapter] = &entry;
    }
    for (auto slot_entry = slots_.begin(); slot_entry != slots_.end();) {
        const auto seen = reported.find(slot_entry->first);
        slot& known = slot_entry->second;
        known.reported_active_requests = seen == reported.end() ? 0 : seen->second->active;
        const bool old_enough = now - known.since > settings_.report_lag;
        const bool lost = known.state == slot_state::loaded && known.is_answered &&
                          seen == reported.end() && old_enough;
        if (lost) {
            recall(slot_entry->first, /*drain=*/true, out);
        }
        slot_entry = lost ? slots_.erase(slot_entry) : std::next(slot_entry);
    }
    for (const auto& [adapter, entry] : reported) {
        const auto left = unloaded_at_.find(adapter);
        const bool may_be_old =
            left != unloaded_at_.end() && now - left->second <= settings_.report_lag;
        if (entry->state == reported_state::loaded && slots_.count(adapter) == 0 && !may_be_old) {
            slot& found = slots_[adapter];
            found.state = slot_state::loaded;
            found.since = now;
            found.reported_active_requests = entry->active;
        }
    }
    for (const auto& [adapter, slot_entry] : slots_) {
        if (slot_entry.state == slot_state::loaded && !slot_entry.draining) {
            grant_waiting_requests(adapter, now, out);
        }
    }
}

void slot_controller::release_pins_of_ended(const engine_report& it, time_point now) {
    const duration silence = settings_.max_order_lifetime + settings_.report_lag;
    std::set<adapter_ref> active;
    for (const reported_adapter& entry : it.adapters) {
        if (entry.active > 0) {
            active.insert(entry.adapter);
        }
    }
    for (auto& [adapter, pins] : pins_) {
        for (auto entry = pins.begin(); entry != pins.end();) {
            const time_point ended = entry->second.daemon_ended;
            const bool silent = ended != time_point::max() && now - ended > silence;
            entry = silent && active.count(adapter) == 0 ? pins.erase(entry) : std::next(entry);
        }
    }
}

}  // namespace radishpulley::placement
