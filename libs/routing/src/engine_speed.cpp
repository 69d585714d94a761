#include "routing/engine_speed.h"

#include <iterator>

namespace radishpulley::routing {
namespace {

// Scale of the coefficients whose prior is 0.
constexpr double overhead_ms = 100;

double to_ms(duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

duration from_ms(double ms) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

duration scaled(duration it, double factor) {
    return factor == 1 ? it : from_ms(to_ms(it) * factor);
}

}  // namespace

engine_speed_estimator::engine_speed_estimator(const engine_speed& prior,
                                               const engine_speed_settings& settings)
    : prior_(prior), settings_(settings) {}

engine_speed_estimator::first_event_fit::values engine_speed_estimator::features_of(
    const engine_load& load) const {
    return {overhead_ms, static_cast<double>(load.prefill_work) / prior_.prefill_tokens_per_ms,
            to_ms(prior_.batch_slowdown) * load.requests};
}

engine_speed_estimator::pause_fit::values engine_speed_estimator::features_of(
    std::uint32_t requests) const {
    return {overhead_ms, to_ms(prior_.pause_slowdown) * requests};
}

engine_speed_estimator::service_state* engine_speed_estimator::state_of(const service_id& service) {
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return &found->second;
    }
    if (services_.size() >= settings_.max_services) {
        return nullptr;
    }
    const service_state fresh{first_event_fit({0, 1, 1}, settings_.fit),
                              pause_fit({0, 1}, settings_.fit), factor_fit({1}, settings_.fit)};
    return &services_.emplace(service, fresh).first->second;
}

engine_speed_estimator::engine_state* engine_speed_estimator::state_of(const endpoint_id& engine,
                                                                       time_point now) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.observed_at = now;
        return &found->second;
    }
    if (engines_.size() >= settings_.max_engines) {
        return nullptr;
    }
    const engine_state fresh{factor_fit({1}, settings_.fit), factor_fit({1}, settings_.fit), now};
    return &engines_.emplace(engine, fresh).first->second;
}

void engine_speed_estimator::on_first_event(const service_id& service, const endpoint_id& engine,
                                            const engine_load& load, duration elapsed,
                                            time_point now) {
    service_state* common = state_of(service);
    engine_state* own = state_of(engine, now);
    if (common == nullptr || own == nullptr) {
        return;
    }
    const first_event_fit::values features = features_of(load);
    own->first_events.add({common->first_events.predict(features)}, to_ms(elapsed), now);
    common->first_events.add(features, to_ms(elapsed), now);
}

void engine_speed_estimator::on_pause(const service_id& service, const endpoint_id& engine,
                                      std::uint32_t requests, std::uint64_t prefill_work,
                                      duration pause, time_point now) {
    if (prefill_work > settings_.max_prefill_beside_pause) {
        return;
    }
    service_state* common = state_of(service);
    engine_state* own = state_of(engine, now);
    if (common == nullptr || own == nullptr) {
        return;
    }
    const pause_fit::values features = features_of(requests);
    own->pauses.add({common->pauses.predict(features)}, to_ms(pause), now);
    common->pauses.add(features, to_ms(pause), now);
}

void engine_speed_estimator::on_request_end(const service_id& service, duration elapsed,
                                            time_point now) {
    service_state* common = state_of(service);
    if (common != nullptr) {
        common->request_times.add({to_ms(prior_.request_time)}, to_ms(elapsed), now);
    }
}

void engine_speed_estimator::drop_expired(time_point now) {
    for (auto it = engines_.begin(); it != engines_.end();) {
        const bool is_expired = now - it->second.observed_at > settings_.engine_memory;
        it = is_expired ? engines_.erase(it) : std::next(it);
    }
}

engine_speed engine_speed_estimator::common(const service_id& service) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return prior_;
    }
    const auto& [overhead, prefill, slowdown] = found->second.first_events.coefficients();
    const auto& [pause_base, pause_slowdown] = found->second.pauses.coefficients();
    engine_speed out = prior_;
    out.first_event_overhead = from_ms(overhead_ms * overhead);
    out.prefill_tokens_per_ms = prior_.prefill_tokens_per_ms / prefill;
    out.batch_slowdown = scaled(prior_.batch_slowdown, slowdown);
    out.pause_base = from_ms(overhead_ms * pause_base);
    out.pause_slowdown = scaled(prior_.pause_slowdown, pause_slowdown);
    out.request_time =
        scaled(prior_.request_time, found->second.request_times.coefficients().front());
    return out;
}

engine_speed engine_speed_estimator::of_engine(const endpoint_id& engine,
                                               const engine_speed& common) const {
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return common;
    }
    const double first_event = found->second.first_events.coefficients().front();
    const double pause = found->second.pauses.coefficients().front();
    engine_speed out = common;
    out.first_event_overhead = scaled(common.first_event_overhead, first_event);
    out.prefill_tokens_per_ms = common.prefill_tokens_per_ms / first_event;
    out.batch_slowdown = scaled(common.batch_slowdown, first_event);
    out.pause_base = scaled(common.pause_base, pause);
    out.pause_slowdown = scaled(common.pause_slowdown, pause);
    return out;
}

}  // namespace radishpulley::routing
