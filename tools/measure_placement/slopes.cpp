#include "slopes.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>

#include "placement/router.h"
#include "placement/slot_controller.h"

namespace radishpulley::measure {
namespace {

using namespace placement;
using real_clock = std::chrono::steady_clock;

constexpr time_point start = time_point(std::chrono::hours(1));

std::size_t heap_in_use() {
    return mallinfo2().uordblks;
}

adapter_ref ref_of(std::size_t n) {
    return {adapter_id("adapter-" + std::to_string(n)), version_id("version-1")};
}

endpoint_id engine_of(std::size_t n) {
    return endpoint_id("engine-" + std::to_string(n));
}

double per(std::size_t bytes, std::size_t n) {
    return static_cast<double>(bytes) / static_cast<double>(n);
}

std::unique_ptr<router> make_router(std::size_t engines) {
    auto result = std::make_unique<router>(vm_incarnation{vm_id("vm"), 1}, zone_id("z"),
                                           region_id("r"), router_settings{});
    std::vector<engine_info> infos;
    for (std::size_t i = 0; i < engines; ++i) {
        infos.push_back({engine_of(i), zone_id("z"), region_id("r"), 16, false});
    }
    result->configure(infos, start);
    for (std::size_t i = 0; i < engines; ++i) {
        result->on_holder(engine_of(i), {vm_id("h"), 1}, 1, start);
    }
    return result;
}

placement_request request_of(std::size_t n, std::size_t adapters) {
    placement_request it;
    it.id = request_id("request-" + std::to_string(n));
    it.account = client_account_id("account-" + std::to_string(n % 5));
    it.adapter = ref_of(n % adapters);
    return it;
}

void grant_all(router& routes, const router_decisions& list, time_point now) {
    for (const router_decision& it : list) {
        const auto* sent = std::get_if<send_to_holder>(&it);
        const auto* asked = sent == nullptr ? nullptr : std::get_if<pin_request>(&sent->body);
        if (asked != nullptr) {
            routes.on_message(pin_grant{asked->endpoint,
                                        asked->adapter,
                                        asked->daemon,
                                        asked->number,
                                        1,
                                        std::chrono::seconds(10),
                                        1000,
                                        {}},
                              now);
        }
    }
}

void print_router(std::size_t engines) {
    constexpr std::size_t adapters = 1000;
    constexpr std::size_t requests = 20000;
    const std::size_t before = heap_in_use();
    const auto routes = make_router(engines);
    const std::size_t with_engines = heap_in_use();
    for (std::size_t i = 0; i < adapters; ++i) {
        const placement_request it = request_of(i, adapters);
        grant_all(*routes, routes->on_request(it, start), start);
        routes->on_request_ended(it.id, start);
    }
    const std::size_t with_pins = heap_in_use();
    const auto began = real_clock::now();
    for (std::size_t i = 0; i < requests; ++i) {
        const placement_request it = request_of(i, adapters);
        routes->on_request(it, start);
        routes->on_request_ended(it.id, start);
    }
    const auto spent = real_clock::now() - began;
    const auto tick_began = real_clock::now();
    routes->tick(start + std::chrono::seconds(1));
    const auto tick_spent = real_clock::now() - tick_began;
    std::printf(
        "router, %4zu engines: %8.0f ns a decision, %6.0f ns a pin and tick, "
        "%6.0f bytes an engine, %6.0f bytes a pin\n",
        engines, per(static_cast<std::size_t>(spent.count()), requests),
        per(static_cast<std::size_t>(tick_spent.count()), routes->pin_count()),
        per(with_engines - before, engines), per(with_pins - with_engines, routes->pin_count()));
}

void print_keeper() {
    constexpr std::size_t daemons = 380;
    constexpr std::size_t adapters = 24;
    slot_controller_settings settings;
    settings.slots = adapters;
    const std::size_t before = heap_in_use();
    slot_controller keeper(engine_of(0), settings, {1, {vm_id("h"), 1}, {}, true}, start);
    engine_report report{engine_of(0), "run-1", 1, 0, 0, {}};
    for (std::size_t i = 0; i < adapters; ++i) {
        report.adapters.push_back({ref_of(i), reported_state::loaded, 0});
    }
    keeper.on_report(report, start);
    const std::size_t with_adapters = heap_in_use();
    const auto began = real_clock::now();
    message_number number = 0;
    for (std::size_t n = 0; n < daemons; ++n) {
        for (std::size_t i = 0; i < adapters; ++i) {
            pin_request it;
            it.daemon = {vm_id("vm-" + std::to_string(n)), 1};
            it.endpoint = engine_of(0);
            it.adapter = ref_of(i);
            it.number = ++number;
            it.waiting = 1;
            it.arrived = 1;
            keeper.on_pin_request(it, start);
        }
    }
    const auto spent = real_clock::now() - began;
    const std::size_t pins = daemons * adapters;
    std::printf("keeper: %8.0f ns a pin request, %6.0f bytes an adapter, %6.0f bytes a pin\n",
                per(static_cast<std::size_t>(spent.count()), pins),
                per(with_adapters - before, adapters), per(heap_in_use() - with_adapters, pins));
}

}  // namespace

void print_slopes() {
    std::printf("\nslopes\n");
    print_router(9);
    print_router(600);
    print_keeper();
}

}  // namespace radishpulley::measure
