// Part of slot_controller: what engines report.
#include "placement/slot_controller.h"

#include <algorithm>
#include <utility>

namespace radishpulley::placement {

void slot_controller::note_engine(const std::string& incarnation, time_point now,
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
        if (!it.answered) {
            // It may have been sent to the new process.
            stray_orders_[adapter] = now + settings_.order_silence;
        }
    }
    slots_.clear();
    left_at_.clear();
    reported_running_ = 0;
    reported_queued_ = 0;
    adopted_ = false;
}

slot_controller_decisions slot_controller::on_report(const engine_report& it, time_point now) {
    slot_controller_decisions out;
    if (ended_ || it.endpoint != endpoint_ || past_incarnations_.count(it.engine_incarnation)) {
        return out;
    }
    note_engine(it.engine_incarnation, now, out);
    if (it.sequence <= report_sequence_) {
        return out;
    }
    report_sequence_ = it.sequence;
    reported_running_ = it.running;
    reported_queued_ = it.queued;
    if (!fence_raised_) {
        raise_fence(it, now, out);
        return out;
    }
    if (now < adopt_from_) {
        return out;
    }
    if (!adopted_) {
        adopt(it, now);
    }
    compare(it, now, out);
    release_pins_of_ended(it, now);
    work(now, out);
    return out;
}

void slot_controller::adopt(const engine_report& it, time_point now) {
    adopted_ = true;
    for (const reported_adapter& entry : it.adapters) {
        const auto [where, added] = slots_.try_emplace(entry.adapter);
        slot& adopted = where->second;
        if (!added) {
            continue;
        }
        adopted.since = now;
        const bool loaded = entry.state == reported_state::loaded;
        adopted.state = loaded ? slot_state::loaded : slot_state::loading;
        adopted.answered = loaded;
        adopted.answer_lost = !loaded;
        adopted.ordered_at = now;
    }
}

void slot_controller::compare(const engine_report& it, time_point now, slot_controller_decisions& out) {
    std::map<adapter_ref, const reported_adapter*> reported;
    for (const reported_adapter& entry : it.adapters) {
        reported[entry.adapter] = &entry;
    }
    for (auto where = slots_.begin(); where != slots_.end();) {
        const auto seen = reported.find(where->first);
        slot& known = where->second;
        known.reported_active = seen == reported.end() ? 0 : seen->second->active;
        const bool old_enough = now - known.since > settings_.report_lag;
        const bool lost = known.state == slot_state::loaded && known.answered &&
                          seen == reported.end() && old_enough;
        if (lost) {
            recall(where->first, /*drain=*/true, out);
        }
        where = lost ? slots_.erase(where) : std::next(where);
    }
    for (const auto& [adapter, entry] : reported) {
        const auto left = left_at_.find(adapter);
        const bool may_be_old =
            left != left_at_.end() && now - left->second <= settings_.report_lag;
        if (entry->state == reported_state::loaded && slots_.count(adapter) == 0 && !may_be_old) {
            slot& found = slots_[adapter];
            found.state = slot_state::loaded;
            found.since = now;
            found.reported_active = entry->active;
        }
    }
    for (const auto& [adapter, where] : slots_) {
        if (where.state == slot_state::loaded && !where.closing) {
            serve_wishes(adapter, now, out);
        }
    }
}

void slot_controller::release_pins_of_ended(const engine_report& it, time_point now) {
    const duration silence = settings_.order_silence + settings_.report_lag;
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
