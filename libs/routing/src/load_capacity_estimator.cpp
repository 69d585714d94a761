#include "routing/load_capacity_estimator.h"

#include <algorithm>

namespace radishpulley::routing {

load_capacity_estimator::load_capacity_estimator(load_capacity_settings settings)
    : settings_(settings), estimate_(settings.min_loads) {}

void load_capacity_estimator::set_engines(std::size_t n) {
    if (decreased_at_ == time_point::min()) {
        estimate_ = std::max(estimate_, static_cast<double>(n));
    }
}

void load_capacity_estimator::on_ordered(const endpoint_id& engine, const model_ref& adapter,
                                         std::size_t fleet_loads, time_point ready_at) {
    loads_[{engine, adapter}] = {fleet_loads, ready_at, false};
}

void load_capacity_estimator::on_use(const endpoint_id& engine, const model_ref& adapter,
                                     time_point now) {
    const auto found = loads_.find({engine, adapter});
    if (found != loads_.end() && now >= found->second.ready_at) {
        found->second.is_used = true;
    }
}

void load_capacity_estimator::on_missing(const endpoint_id& engine, const model_ref& adapter,
                                         time_point now) {
    const auto found = loads_.find({engine, adapter});
    if (found == loads_.end()) {
        return;
    }
    const load it = found->second;
    loads_.erase(found);
    const bool is_late = now >= it.ready_at && now < it.ready_at + settings_.evaluation_window;
    const bool may_decrease =
        decreased_at_ == time_point::min() || now >= decreased_at_ + settings_.decrease_interval;
    if (!is_late || !may_decrease) {
        return;
    }
    decreased_at_ = now;
    const double concurrent_loads = std::min(estimate_, static_cast<double>(it.fleet_loads + 1));
    estimate_ = std::max(settings_.min_loads, concurrent_loads * settings_.decrease_factor);
}

void load_capacity_estimator::advance(time_point now) {
    for (auto at = loads_.begin(); at != loads_.end();) {
        const load& it = at->second;
        if (now < it.ready_at + settings_.evaluation_window) {
            ++at;
            continue;
        }
        const bool was_at_capacity = static_cast<double>(it.fleet_loads + 1) >= estimate_;
        if (it.is_used && was_at_capacity) {
            const bool was_ever_late = decreased_at_ != time_point::min();
            const double step = was_ever_late ? settings_.step / estimate_ : settings_.initial_step;
            estimate_ = std::min(settings_.max_loads, estimate_ + step);
        }
        at = loads_.erase(at);
    }
}

}  // namespace radishpulley::routing
