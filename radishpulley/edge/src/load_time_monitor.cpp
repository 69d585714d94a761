#include "edge/load_time_monitor.h"

#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

using telemetry::severity;

// Ratio of two estimates from which the change is logged.
constexpr double logged_ratio = 1.5;

bool differs_notably(duration a, duration b) {
    return a > b * logged_ratio || b > a * logged_ratio;
}

}  // namespace

load_time_monitor::load_time_monitor(telemetry::registry& metrics)
    : load_seconds_(metrics.add_gauges("adapter_load_seconds",
                                       "Expected time of a load that starts now.", {"source"})),
      fleet_loads_(metrics.add_gauges("adapters_loading", "Adapters that load at all engines.", {})
                       .with({})) {}

void load_time_monitor::update(const routing::adapter_load_times& times, std::size_t fleet_loads) {
    fleet_loads_.set(static_cast<double>(fleet_loads));
    update(fetched_, times.fetched, fleet_loads + 1);
    update(cached_, times.cached, fleet_loads + 1);
}

void load_time_monitor::update(followed& it, const routing::load_time_estimator& times,
                               std::size_t loads) {
    const duration expected = times.expected(loads);
    load_seconds_.with({it.source}).set(std::chrono::duration<double>(expected).count());
    if (differs_notably(expected, it.logged)) {
        telemetry::log_event(severity::info, "load_time_changed",
                             {{"source", it.source},
                              {"loads", loads},
                              {"before", it.logged},
                              {"expected", expected}});
        it.logged = expected;
    }
    if (times.ignored() != it.ignored) {
        it.ignored = times.ignored();
        telemetry::log_event(severity::warning, "load_time_ignored",
                             {{"source", it.source}, {"observations", it.ignored}});
    }
}

}  // namespace radishpulley::edge
