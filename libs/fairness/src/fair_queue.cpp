#include "fairness/fair_queue.h"

#include <algorithm>

namespace radishpulley::fairness {
namespace {

// Weight of the newest sample in exponential moving averages.
constexpr double newest_sample_weight = 0.2;

double in_seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

duration from_seconds(double it) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(it));
}

}  // namespace

fair_queue::fair_queue(queue_policy policy) : policy_(policy) {}

bool fair_queue::has_fresh_shares(time_point now) const {
    return shares_at_ && now - *shares_at_ <= policy_.shares_lifetime;
}

bool fair_queue::is_limited(const client_account_id& account, time_point now) const {
    const auto it = shares_.find(account);
    return has_fresh_shares(now) && it != shares_.end() && it->second < 1;
}

double fair_queue::share_of(const client_account_id& account, const account_queue& it,
                            time_point now) const {
    const double demand = static_cast<double>(it.waiting.size() + it.running);
    if (!is_limited(account, now)) {
        return demand;
    }
    const bool is_fresh = now - *shares_at_ <= policy_.demand_refresh_age;
    return shares_.at(account) * (is_fresh ? demand : std::min(demand, it.average_demand));
}

void fair_queue::update(const client_account_id& account, account_queue& it, time_point now) {
    const double elapsed = in_seconds(now - it.updated_at);
    it.updated_at = now;
    if (!is_limited(account, now)) {
        it.credit = policy_.burst;
        return;
    }
    const double growth = share_of(account, it, now) - static_cast<double>(it.running);
    it.credit = std::min(policy_.burst, it.credit + growth * elapsed);
}

duration fair_queue::expected_wait(const client_account_id& account, const account_queue& it,
                                   time_point now) const {
    if (!is_limited(account, now) || it.average_run_time <= 0) {
        return duration::zero();
    }
    const double share = share_of(account, it, now);
    if (share <= 0) {
        return duration::zero();
    }
    const double debt = std::max(0.0, -it.credit);
    const double queued_time = static_cast<double>(it.waiting.size()) * it.average_run_time;
    return from_seconds((debt + queued_time) / share);
}

queue_decision fair_queue::push(const queued_request& request, time_point now) {
    account_queue& it = accounts_[request.account];
    update(request.account, it, now);
    it.weight = request.weight;
    const duration wait = expected_wait(request.account, it, now);
    if (it.waiting.size() >= policy_.max_waiting) {
        const auto count = static_cast<duration::rep>(it.waiting.size());
        return not_queued{request.number, queue_refusal::account_queue_full, wait / count};
    }
    if (now + wait + request.expected > request.deadline) {
        return not_queued{request.number, queue_refusal::deadline_too_early,
                          now + wait + request.expected - request.deadline};
    }
    if (it.waiting.empty() && it.running == 0) {
        it.virtual_time = std::max(it.virtual_time, virtual_now_);
    }
    it.waiting.push_back(request);
    return queued{request.number};
}

std::optional<queue_number> fair_queue::pop(time_point now) {
    account_queue* best = nullptr;
    for (auto& [account, it] : accounts_) {
        if (it.waiting.empty()) {
            continue;
        }
        update(account, it, now);
        const bool may_start = !is_limited(account, now) || it.credit > 0;
        if (may_start && (best == nullptr || it.virtual_time < best->virtual_time)) {
            best = &it;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const queued_request request = best->waiting.front();
    best->waiting.pop_front();
    ++best->running;
    virtual_now_ = best->virtual_time;
    best->virtual_time += in_seconds(request.expected) / best->weight;
    running_[request.number] = {request.account, now};
    return request.number;
}

void fair_queue::finish(queue_number number, time_point now) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
        for (auto& [account, it] : accounts_) {
            const auto matches = [&](const queued_request& entry) {
                return entry.number == number;
            };
            it.waiting.erase(std::remove_if(it.waiting.begin(), it.waiting.end(), matches),
                             it.waiting.end());
        }
        return;
    }
    account_queue& it = accounts_.at(found->second.account);
    update(found->second.account, it, now);
    const double run_time = in_seconds(now - found->second.started_at);
    it.average_run_time =
        it.average_run_time == 0
            ? run_time
            : it.average_run_time + newest_sample_weight * (run_time - it.average_run_time);
    --it.running;
    running_.erase(found);
}

std::vector<queue_number> fair_queue::remove_expired(time_point now) {
    std::vector<queue_number> expired;
    for (auto& [account, it] : accounts_) {
        const auto is_expired = [&](const queued_request& entry) {
            if (entry.deadline > now) {
                return false;
            }
            expired.push_back(entry.number);
            return true;
        };
        it.waiting.erase(std::remove_if(it.waiting.begin(), it.waiting.end(), is_expired),
                         it.waiting.end());
    }
    return expired;
}

void fair_queue::set_shares(const fair_ratios& shares, time_point now) {
    for (auto& [account, it] : accounts_) {
        update(account, it, now);
        const auto demand = static_cast<double>(it.waiting.size() + it.running);
        it.average_demand += newest_sample_weight * (demand - it.average_demand);
    }
    shares_ = shares;
    shares_at_ = now;
}

demand_summary fair_queue::demand() const {
    demand_summary sum;
    for (const auto& [account, it] : accounts_) {
        const double requests = static_cast<double>(it.waiting.size() + it.running);
        if (requests > 0) {
            sum[account] = {it.weight, requests};
        }
    }
    return sum;
}

time_point fair_queue::next_event(time_point now) const {
    time_point next = time_point::max();
    for (const auto& [account, it] : accounts_) {
        if (it.waiting.empty()) {
            continue;
        }
        next = std::min(next, it.waiting.front().deadline);
        const double growth = share_of(account, it, now) - static_cast<double>(it.running);
        if (growth > 0) {
            const duration wait = from_seconds(std::max(0.0, -it.credit) / growth);
            next = std::min(next, std::max(now, it.updated_at + wait) + duration(1));
        }
    }
    return next;
}

std::size_t fair_queue::waiting_count() const {
    std::size_t count = 0;
    for (const auto& [account, it] : accounts_) {
        count += it.waiting.size();
    }
    return count;
}

}  // namespace radishpulley::fairness
