#include "ownership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace radishpulley::ownership {

failure_detector::failure_detector(vm_incarnation self, failure_detector_settings settings)
    : self_(std::move(self)), settings_(settings) {
    vm_record& own = records_[self_.vm];
    own.suspicion_timeout = settings_.suspicion_timeout;
    own.incarnation = self_.incarnation;
    own.seen_alive = true;
}

failure_detector::vm_record& failure_detector::record_of(const vm_incarnation& who,
                                                         time_point now) {
    const auto [it, added] = records_.try_emplace(who.vm);
    vm_record& record = it->second;
    if (added) {
        record.last_alive = now;
        record.suspicion_timeout = settings_.suspicion_timeout;
    }
    if (who.incarnation > record.incarnation) {
        record.incarnation = who.incarnation;
        record.incarnation_since = now;
        record.last_alive = now;
        record.seen_alive = false;
        record.leaving = false;
    }
    return record;
}

void failure_detector::on_list(gsl::span<const object_api::vm_entry> entries, time_point now) {
    has_list_ = true;
    last_list_ = now;
    for (auto& [vm, record] : records_) {
        record.listed = false;
    }
    for (const object_api::vm_entry& entry : entries) {
        vm_record& record = record_of({entry.vm, 0}, now);
        record.listed = true;
        record.live = entry.state == object_api::vm_state::live;
        record.missing_since = time_point::max();
    }
    for (auto& [vm, record] : records_) {
        if (!record.listed && record.missing_since == time_point::max()) {
            record.missing_since = now;
        }
    }
}

void failure_detector::on_alive(const vm_incarnation& who, time_point now) {
    vm_record& record = record_of(who, now);
    if (who.incarnation != record.incarnation) {
        return;
    }
    record.last_alive = now;
    record.seen_alive = true;
    if (!record.listed) {
        record.missing_since = time_point::max();
    }
}

void failure_detector::set_suspicion_timeout(const vm_id& vm, duration silence) {
    const auto it = records_.find(vm);
    if (it != records_.end()) {
        it->second.suspicion_timeout = silence;
    }
}

void failure_detector::on_incarnation_seen(const vm_incarnation& who, time_point now) {
    record_of(who, now);
}

void failure_detector::on_leaving(const vm_incarnation& who, time_point now) {
    vm_record& record = record_of(who, now);
    if (who.incarnation == record.incarnation) {
        record.leaving = true;
    }
}

time_point failure_detector::ended_at(const vm_incarnation& who, time_point now) const {
    const auto it = records_.find(who.vm);
    if (it == records_.end()) {
        return time_point::max();
    }
    const vm_record& record = it->second;
    if (who.incarnation < record.incarnation) {
        return record.incarnation_since;
    }
    if (who.vm == self_.vm || record.missing_since == time_point::max()) {
        return time_point::max();
    }
    const time_point end = record.missing_since + settings_.list_lag;
    return has_list_ && last_list_ >= end && now >= end ? end : time_point::max();
}

bool failure_detector::confirmed_ended(const vm_incarnation& who, time_point now) const {
    return ended_at(who, now) != time_point::max();
}

bool failure_detector::suspected(const vm_incarnation& who, time_point now) const {
    if (who == self_) {
        return false;
    }
    const auto it = records_.find(who.vm);
    if (it == records_.end()) {
        return false;
    }
    return who.incarnation < it->second.incarnation ||
           now - it->second.last_alive > it->second.suspicion_timeout;
}

bool failure_detector::isolated(time_point now) const {
    bool others = false;
    for (const auto& [vm, record] : records_) {
        if (vm == self_.vm || !record.listed) {
            continue;
        }
        others = true;
        if (record.seen_alive && !suspected({vm, record.incarnation}, now)) {
            return false;
        }
    }
    return others;
}

bool failure_detector::may_hold() const {
    const vm_record& own = records_.at(self_.vm);
    return own.listed && own.live && !own.leaving && own.incarnation == self_.incarnation;
}

std::vector<vm_incarnation> failure_detector::candidates(time_point now) const {
    std::vector<vm_incarnation> result;
    for (const auto& [vm, record] : records_) {
        const vm_incarnation who{vm, record.incarnation};
        const bool usable = record.listed && record.live && !record.leaving && record.seen_alive;
        if (usable && !suspected(who, now)) {
            result.push_back(who);
        }
    }
    return result;
}

}  // namespace radishpulley::ownership
