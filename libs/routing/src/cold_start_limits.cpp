#include "routing/cold_start_limits.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "routing/rendezvous.h"

namespace radishpulley::routing {
namespace {

// Lowest rate that counts as a whole request per second.
constexpr double whole_request = 1;

double in_seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

// Rounds up, as a wait that is too short would need a second one.
duration from_seconds_rounded_up(double it) {
    return duration(static_cast<duration::rep>(std::ceil(it * 1e9)));
}

}  // namespace

void cold_start_limits::configure(gsl::span<const service> services, time_point now) {
    services_.clear();
    for (const service& it : services) {
        if (it.cold_rate > 0) {
            services_[it.id] = {it.cold_start, it.cold_rate};
        }
    }
    for (auto& [id, it] : records_) {
        update(id, it, false, now);
    }
}

void cold_start_limits::set_vms(const vm_id& self, gsl::span<const vm_id> members, time_point now) {
    self_ = self;
    if (members.empty()) {
        known_since_.reset();
    } else if (!are_members_known(now)) {
        known_since_ = now;
    }
    known_at_ = now;
    const bool members_changed = update_members(members, now);
    for (auto it = records_.begin(); it != records_.end();) {
        const auto removed = it->second.entry_removed;
        if (removed && now - *removed > settings_.retention) {
            it = records_.erase(it);
            continue;
        }
        update(it->first, it->second, members_changed, now);
        ++it;
    }
}

bool cold_start_limits::update_members(gsl::span<const vm_id> members, time_point now) {
    for (const vm_id& vm : members) {
        members_[vm] = now;
    }
    for (auto it = members_.begin(); it != members_.end();) {
        const bool has_left = now - it->second > settings_.settle_time;
        it = has_left ? members_.erase(it) : std::next(it);
    }
    std::vector<vm_id> vms;
    std::transform(members_.begin(), members_.end(), std::back_inserter(vms),
                   [](const auto& it) { return it.first; });
    const bool is_change = vms != ranked_vms_;
    ranked_vms_ = std::move(vms);
    return is_change;
}

void cold_start_limits::on_entry(const endpoint& it, time_point now) {
    const bool is_known = records_.count(it.id) != 0;
    record& found = records_[it.id];
    if (it.started_at_ms < found.started_at_ms) {
        return;
    }
    const bool is_same_entry = is_known && it.started_at_ms == found.started_at_ms &&
                               it.heartbeat == found.heartbeat && it.cold_left == found.stated_left;
    const bool is_restarted = is_known && it.started_at_ms > found.started_at_ms;
    const bool is_new_start = is_restarted || (!is_known && is_directory_read_);
    if (is_restarted) {
        found.cold_by_entry.reset();
        found.cold_by_response.reset();
        found.start_noticed.reset();
    }
    found.service = it.service;
    found.started_at_ms = it.started_at_ms;
    found.heartbeat = it.heartbeat;
    found.stated_left = it.cold_left;
    found.entry_removed.reset();
    if (it.cold_left && !is_same_entry) {
        apply_entry_time(found, *it.cold_left, now);
    } else if (is_new_start) {
        found.start_noticed = now;
        found.as_of = now;
    }
    update(it.id, found, false, now);
}

void cold_start_limits::apply_entry_time(record& it, duration left, time_point now) const {
    const bool was_cold = is_cold(it, now);
    it.start_noticed.reset();
    it.as_of = now;
    if (left > duration::zero()) {
        it.cold_by_entry = now + left;
    } else if (was_cold) {
        // The rate grows from now on.
        it.cold_by_entry = now;
    }
}

void cold_start_limits::on_entry_removed(const endpoint_id& id, time_point now) {
    const auto known = records_.find(id);
    if (known != records_.end()) {
        known->second.entry_removed = now;
    }
}

void cold_start_limits::on_response(const endpoint_incarnation& from, duration left,
                                    time_point now) {
    const auto known = records_.find(from.id);
    const bool is_of_this_start =
        known != records_.end() && known->second.started_at_ms == from.started_at_ms;
    if (!is_of_this_start || left <= duration::zero()) {
        return;
    }
    record& it = known->second;
    // Responses may arrive in another order than they were sent.
    it.cold_by_response = std::max(it.cold_by_response.value_or(now), now + left);
    it.as_of = now;
    update(from.id, it, false, now);
}

void cold_start_limits::on_evacuation_ended(const endpoint_id& id, time_point now) {
    const auto known = records_.find(id);
    if (known == records_.end()) {
        return;
    }
    known->second.evacuation_ended = now;
    known->second.as_of = now;
    update(id, known->second, false, now);
}

void cold_start_limits::on_request_sent(const endpoint_id& id, time_point now) {
    const auto known = records_.find(id);
    if (known != records_.end()) {
        known->second.last_sent = now;
    }
}

bool cold_start_limits::allows(const endpoint_id& id, time_point now) const {
    return wait(id, now) == duration::zero();
}

duration cold_start_limits::wait(const endpoint_id& id, time_point now) const {
    const auto known = records_.find(id);
    const auto limit = known == records_.end() ? std::nullopt : rate(known->second, now);
    if (!limit) {
        return duration::zero();
    }
    if (!are_members_known(now)) {
        return duration::max();
    }
    const record& it = known->second;
    const double own_share = share(it, *limit);
    if (own_share <= 0) {
        return time_to_share(it, now);
    }
    const time_point since =
        std::max({it.sender_since, settled_at(), it.last_sent.value_or(it.sender_since)});
    return std::max(duration::zero(), since + from_seconds_rounded_up(1 / own_share) - now);
}

bool cold_start_limits::is_cold(const endpoint_id& id, time_point now) const {
    const auto known = records_.find(id);
    return known != records_.end() && is_cold(known->second, now);
}

std::optional<double> cold_start_limits::rate(const endpoint_id& id, time_point now) const {
    const auto known = records_.find(id);
    return known == records_.end() ? std::nullopt : rate(known->second, now);
}

double cold_start_limits::share(const endpoint_id& id, time_point now) const {
    const auto known = records_.find(id);
    const auto limit = known == records_.end() ? std::nullopt : rate(known->second, now);
    const bool may_send = limit && are_members_known(now) && now >= settled_at();
    return may_send ? share(known->second, *limit) : 0;
}

std::size_t cold_start_limits::cold_count(time_point now) const {
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [&](const auto& it) { return !it.second.entry_removed && is_cold(it.second, now); }));
}

std::vector<cold_change> cold_start_limits::take_changes(time_point now) {
    std::vector<cold_change> out;
    for (auto& [id, it] : records_) {
        const bool is_cold_now = is_cold(it, now);
        if (is_cold_now == it.was_cold) {
            continue;
        }
        it.was_cold = is_cold_now;
        const duration left = is_cold_now ? *cold_until(it) - now : duration::zero();
        out.push_back({id, is_cold_now, left, now - it.as_of});
    }
    return out;
}

const cold_start_limits::service_limit* cold_start_limits::limit_of(const record& it) const {
    const auto found = services_.find(it.service);
    return found == services_.end() ? nullptr : &found->second;
}

std::optional<time_point> cold_start_limits::cold_until(const record& it) const {
    const service_limit* limit = limit_of(it);
    if (limit == nullptr) {
        return std::nullopt;
    }
    // An empty optional compares as less than any time.
    std::optional<time_point> out = std::max(it.cold_by_entry, it.cold_by_response);
    const auto assumed_since = std::max(it.start_noticed, it.evacuation_ended);
    if (assumed_since && limit->cold_time > duration::zero()) {
        out = std::max(out, std::optional<time_point>(*assumed_since + limit->cold_time));
    }
    return out;
}

bool cold_start_limits::is_cold(const record& it, time_point now) const {
    const auto until = cold_until(it);
    return until && now < *until;
}

std::optional<double> cold_start_limits::rate(const record& it, time_point now) const {
    const auto until = cold_until(it);
    if (!until) {
        return std::nullopt;
    }
    const double cold_rate = limit_of(it)->rate;
    const double doublings =
        std::max(0.0, in_seconds(now - *until) / in_seconds(settings_.doubling_time));
    const double current = cold_rate * std::exp2(doublings);
    const double final_rate =
        std::max(cold_rate * settings_.final_factor,
                 settings_.final_share * static_cast<double>(ranked_vms_.size()));
    const bool has_ended = now >= *until && current >= final_rate;
    return has_ended ? std::nullopt : std::optional<double>(current);
}

std::size_t cold_start_limits::sender_count(double rate) const {
    const double vms = static_cast<double>(std::max<std::size_t>(1, ranked_vms_.size()));
    return static_cast<std::size_t>(std::clamp(rate, whole_request, vms));
}

double cold_start_limits::share(const record& it, double rate) const {
    const std::size_t count = sender_count(rate);
    if (it.rank >= count) {
        return 0;
    }
    const double senders = static_cast<double>(count);
    const double own_share = rate / senders;
    // A second may contain a request of each sender more than its share.
    const double max_in_window = senders * std::ceil(own_share);
    const bool is_rounded_down =
        own_share > whole_request && max_in_window > rate * settings_.max_window_factor;
    return is_rounded_down ? std::floor(own_share) : own_share;
}

duration cold_start_limits::time_to_share(const record& it, time_point now) const {
    const double needed_rate = static_cast<double>(it.rank + 1);
    const double doublings = std::log2(needed_rate / limit_of(it)->rate);
    const duration growth =
        from_seconds_rounded_up(doublings * in_seconds(settings_.doubling_time));
    return std::max(duration(1), *cold_until(it) + growth - now);
}

bool cold_start_limits::are_members_known(time_point now) const {
    return known_since_ && now - known_at_ <= settings_.settle_time;
}

void cold_start_limits::update(const endpoint_id& id, record& it, bool members_changed,
                               time_point now) const {
    const auto limit = rate(it, now);
    const bool was_limited = it.is_limited;
    it.is_limited = limit.has_value();
    if (!limit || (was_limited && !members_changed)) {
        return;
    }
    const bool had_share = was_limited && share(it, *limit) > 0;
    it.rank = rendezvous_rank(id.str(), self_, ranked_vms_);
    if (!had_share) {
        it.sender_since = now;
    }
}

}  // namespace radishpulley::routing
