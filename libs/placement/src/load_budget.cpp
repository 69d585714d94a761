#include "placement/load_budget.h"

#include <algorithm>

namespace radishpulley::placement {
namespace {

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

}  // namespace

load_budget::load_budget(load_budget_settings settings, fencing_number fence, time_point now)
    : settings_(settings),
      fence_(fence),
      first_grant_at_(now + settings.permit_validity),
      refilled_at_(first_grant_at_) {}

void load_budget::on_request(const permit_request& it, time_point now) {
    const auto [entry, added] = pending_requests_.try_emplace(it.endpoint);
    pending_request& pending = entry->second;
    const bool stale =
        !added && it.holder == pending.request.holder && it.number <= pending.request.number;
    if (stale) {
        return;
    }
    if (added || pending.request.needs.empty()) {
        pending.since = now;
    }
    pending.request = it;
    pending.granted = 0;
    std::sort(pending.request.needs.begin(), pending.request.needs.end(), std::greater<>());
}

void load_budget::on_done(const permit_done& it) {
    if (it.fence != fence_ || permits_.erase(it.permit) == 0) {
        return;
    }
    if (!it.used) {
        tokens_ = std::min(tokens_ + 1, settings_.burst);
    }
}

void load_budget::on_holder_ended(const vm_incarnation& who) {
    for (auto it = pending_requests_.begin(); it != pending_requests_.end();) {
        it = it->second.request.holder == who ? pending_requests_.erase(it) : std::next(it);
    }
}

void load_budget::refill(time_point now) {
    if (now <= refilled_at_) {
        return;
    }
    tokens_ += seconds(now - refilled_at_) * settings_.loads_per_second;
    tokens_ = std::min(tokens_, settings_.burst);
    refilled_at_ = now;
    for (auto it = permits_.begin(); it != permits_.end();) {
        it = it->second.until <= now ? permits_.erase(it) : std::next(it);
    }
}

load_budget::pending_request* load_budget::find_highest_priority(time_point now) {
    pending_request* best = nullptr;
    double best_priority = 0;
    for (auto& [endpoint, it] : pending_requests_) {
        if (it.granted >= it.request.needs.size()) {
            continue;
        }
        const double age = seconds(now - it.since) * settings_.priority_per_second;
        const double priority = it.request.needs[it.granted] + age;
        if (best == nullptr || priority > best_priority) {
            best = &it;
            best_priority = priority;
        }
    }
    return best;
}

std::vector<load_permit> load_budget::grant(time_point now) {
    std::vector<load_permit> result;
    refill(now);
    while (now >= first_grant_at_ && tokens_ >= 1 && permits_.size() < settings_.in_flight) {
        pending_request* next = find_highest_priority(now);
        if (next == nullptr) {
            break;
        }
        tokens_ -= 1;
        ++next->granted;
        next->since = now;
        const permit_request& asked = next->request;
        permits_[++last_permit_] = {asked.endpoint, now + settings_.load_timeout};
        result.push_back({asked.endpoint, asked.holder, asked.number, last_permit_, fence_,
                          settings_.permit_validity});
    }
    return result;
}

}  // namespace radishpulley::placement
