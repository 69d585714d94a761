#include "routing/load_time_estimator.h"

#include <algorithm>

namespace radishpulley::routing {
namespace {

// Estimate for cached adapters before the first observation.
constexpr duration cached_prior = std::chrono::milliseconds(40);
// Ratio of two levels' estimates from which the weight store counts as saturated at the higher one.
constexpr double saturation_ratio = 1.3;
// Number of concurrent loads from one level to the next.
constexpr int loads_ratio = 2;

load_time_settings cached_settings() {
    load_time_settings out;
    out.prior = cached_prior;
    return out;
}

duration scale(duration it, double factor) {
    return std::chrono::duration_cast<duration>(it * factor);
}

}  // namespace

adapter_load_times::adapter_load_times() : cached(cached_settings()) {}

void adapter_load_times::set_vms(std::size_t n) {
    fetched.set_vms(n);
    cached.set_vms(n);
}

load_time_estimator::load_time_estimator(load_time_settings settings)
    : settings_(settings), probe_interval_(settings.probe_interval) {}

std::size_t load_time_estimator::index_of(std::size_t loads) {
    std::size_t index = 0;
    while (loads > 1 && index + 1 < level_count) {
        loads = (loads + 1) / loads_ratio;
        ++index;
    }
    return index;
}

bool load_time_estimator::check(duration it) {
    const bool is_valid = it > duration::zero() && it <= settings_.max;
    ignored_ += is_valid ? 0 : 1;
    return is_valid;
}

duration load_time_estimator::extrapolate(std::size_t index) const {
    std::size_t highest = index;
    while (highest > 0 && !levels_[highest]) {
        --highest;
    }
    if (!levels_[highest]) {
        return settings_.prior;
    }
    duration lowest = levels_[highest]->estimate;
    for (std::size_t i = 0; i < highest; ++i) {
        if (levels_[i]) {
            lowest = std::min(lowest, levels_[i]->estimate);
        }
    }
    duration out = levels_[highest]->estimate;
    if (out > scale(lowest, saturation_ratio)) {
        for (std::size_t i = highest; i < index && out < settings_.max; ++i) {
            out *= loads_ratio;
        }
    }
    return out;
}

duration load_time_estimator::expected(std::size_t loads) const {
    const std::size_t index = index_of(loads);
    duration out = extrapolate(index);
    for (std::size_t i = index + 1; i < level_count; ++i) {
        if (levels_[i]) {
            out = std::min(out, levels_[i]->estimate);
        }
    }
    return std::clamp(out, settings_.min, settings_.max);
}

load_time_estimator::level& load_time_estimator::level_at(std::size_t loads) {
    const std::size_t index = index_of(loads);
    if (!levels_[index]) {
        level it;
        it.estimate = expected(loads);
        levels_[index] = it;
    }
    return *levels_[index];
}

duration load_time_estimator::lower_bound(std::size_t index, time_point now) const {
    duration out{};
    for (std::size_t i = 0; i <= index; ++i) {
        if (levels_[i] && now < levels_[i]->missing_until) {
            out = std::max(out, levels_[i]->missing_at);
        }
    }
    return out;
}

duration load_time_estimator::plan(std::size_t loads, time_point now) {
    const duration estimate = expected(loads);
    const duration lowest = lower_bound(index_of(loads), now);
    const duration shorter =
        std::max(scale(estimate, settings_.probe_fraction), (lowest + estimate) / 2);
    if (!next_probe_) {
        next_probe_ = probe_after(now);
    }
    if (now < *next_probe_ || estimate - shorter < settings_.min_probe_gain) {
        return estimate;
    }
    next_probe_ = probe_after(now);
    return shorter;
}

void load_time_estimator::on_present(std::size_t loads, duration elapsed, time_point now) {
    if (!check(elapsed)) {
        return;
    }
    level& it = level_at(loads);
    it.own_until = now + settings_.own_priority;
    if (elapsed < it.estimate) {
        it.estimate = std::max(elapsed, settings_.min);
        probe_interval_ = settings_.probe_interval;
    }
}

void load_time_estimator::on_missing(std::size_t loads, duration elapsed, time_point now) {
    if (!check(elapsed)) {
        return;
    }
    level& it = level_at(loads);
    it.own_until = now + settings_.own_priority;
    const bool is_remembered = now < it.missing_until;
    it.missing_at = is_remembered ? std::max(it.missing_at, elapsed) : elapsed;
    it.missing_until = now + settings_.memory;
    if (elapsed < it.estimate) {
        probe_interval_ = std::min(probe_interval_ * 2, settings_.max_probe_interval);
        next_probe_ = probe_after(now);
        return;
    }
    it.estimate = std::clamp(scale(elapsed, settings_.growth), settings_.min, settings_.max);
    raise_above(index_of(loads), elapsed, it.estimate);
}

void load_time_estimator::raise_above(std::size_t index, duration elapsed, duration estimate) {
    for (std::size_t i = index + 1; i < level_count; ++i) {
        if (levels_[i] && levels_[i]->estimate <= elapsed) {
            levels_[i]->estimate = estimate;
        }
    }
}

void load_time_estimator::on_peer_estimate(std::size_t loads, duration expected, time_point now) {
    if (!check(expected)) {
        return;
    }
    level& it = level_at(loads);
    if (now >= it.own_until) {
        it.estimate = std::clamp(expected, settings_.min, settings_.max);
    }
}

}  // namespace radishpulley::routing
