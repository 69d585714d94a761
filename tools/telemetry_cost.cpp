/// Prints what one metric and one log event cost, in nanoseconds, on one thread.
#include <cstdio>
#include <string>

#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

using namespace radishpulley;
using namespace radishpulley::telemetry;

namespace {

constexpr int rounds = 1'000'000;

template <typename Operation>
void measure(const char* name, Operation operation) {
    const system_clock clock;
    const time_point begin = clock.now();
    for (int i = 0; i < rounds; ++i) {
        operation(i);
    }
    const auto elapsed = std::chrono::duration<double, std::nano>(clock.now() - begin);
    std::printf("%-32s %8.1f ns\n", name, elapsed.count() / rounds);
}

}  // namespace

int main() {
    registry metrics;
    auto& counters = metrics.add_counters("requests_total", "Requests.", {"account", "class"});
    auto& histograms = metrics.add_histograms("wait_seconds", "Waits.", {"account", "class"});
    counter& kept_counter = counters.with({"acme", "model"});
    histogram& kept_histogram = histograms.with({"acme", "model"});
    std::size_t length = 0;
    measure("counter, reference kept", [&](int) { kept_counter.add(); });
    measure("counter, by labels", [&](int) { counters.with({"acme", "model"}).add(); });
    measure("histogram, reference kept",
            [&](int i) { kept_histogram.record(std::chrono::microseconds(i % 1000)); });
    measure("histogram, by labels", [&](int i) {
        histograms.with({"acme", "model"}).record(std::chrono::microseconds(i % 1000));
    });
    measure("event of four fields, formatted", [&](int i) {
        length +=
            format_event("request_finished",
                         {{"request", "r-1"}, {"account", "acme"}, {"tokens", i}, {"ok", true}})
                .size();
    });
    return length == 0 ? 1 : 0;
}
