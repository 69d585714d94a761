#include "routing/account_monitor.h"

#include <algorithm>
#include <cmath>

namespace radishpulley::routing {
namespace {

double seconds_of(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

void account_monitor::configure(gsl::span<const client_account> accounts, time_point now) {
    std::map<client_account_id, record> next;
    for (const client_account& account : accounts) {
        if (account.rate <= 0) {
            continue;
        }
        const auto known = records_.find(account.id);
        record it;
        if (known != records_.end()) {
            advance(known->second, now);
            it = known->second;
            it.fill = std::min(it.fill, account.burst);
        } else {
            it.fill = account.burst;
            it.as_of = now;
        }
        it.rate = account.rate;
        it.burst = account.burst;
        next[account.id] = it;
    }
    records_ = std::move(next);
}

void account_monitor::advance(record& it, time_point now) const {
    const double elapsed = seconds_of(now - it.as_of);
    it.fill = std::min(it.burst, it.fill + it.rate * elapsed);
    it.demand *= std::exp(-elapsed / seconds_of(settings_.demand_window));
    it.as_of = now;
}

void account_monitor::on_usage_report(const vm_incarnation& from, const account_usage& it,
                                      time_point now) {
    const auto known = records_.find(it.account);
    if (known == records_.end()) {
        return;
    }
    record& found = known->second;
    const auto last = found.reported.find(from.vm);
    const bool is_known = last != found.reported.end() && last->second.first == from.incarnation;
    const unit_counts before = is_known ? last->second.second : it.before;
    if (it.total.requested <= before.requested) {
        // The report is late or a duplicate.
        return;
    }
    found.reported[from.vm] = {from.incarnation, it.total};
    advance(found, now);
    found.fill -= it.total.admitted - before.admitted;
    found.demand += (it.total.requested - before.requested) / seconds_of(settings_.demand_window);
}

std::vector<account_saturation> account_monitor::take_saturated(time_point now) {
    std::vector<account_saturation> out;
    for (auto& [account, it] : records_) {
        advance(it, now);
        const bool is_saturated = it.fill < it.burst * settings_.saturation_threshold;
        if (!is_saturated) {
            it.announced_at.reset();
        } else if (!it.announced_at || now - *it.announced_at >= settings_.repeat_interval) {
            it.announced_at = now;
            out.push_back({account, it.demand, it.fill / std::max(1.0, it.burst)});
        }
    }
    return out;
}

}  // namespace radishpulley::routing
