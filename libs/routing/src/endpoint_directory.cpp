#include "routing/endpoint_directory.h"

#include <algorithm>
#include <cmath>

namespace radishpulley::routing {
namespace {

// Weight of the newest call in the failure rate.
constexpr double failure_weight = 0.12;

}  // namespace

endpoint_directory::endpoint_directory(directory_settings settings) : settings_(settings) {}

directory_change endpoint_directory::on_entry(const endpoint& it, time_point) {
    const notice_record* notice = notice_of(incarnation_of(it));
    endpoint entry = it;
    entry.draining = it.draining || (notice != nullptr && notice->leaving);
    const auto found = records_.find(it.id);
    if (found == records_.end()) {
        records_[it.id].entry = std::move(entry);
        return directory_change::added;
    }
    record& known = found->second;
    if (it.started_at_ms < known.entry.started_at_ms) {
        return directory_change::none;
    }
    const bool is_old =
        it.started_at_ms == known.entry.started_at_ms && it.heartbeat < known.entry.heartbeat;
    if (is_old) {
        return directory_change::none;
    }
    const bool restarted = it.started_at_ms > known.entry.started_at_ms;
    if (restarted) {
        known = record{};
    }
    known.removal_due.reset();
    known.entry = std::move(entry);
    return restarted ? directory_change::restarted : directory_change::changed;
}

directory_change endpoint_directory::on_removed(const endpoint_id& id, time_point now) {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return directory_change::none;
    }
    const bool after_outage = store_recovered_at_ != time_point::min() &&
                              now - store_recovered_at_ < settings_.recovery_grace;
    if (after_outage && !found->second.entry.draining) {
        found->second.removal_due = store_recovered_at_ + settings_.recovery_grace;
        return directory_change::none;
    }
    records_.erase(found);
    return directory_change::removed;
}

std::vector<endpoint_id> endpoint_directory::on_list(const std::vector<endpoint>& list,
                                                     time_point now) {
    std::set<endpoint_id> listed;
    for (const endpoint& it : list) {
        listed.insert(it.id);
        on_entry(it, now);
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, known] : records_) {
        if (listed.count(id) == 0 && !known.removal_due) {
            missing.push_back(id);
        }
    }
    std::vector<endpoint_id> removed;
    for (const endpoint_id& id : missing) {
        if (on_removed(id, now) == directory_change::removed) {
            removed.push_back(id);
        }
    }
    return removed;
}

void endpoint_directory::on_store_recovered(time_point now) {
    store_recovered_at_ = now;
}

std::vector<endpoint_id> endpoint_directory::advance(time_point now) {
    std::vector<endpoint_id> removed;
    for (auto it = records_.begin(); it != records_.end();) {
        if (it->second.removal_due && *it->second.removal_due <= now) {
            removed.push_back(it->first);
            it = records_.erase(it);
        } else {
            ++it;
        }
    }
    for (auto it = notices_.begin(); it != notices_.end();) {
        const bool is_over = records_.count(it->first) == 0 &&
                             now - it->second.received_at > settings_.notice_retention;
        it = is_over ? notices_.erase(it) : std::next(it);
    }
    return removed;
}

void endpoint_directory::on_call(const endpoint_id& id, call_outcome outcome, time_point now) {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return;
    }
    record& it = found->second;
    const bool failed = outcome != call_outcome::answered;
    it.failure_rate = decayed_failure_rate(it, now);
    it.failure_rate += ((failed ? 1.0 : 0.0) - it.failure_rate) * failure_weight;
    it.failure_rate_at = now;
    if (outcome == call_outcome::answered) {
        it.backoff = duration::zero();
        it.backoff_until = time_point::min();
    } else if (outcome == call_outcome::unreachable && now >= it.backoff_until) {
        it.backoff = it.backoff == duration::zero()
                         ? settings_.initial_backoff
                         : std::min(it.backoff * 2, settings_.max_backoff);
        it.backoff_until = now + it.backoff;
    }
}

void endpoint_directory::reset_failures(const endpoint_id& id) {
    const auto found = records_.find(id);
    if (found != records_.end()) {
        found->second.backoff = duration::zero();
        found->second.backoff_until = time_point::min();
        found->second.failure_rate = 0;
    }
}

const endpoint_directory::notice_record* endpoint_directory::notice_of(
    const endpoint_incarnation& from) const {
    const auto found = notices_.find(from.id);
    const bool is_of_this_start =
        found != notices_.end() && found->second.started_at_ms == from.started_at_ms;
    return is_of_this_start ? &found->second : nullptr;
}

bool endpoint_directory::on_notice(const endpoint_incarnation& from, const endpoint_notice& it,
                                   time_point now) {
    const auto found = records_.find(from.id);
    const bool is_old =
        found != records_.end() && from.started_at_ms < found->second.entry.started_at_ms;
    const notice_record* notice = notice_of(from);
    notice_record next = notice == nullptr ? notice_record{} : *notice;
    next.started_at_ms = from.started_at_ms;
    next.leaving = next.leaving || it.leaving;
    if (it.pause) {
        next.paused_until = std::max(next.paused_until, now + *it.pause);
    }
    const bool starts_leaving = next.leaving && (notice == nullptr || !notice->leaving);
    if (is_old || (!starts_leaving && !it.pause)) {
        return false;
    }
    next.received_at = now;
    notices_[from.id] = next;
    if (found != records_.end() && next.leaving) {
        found->second.entry.draining = true;
    }
    return true;
}

duration endpoint_directory::pause_left(const endpoint_id& id, time_point now) const {
    const auto notice = notices_.find(id);
    if (notice == notices_.end() || now >= notice->second.paused_until) {
        return duration::zero();
    }
    const endpoint* known = find(id);
    const bool is_of_this_start =
        known != nullptr && known->started_at_ms == notice->second.started_at_ms;
    return is_of_this_start ? notice->second.paused_until - now : duration::zero();
}

const endpoint* endpoint_directory::find(const endpoint_id& id) const {
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.entry;
}

std::vector<const endpoint*> endpoint_directory::usable(const service_id& service) const {
    std::vector<const endpoint*> out;
    for (const auto& [id, known] : records_) {
        if (known.entry.service == service && !known.entry.draining) {
            out.push_back(&known.entry);
        }
    }
    return out;
}

bool endpoint_directory::is_deprioritized(const endpoint_id& id, time_point now) const {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return false;
    }
    const record& it = found->second;
    return it.removal_due || now < it.backoff_until ||
           decayed_failure_rate(it, now) > settings_.max_failure_rate;
}

double endpoint_directory::decayed_failure_rate(const record& it, time_point now) const {
    const double half_lives =
        std::chrono::duration<double>(now - it.failure_rate_at) / settings_.failure_half_life;
    return it.failure_rate * std::exp2(-half_lives);
}

std::vector<const endpoint*> endpoint_directory::all() const {
    std::vector<const endpoint*> out;
    for (const auto& [id, known] : records_) {
        out.push_back(&known.entry);
    }
    return out;
}

}  // namespace radishpulley::routing
