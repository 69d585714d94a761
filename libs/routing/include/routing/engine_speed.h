/// Speed of model engines, estimated from the responses that this VM relays.
///
/// The engines of one service have a common speed, which each response tells something about, and
/// each engine has a factor on it, as a VM observes a single engine rarely. Pure; not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/robust_linear_fit.h"

namespace radishpulley::routing {

/// Speed of one engine.
struct engine_speed {
    /// Prompt tokens that the engine prefills per millisecond while prompts are short.
    double prefill_tokens_per_ms = 0;
    /// Delay of the first event per running request.
    duration batch_slowdown{};
    /// Time to the first event of an empty prompt at an idle engine.
    duration first_event_overhead{};
    /// Pause between two events of a stream at an otherwise idle engine, and its growth per running
    /// request.
    duration pause_base{};
    duration pause_slowdown{};
    /// Time for which a request occupies its slot.
    duration request_time{};
};

/// Work at an engine as a request was sent there, as far as this VM knows.
struct engine_load {
    /// Prefill work up to the end of the request's own prompt, in tokens of a short prompt.
    std::uint64_t prefill_work = 0;
    /// Other requests at the engine.
    std::uint32_t requests = 0;
};

/// Bounds of the estimator.
struct engine_speed_settings {
    /// Time after which an engine without observations counts as one of the common speed again, so
    /// that an engine which was avoided as slow is tried again.
    duration engine_memory = std::chrono::minutes(2);
    /// Most engines and services that are kept; further ones have the common speed or the prior.
    std::size_t max_engines = 4'096;
    std::size_t max_services = 256;
    /// Pauses are observed only while less prefill work is known at the engine, because a prefill
    /// prolongs them.
    std::uint64_t max_prefill_beside_pause = 2'000;
    linear_fit_settings fit{};
};

/// Estimates the speed of each engine. Without observations it returns the prior.
class engine_speed_estimator {
public:
    explicit engine_speed_estimator(const engine_speed& prior,
                                    const engine_speed_settings& settings = {});

    /// The first event of a stream arrived `elapsed` after the request was sent.
    void on_first_event(const service_id& service, const endpoint_id& engine,
                        const engine_load& load, duration elapsed, time_point now);
    /// An event of a stream arrived `pause` after the previous one. `requests` are all requests at
    /// the engine.
    void on_pause(const service_id& service, const endpoint_id& engine, std::uint32_t requests,
                  std::uint64_t prefill_work, duration pause, time_point now);
    /// A request ended `elapsed` after it was sent.
    void on_request_end(const service_id& service, duration elapsed, time_point now);

    /// Drops engines that were not observed recently.
    void drop_expired(time_point now);

    /// Returns the common speed of a service's engines.
    engine_speed common(const service_id& service) const;
    /// Returns the speed of an engine whose service has the common speed `common`.
    engine_speed of_engine(const endpoint_id& engine, const engine_speed& common) const;

    /// Returns the number of engines that are kept.
    std::size_t engines() const { return engines_.size(); }

private:
    // Overhead, prefill and slowdown by other requests.
    using first_event_fit = robust_linear_fit<3>;
    // Base and slowdown by other requests.
    using pause_fit = robust_linear_fit<2>;
    using factor_fit = robust_linear_fit<1>;

    struct service_state {
        first_event_fit first_events;
        pause_fit pauses;
        factor_fit request_times;
    };
    struct engine_state {
        factor_fit first_events;
        factor_fit pauses;
        time_point observed_at{};
    };

    first_event_fit::values features_of(const engine_load& load) const;
    pause_fit::values features_of(std::uint32_t requests) const;
    /// Returns the state, or null if there are too many.
    service_state* state_of(const service_id& service);
    engine_state* state_of(const endpoint_id& engine, time_point now);

    engine_speed prior_;
    engine_speed_settings settings_;
    std::unordered_map<service_id, service_state> services_;
    std::unordered_map<endpoint_id, engine_state> engines_;
};

}  // namespace radishpulley::routing
