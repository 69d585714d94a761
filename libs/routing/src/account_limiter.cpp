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
            const double room = account.burst * share(account.id, now);
            it.small_fill = room * settings_.small_part;
            it.fill = room - it.small_fill;
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

double account_limiter::least_demand(const bucket& it) const {
    return it.rate * settings_.least_demand / static_cast<double>(fleet_size_);
}

double account_limiter::demand_elsewhere(const client_account_id& account, const bucket& it,
                                         double own, time_point now) const {
    const double least = least_demand(it);
    double all = 0;
    std::size_t heard = 1;
    for (const auto& [vm, peer] : peers_) {
        if (now > peer.ends_at) {
            continue;
        }
        ++heard;
        const auto demand = peer.demand.find(account);
        all += least + (demand == peer.demand.end() ? 0 : demand->second);
    }
    if (is_saturated(it, now)) {
        return std::max(all, it.saturation.demand - own);
    }
    // A VM that was never heard may see as much demand as this one.
    if (heard < fleet_size_) {
        all += static_cast<double>(fleet_size_ - heard) * (own + least);
    }
    return all;
}

double account_limiter::share(const client_account_id& account, time_point now) const {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return 1.0 / static_cast<double>(fleet_size_);
    }
    const double demand = decayed_demand(found->second, now);
    const double own = demand + least_demand(found->second);
    return own / (own + demand_elsewhere(account, found->second, demand, now));
}

double account_limiter::mean_share(const client_account_id& account, const bucket& it,
                                   time_point now) const {
    const double elapsed = seconds_of(now - it.filled_at);
    if (elapsed <= 0) {
        return share(account, now);
    }
    // The share's integral while this VM's demand decays and that of the others stays.
    const double window = seconds_of(settings_.demand_window);
    const double then = decayed_demand(it, it.filled_at);
    const double decay = std::exp(-elapsed / window);
    const double elsewhere = demand_elsewhere(account, it, then * (1 + decay) / 2, now);
    const double rest = least_demand(it) + elsewhere;
    if (rest <= 0) {
        return 1;
    }
    const double taken_elsewhere =
        elsewhere / rest * (elapsed + window * std::log((rest + then * decay) / (rest + then)));
    return 1 - taken_elsewhere / elapsed;
}

void account_limiter::refill(const client_account_id& account, bucket& it, time_point now) {
    const bool saturated = is_saturated(it, now);
    const double pace =
        saturated ? std::clamp(1 + it.saturation.fill, settings_.least_pace, 1.0) : 1.0;
    const double part = mean_share(account, it, now) * pace;
    const double elapsed = seconds_of(now - it.filled_at);
    it.filled_at = now;
    const double small_room = it.burst * part * settings_.small_part;
    const double small = it.small_fill + it.rate * part * elapsed * settings_.small_part;
    it.small_fill = std::min(small, small_room);
    const double left_over = std::max(0.0, small - small_room);
    const double large = it.rate * part * elapsed * (1 - settings_.small_part) + left_over;
    const double savings = saturated ? it.largest / 2 : 0;
    it.fill = std::min(it.fill + large, it.burst * part * (1 - settings_.small_part) + savings);
}

double account_limiter::needed_fill(const bucket& it, double units, time_point now) const {
    const double overdraft = settings_.overdraft / static_cast<double>(fleet_size_);
    return (is_saturated(it, now) ? units / 2 : 0) - overdraft;
}

bool account_limiter::take(bucket& it, double units, time_point now) const {
    const bool is_small = units <= it.burst * settings_.small_size;
    if (is_small && it.small_fill >= units) {
        it.small_fill -= units;
        return true;
    }
    if (it.fill > needed_fill(it, units, now)) {
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
    // What came in until now was shared by the demand until now.
    refill(account, it, now);
    it.demand = decayed_demand(it, now) + units / seconds_of(settings_.demand_window);
    it.demand_at = now;
    it.total.asked += units;
    it.largest = std::max(it.largest, units);
    if (take(it, units, now)) {
        it.total.admitted += units;
        return admitted{};
    }
    const double part = share(account, now);
    const double rate = std::max(1e-9, it.rate * part);
    // While more is asked for than is allowed, other requests take a part of what comes in.
    const double crowd = std::max(1.0, it.demand / rate);
    const double missing = std::max(1.0, needed_fill(it, units, now)) - it.fill;
    return over_limit{from_seconds(missing / rate * crowd), it.rate, part, it.fill};
}

bool account_limiter::on_saturation(const account_saturation& it, time_point now) {
    const auto found = buckets_.find(it.account);
    if (found == buckets_.end()) {
        return false;
    }
    const bool is_news = !is_saturated(found->second, now);
    // What came in until now is shared by what was known until now.
    refill(it.account, found->second, now);
    found->second.saturation = it;
    found->second.saturated_until = now + settings_.saturation_lifetime;
    return is_news;
}

std::vector<account_usage> account_limiter::take_usage_reports() {
    std::vector<account_usage> out;
    for (auto& [account, it] : buckets_) {
        const unit_counts before = std::exchange(it.reported_before, it.reported);
        if (it.total.asked > before.asked) {
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
