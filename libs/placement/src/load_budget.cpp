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
      grant_from_(now + settings.permit_validity),
      refilled_(grant_from_) {}

void load_budget::on_request(const permit_request& it, time_point now) {
    const auto [entry, added] = pending_.try_emplace(it.endpoint);
    pending& known = entry->second;
    const bool stale =
        !added && it.holder == known.request.holder && it.number <= known.request.number;
    if (stale) {
        return;
    }
    if (added || known.request.priorities.empty()) {
        known.since = now;
    }
    known.request = it;
    known.granted = 0;
    std::sort(known.request.priorities.begin(), known.request.priorities.end(), std::greater<>());
}

void load_budget::on_done(const permit_done& it) {
    if (it.fence != fence_ || permits_.erase(it.permit) == 0) {
        return;
    }
    if (!it.used) {
        saved_ = std::min(saved_ + 1, settings_.burst);
    }
}

void load_budget::on_holder_ended(const vm_incarnation& who) {
    for (auto it = pending_.begin(); it != pending_.end();) {
        it = it->second.request.holder == who ? pending_.erase(it) : std::next(it);
    }
}

void load_budget::refill(time_point now) {
    if (now <= refilled_) {
        return;
    }
    saved_ += seconds(now - refilled_) * settings_.loads_per_second;
    saved_ = std::min(saved_, settings_.burst);
    refilled_ = now;
    for (auto it = permits_.begin(); it != permits_.end();) {
        it = it->second.until <= now ? permits_.erase(it) : std::next(it);
    }
}

load_budget::pending* load_budget::neediest(time_point now) {
    pending* best = nullptr;
    double best_need = 0;
    for (auto& [endpoint, it] : pending_) {
        if (it.granted >= it.request.priorities.size()) {
            continue;
        }
        const double age = seconds(now - it.since) * settings_.need_per_second;
        const double need = it.request.priorities[it.granted] + age;
        if (best == nullptr || need > best_need) {
            best = &it;
            best_need = need;
        }
    }
    return best;
}

std::vector<load_permit> load_budget::grant(time_point now) {
    std::vector<load_permit> result;
    refill(now);
    while (now >= grant_from_ && saved_ >= 1 && permits_.size() < settings_.in_flight) {
        pending* next = neediest(now);
        if (next == nullptr) {
            break;
        }
        saved_ -= 1;
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
