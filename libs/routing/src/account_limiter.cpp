#include "routing/account_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace radishpulley::routing {
namespace {

double seconds_of(duration it) {
    return std::chrono::duration<double>(it).count();
}

duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
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

void account_limiter::set_fleet_size(std::size_t vms) {
    fleet_size_ = std::max<std::size_t>(1, vms);
}

void account_limiter::on_peer_demand(const vm_id& peer, demand_by_account demand, time_point now,
                                     duration lifetime) {
    peers_[peer] = {std::move(demand), now + lifetime};
}

double account_limiter::decayed_demand(const bucket& it, time_point now) const {
    return it.demand *
           std::exp(-seconds_of(now - it.demand_at) / seconds_of(settings_.demand_window));
}

double account_limiter::min_demand(const bucket& it) const {
    return it.rate * settings_.min_demand / static_cast<double>(fleet_size_);
}

double account_limiter::remote_demand(const client_account_id& account, const bucket& it,
                                      double own, time_point now) const {
    const double minimum = min_demand(it);
    double total = 0;
    std::size_t reporting_vms = 1;
    for (const auto& [vm, peer] : peers_) {
        if (now > peer.ends_at) {
            continue;
        }
        ++reporting_vms;
        const auto demand = peer.demand.find(account);
        total += minimum + (demand == peer.demand.end() ? 0 : demand->second);
    }
    if (is_saturated(it, now)) {
        return std::max(total, it.saturation.demand - own);
    }
    // A VM that has not reported yet may see as much demand as this one.
    if (reporting_vms < fleet_size_) {
        total += static_cast<double>(fleet_size_ - reporting_vms) * (own + minimum);
    }
    return total;
}

double account_limiter::share(const client_account_id& account, time_point now) const {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return 1.0 / static_cast<double>(fleet_size_);
    }
    const double demand = decayed_demand(found->second, now);
    const double own = demand + min_demand(found->second);
    return own / (own + remote_demand(account, found->second, demand, now));
}

double account_limiter::mean_share(const client_account_id& account, const bucket& it,
                                   time_point now) const {
    const double elapsed = seconds_of(now - it.filled_at);
    if (elapsed <= 0) {
        return share(account, now);
    }
    // Integral of the share while this VM's demand decays and the remote demand stays constant.
    const double window = seconds_of(settings_.demand_window);
    const double initial_demand = decayed_demand(it, it.filled_at);
    const double decay = std::exp(-elapsed / window);
    const double remote = remote_demand(account, it, initial_demand * (1 + decay) / 2, now);
    const double remote_and_minimum = min_demand(it) + remote;
    if (remote_and_minimum <= 0) {
        return 1;
    }
    const double remote_integral =
        remote / remote_and_minimum *
        (elapsed + window * std::log((remote_and_minimum + initial_demand * decay) /
                                     (remote_and_minimum + initial_demand)));
    return 1 - remote_integral / elapsed;
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
    const double rate = std::max(1e-9, it.rate * own_share);
    // While demand exceeds the rate, other requests consume a part of the refill.
    const double contention = std::max(1.0, it.demand / rate);
    const double missing = std::max(1.0, required_fill(it, units, now)) - it.fill;
    return over_limit{from_seconds(missing / rate * contention), it.rate, own_share, it.fill};
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
        const double demand = decayed_demand(it, now);
        if (demand > it.rate * 1e-3) {
            out[account] = demand;
        }
    }
    return out;
}

}  // namespace radishpulley::routing
