#include "routing/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace radishpulley::routing {
namespace {

double seconds_of(duration it) {
    return std::chrono::duration<double>(it).count();
}

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

// After a loss of contact, in tolerances of the contact: a VM with more than an equal part gives up
// the rest well before one with less takes it, as they may have noticed the loss at different
// times.
constexpr int yields_after = 2;
constexpr int equal_parts_after = 4;
// Another VM may accept the request.
constexpr duration yield_retry_after = std::chrono::milliseconds(500);
// Longer than it takes to notice a loss of contact.
constexpr duration stated_demand_retention = std::chrono::seconds(60);

double units_of(const demand_by_account& demand, const client_account_id& account) {
    const auto found = demand.find(account);
    return found == demand.end() ? 0 : found->second;
}

bool is_over(const lost_contact& it, int tolerances, time_point now) {
    return it.since == time_point::min() || now - it.since > it.tolerance * tolerances;
}

}  // namespace

account_limiter::account_limiter(limiter_settings settings) : settings_(settings) {}

void account_limiter::configure(const std::vector<client_account>& accounts, time_point now) {
    std::map<client_account_id, bucket> next;
    for (const client_account& account : accounts) {
        if (account.rate <= 0) {
            continue;
        }
        const auto known = buckets_.find(account.id);
        bucket it;
        if (known != buckets_.end()) {
            refill(account.id, known->second, now);
            it = known->second;
        } else {
            it.filled_at = now;
            it.demand_at = now;
            const double capacity = account.burst * share(account.id, now);
            it.small_fill = capacity * settings_.small_request_share;
            it.fill = capacity - it.small_fill;
        }
        it.rate = account.rate;
        it.burst = account.burst;
        next[account.id] = it;
    }
    buckets_ = std::move(next);
}

void account_limiter::set_members(gsl::span<const vm_id> others) {
    members_.assign(others.begin(), others.end());
    fleet_size_ = members_.size() + 1;
    const std::set<vm_id> known(others.begin(), others.end());
    for (auto it = peers_.begin(); it != peers_.end();) {
        it = known.count(it->first) == 0 ? peers_.erase(it) : std::next(it);
    }
    recount_heard();
}

void account_limiter::recount_heard() {
    std::set<vm_id> heard;
    for (const vm_id& vm : members_) {
        if (lost_.count(vm) == 0) {
            heard.insert(vm);
        }
    }
    if (heard == heard_members_) {
        return;
    }
    heard_members_ = std::move(heard);
    heard_demand_.clear();
    unstated_members_ = 0;
    for (const vm_id& vm : heard_members_) {
        const auto stated = peers_.find(vm);
        if (stated == peers_.end()) {
            ++unstated_members_;
            continue;
        }
        for (const auto& [account, units] : stated->second) {
            heard_demand_[account] += units;
        }
    }
}

void account_limiter::on_peer_demand(const vm_id& peer, demand_by_account demand) {
    const auto known = peers_.find(peer);
    if (heard_members_.count(peer) != 0) {
        unstated_members_ -= known == peers_.end() ? 1 : 0;
        for (const auto& [account, units] : demand) {
            heard_demand_[account] += units;
        }
        if (known != peers_.end()) {
            for (const auto& [account, units] : known->second) {
                heard_demand_[account] -= units;
            }
        }
    }
    peers_[peer] = std::move(demand);
}

void account_limiter::set_lost_contacts(gsl::span<const lost_contact> lost) {
    std::map<vm_id, loss> next;
    is_contested_ = false;
    for (const lost_contact& it : lost) {
        is_contested_ = is_contested_ || it.contested;
        const auto known = lost_.find(it.vm);
        const bool is_same = known != lost_.end() && known->second.contact.since == it.since;
        next[it.vm] = is_same ? std::move(known->second) : loss_of(it);
        next[it.vm].contact = it;
    }
    lost_ = std::move(next);
    recount_heard();
}

void account_limiter::note_demand_stated(time_point now) {
    stated_.push_back({now, demand(now)});
    while (now - stated_.front().at > stated_demand_retention) {
        stated_.pop_front();
    }
}

demand_by_account account_limiter::demand_heard_by(const lost_contact& it) const {
    demand_by_account least;
    bool is_first = true;
    for (const stated_demand& stated : stated_) {
        const bool is_near = stated.at >= it.since - it.tolerance * 2 && stated.at <= it.since;
        if (it.since == time_point::min() || !is_near) {
            continue;
        }
        if (is_first) {
            least = stated.demand;
        }
        is_first = false;
        for (auto at = least.begin(); at != least.end();) {
            at->second = std::min(at->second, units_of(stated.demand, at->first));
            at = at->second == 0 ? least.erase(at) : std::next(at);
        }
    }
    return least;
}

double account_limiter::decayed_demand(const bucket& it, time_point now) const {
    return it.demand *
           std::exp(-seconds_of(now - it.demand_at) / seconds_of(settings_.demand_window));
}

double account_limiter::min_demand(const bucket& it) const {
    return it.rate * settings_.min_demand / static_cast<double>(fleet_size_);
}

double account_limiter::equal_demand(const bucket& it) const {
    return it.rate / static_cast<double>(fleet_size_);
}

double account_limiter::stated_by(const vm_id& peer, const client_account_id& account) const {
    const auto known = peers_.find(peer);
    return known == peers_.end() ? 0 : units_of(known->second, account);
}

double account_limiter::part_of_lost(const client_account_id& account, const loss& lost,
                                     time_point now) const {
    const double equal_part = 1 / static_cast<double>(fleet_size_);
    const auto known = lost.shares.find(account);
    const bool is_equal =
        known == lost.shares.end() || is_over(lost.contact, equal_parts_after, now);
    return is_equal ? equal_part : std::max(equal_part, known->second);
}

account_limiter::loss account_limiter::loss_of(const lost_contact& it) const {
    loss out{it, demand_heard_by(it), {}};
    for (const auto& [account, bucket] : buckets_) {
        const double minimum = min_demand(bucket);
        double total =
            minimum * static_cast<double>(fleet_size_) + units_of(out.heard_demand, account);
        for (const auto& [vm, demand] : peers_) {
            total += units_of(demand, account);
        }
        out.shares[account] = total > 0 ? (stated_by(it.vm, account) + minimum) / total : 1;
    }
    return out;
}

void account_limiter::add_lost(const client_account_id& account, const bucket& it, time_point now,
                               contention& out) const {
    const double minimum = min_demand(it);
    const double equal = equal_demand(it);
    for (const auto& [vm, lost] : lost_) {
        if (!is_contested_) {
            out.reserved += part_of_lost(account, lost, now);
            continue;
        }
        const double heard = units_of(lost.heard_demand, account);
        const double stated = stated_by(vm, account);
        if (is_over(lost.contact, equal_parts_after, now)) {
            out.remote += minimum + equal;
            out.demand_cap = std::min(out.demand_cap, equal);
        } else {
            out.remote += minimum + std::max(stated, equal);
            out.demand_cap =
                std::min(out.demand_cap,
                         is_over(lost.contact, yields_after, now) ? std::min(heard, equal) : heard);
        }
    }
    out.reserved = std::min(1.0, out.reserved);
}

account_limiter::contention account_limiter::contention_of(const client_account_id& account,
                                                           const bucket& it, double own,
                                                           time_point now) const {
    contention out;
    out.demand_cap = std::numeric_limits<double>::infinity();
    out.remote = min_demand(it) * static_cast<double>(heard_members_.size()) +
                 std::max(0.0, units_of(heard_demand_, account));
    add_lost(account, it, now, out);
    if (is_saturated(it, now)) {
        out.remote = std::max(out.remote, it.saturation.demand - own);
    } else {
        // A VM that has not stated its demand yet may see as much as this one.
        out.remote += static_cast<double>(unstated_members_) * own;
    }
    return out;
}

double account_limiter::share(const client_account_id& account, time_point now) const {
    if (yields_) {
        return 0;
    }
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return 1.0 / static_cast<double>(fleet_size_);
    }
    const double demand = decayed_demand(found->second, now);
    const contention others = contention_of(account, found->second, demand, now);
    const double own = std::min(demand, others.demand_cap) + min_demand(found->second);
    return (1 - others.reserved) * own / (own + others.remote);
}

double account_limiter::mean_share(const client_account_id& account, const bucket& it,
                                   time_point now) const {
    const double elapsed = seconds_of(now - it.filled_at);
    if (elapsed <= 0 || yields_) {
        return share(account, now);
    }
    // Integral of the share while this VM's demand decays and the remote demand stays constant.
    const double window = seconds_of(settings_.demand_window);
    const double initial_demand = decayed_demand(it, it.filled_at);
    const double decay = std::exp(-elapsed / window);
    const contention others = contention_of(account, it, initial_demand * (1 + decay) / 2, now);
    if (initial_demand > others.demand_cap) {
        return share(account, now);
    }
    const double remote = others.remote;
    const double remote_and_minimum = min_demand(it) + remote;
    if (remote_and_minimum <= 0) {
        return 1 - others.reserved;
    }
    const double remote_integral =
        remote / remote_and_minimum *
        (elapsed + window * std::log((remote_and_minimum + initial_demand * decay) /
                                     (remote_and_minimum + initial_demand)));
    return (1 - others.reserved) * (1 - remote_integral / elapsed);
}

void account_limiter::refill(const client_account_id& account, bucket& it, time_point now) {
    const bool saturated = is_saturated(it, now);
    const double refill_factor =
        saturated ? std::clamp(1 + it.saturation.fill, settings_.min_refill_factor, 1.0) : 1.0;
    const double effective_share = mean_share(account, it, now) * refill_factor;
    const double elapsed = seconds_of(now - it.filled_at);
    it.filled_at = now;
    const double small_capacity = it.burst * effective_share * settings_.small_request_share;
    const double small =
        it.small_fill + it.rate * effective_share * elapsed * settings_.small_request_share;
    it.small_fill = std::min(small, small_capacity);
    const double surplus = std::max(0.0, small - small_capacity);
    const double large =
        it.rate * effective_share * elapsed * (1 - settings_.small_request_share) + surplus;
    const double accumulation = saturated ? it.largest_request / 2 : 0;
    it.fill =
        std::min(it.fill + large,
                 it.burst * effective_share * (1 - settings_.small_request_share) + accumulation);
}

double account_limiter::required_fill(const bucket& it, double units, time_point now) const {
    const double own_overdraft = settings_.overdraft / static_cast<double>(fleet_size_);
    return (is_saturated(it, now) ? units / 2 : 0) - own_overdraft;
}

bool account_limiter::try_take(bucket& it, double units, time_point now) const {
    if (yields_) {
        return false;
    }
    const bool is_small = units <= it.burst * settings_.small_request_size;
    if (is_small && it.small_fill >= units) {
        it.small_fill -= units;
        return true;
    }
    if (it.fill > required_fill(it, units, now)) {
        it.fill -= units;
        return true;
    }
    return false;
}

admission account_limiter::admit(const client_account_id& account, double units, time_point now) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return admitted{};
    }
    bucket& it = found->second;
    // The refill up to now uses the demand before this request.
    refill(account, it, now);
    it.demand = decayed_demand(it, now) + units / seconds_of(settings_.demand_window);
    it.demand_at = now;
    it.total.requested += units;
    it.largest_request = std::max(it.largest_request, units);
    if (try_take(it, units, now)) {
        it.total.admitted += units;
        return admitted{};
    }
    const double own_share = share(account, now);
    if (yields_) {
        return over_limit{yield_retry_after, it.rate, own_share, it.fill};
    }
    const double rate = std::max(1e-9, it.rate * own_share);
    // While demand exceeds the rate, other requests consume a part of the refill.
    const double contention = std::max(1.0, it.demand / rate);
    const double missing = std::max(1.0, required_fill(it, units, now)) - it.fill;
    return over_limit{from_seconds(missing / rate * contention), it.rate, own_share, it.fill};
}

bool account_limiter::would_admit(const client_account_id& account, double units, time_point now) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return true;
    }
    refill(account, found->second, now);
    bucket copy = found->second;
    return try_take(copy, units, now);
}

bool account_limiter::on_saturation(const account_saturation& it, time_point now) {
    const auto found = buckets_.find(it.account);
    if (found == buckets_.end()) {
        return false;
    }
    const bool is_changed = !is_saturated(found->second, now);
    // The refill up to now uses the state before this report.
    refill(it.account, found->second, now);
    found->second.saturation = it;
    found->second.saturated_until = now + settings_.saturation_lifetime;
    return is_changed;
}

std::vector<account_usage> account_limiter::take_usage_reports() {
    std::vector<account_usage> out;
    for (auto& [account, it] : buckets_) {
        const unit_counts before = std::exchange(it.previously_reported, it.reported);
        if (it.total.requested > before.requested) {
            out.push_back({account, it.total, it.reported});
        }
        it.reported = it.total;
    }
    return out;
}

void account_limiter::refund(const client_account_id& account, double units) {
    const auto found = buckets_.find(account);
    if (found != buckets_.end()) {
        found->second.fill += units;
        found->second.total.admitted -= units;
    }
}

demand_by_account account_limiter::demand(time_point now) const {
    demand_by_account out;
    for (const auto& [account, it] : buckets_) {
        const double seen = decayed_demand(it, now);
        const double demand = std::min(seen, contention_of(account, it, seen, now).demand_cap);
        if (demand > it.rate * 1e-3) {
            out[account] = demand;
        }
    }
    return out;
}

}  // namespace radishpulley::routing
