#include "routing/load_capacity_estimator.h"

#include <algorithm>

namespace radishpulley::routing {

load_capacity_estimator::load_capacity_estimator(load_speed_settings settings)
    : settings_(settings), figure_(settings.least) {}

void load_capacity_estimator::set_engines(std::size_t n) {
    if (decreased_at_ == time_point::min()) {
        figure_ = std::max(figure_, static_cast<double>(n));
    }
}

void load_capacity_estimator::on_ordered(const endpoint_id& engine, const model_ref& adapter,
                            std::size_t fleet_loads, time_point ready_at) {
    loads_[{engine, adapter}] = {fleet_loads, ready_at, false};
}

void load_capacity_estimator::on_use(const endpoint_id& engine, const model_ref& adapter, time_point now) {
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
    const bool is_late = now >= it.ready_at && now < it.ready_at + settings_.judged_within;
    const bool may_decrease =
        decreased_at_ == time_point::min() || now >= decreased_at_ + settings_.decrease_interval;
    if (!is_late || !may_decrease) {
        return;
    }
    decreased_at_ = now;
    const double ran = std::min(figure_, static_cast<double>(it.fleet_loads + 1));
    figure_ = std::max(settings_.least, ran * settings_.decrease);
}

void load_capacity_estimator::advance(time_point now) {
    for (auto at = loads_.begin(); at != loads_.end();) {
        const load& it = at->second;
        if (now < it.ready_at + settings_.judged_within) {
            ++at;
            continue;
        }
        const bool was_crowded = static_cast<double>(it.fleet_loads + 1) >= figure_;
        if (it.is_used && was_crowded) {
            const bool was_ever_late = decreased_at_ != time_point::min();
            const double step = was_ever_late ? settings_.step / figure_ : settings_.first_step;
            figure_ = std::min(settings_.most, figure_ + step);
        }
        at = loads_.erase(at);
    }
}

}  // namespace radishpulley::routing
