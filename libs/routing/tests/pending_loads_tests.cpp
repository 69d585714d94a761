// Load pattern: more adapters are requested at one engine than it has places for, for a while.
#include <boost/test/unit_test.hpp>

#include "routing/engine_controller.h"

namespace radishpulley::routing {
namespace {

using namespace std::chrono_literals;

const time_point start{std::chrono::hours(1)};

model_ref adapter(const std::string& name) {
    return {"m", name};
}

engine_capacity capacity(std::uint32_t places) {
    engine_capacity out;
    out.max_adapters = places;
    out.weights_mb = 1'000;
    out.models = {{"m", 500, 10, std::chrono::milliseconds(600)}};
    return out;
}

// An engine with one place, whose adapter is idle long enough to be replaced at any time.
struct contended_place {
    contended_place() : controller(endpoint_id("e"), capacity(1), load_times) {
        engine_report report;
        report.models = {{"m", 1, {}}};
        controller.on_report(report, now);
    }

    void request(const std::string& name, const load_applicant& by, duration max_wait = 30s) {
        controller.on_load_request(adapter(name), 0, now, max_wait, by);
    }

    // Gives the place to the next adapter, once the present one may be evicted, and returns its
    // name; empty if none waits.
    std::string give_place() {
        now += 1s;
        while (const auto order = controller.next_order(now)) {
            const bool is_load = order->kind == order_kind::load;
            controller.on_outcome(is_load ? order_outcome::accepted : order_outcome::already_holds,
                                  0, now);
            if (is_load) {
                return order->target.adapter;
            }
        }
        return "";
    }

    adapter_load_times load_times;
    time_point now = start;
    engine_controller controller;
};

load_applicant applicant(request_number number, int priority = 0) {
    return {vm_id("v"), number, {priority, 20s, 100ms, 0s}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pending_loads_tests)

// Guards against an adapter with one waiting request that gets the place before another with six.
BOOST_AUTO_TEST_CASE(one_request_for_an_adapter_and_then_six_of_two_vms_for_another) {
    contended_place engine;
    engine.request("one", applicant(1));
    for (request_number i = 2; i < 5; ++i) {
        engine.request("six", {vm_id("v"), i, {0, 20s, 100ms, 0s}});
        engine.request("six", {vm_id("w"), i, {0, 20s, 100ms, 0s}});
    }
    BOOST_TEST(engine.give_place() == "six");
    BOOST_TEST(engine.give_place() == "one");
}

BOOST_AUTO_TEST_CASE(three_requests_of_the_lowest_class_and_then_one_of_the_highest) {
    contended_place engine;
    for (request_number i = 1; i < 4; ++i) {
        engine.request("cheap", applicant(i, 2));
    }
    engine.request("valued", applicant(4, 0));
    BOOST_TEST(engine.give_place() == "valued");
}

// Guards against changes for deployments that state no priorities, and for older releases, which
// state no requests.
BOOST_AUTO_TEST_CASE(single_equal_requests_for_twenty_adapters_get_places_as_they_came) {
    for (const bool has_rank : {true, false}) {
        contended_place engine;
        for (int i = 0; i < 20; ++i) {
            engine.request(std::to_string(i), has_rank ? applicant(i + 1) : load_applicant{});
            engine.now += 3ms;
        }
        for (int i = 0; i < 20; ++i) {
            BOOST_TEST(engine.give_place() == std::to_string(i));
        }
    }
}

// Guards against a request that gains rank by asking again, as it does whenever a place becomes
// available later than predicted.
BOOST_AUTO_TEST_CASE(one_request_that_asks_ten_times_counts_once) {
    contended_place engine;
    engine.request("a", applicant(1));
    engine.now += 5ms;
    for (int i = 0; i < 10; ++i) {
        engine.request("b", applicant(2));
    }
    BOOST_TEST(engine.give_place() == "a");
}

BOOST_AUTO_TEST_CASE(a_request_that_asks_again_keeps_its_waiting_time) {
    contended_place engine;
    engine.request("a", applicant(1));
    engine.now += 5ms;
    engine.request("b", applicant(2));
    engine.now += 5ms;
    engine.request("a", applicant(1));
    BOOST_TEST(engine.give_place() == "a");
}

// Guards against a place for an adapter whose requests have all given up.
BOOST_AUTO_TEST_CASE(six_requests_that_gave_up_count_no_more) {
    contended_place engine;
    engine.request("stays", applicant(1));
    for (request_number i = 2; i < 8; ++i) {
        engine.request("leaves", applicant(i), 900ms);
    }
    BOOST_TEST(engine.give_place() == "stays");
    BOOST_TEST(engine.give_place().empty());
}

// Guards against a rarely used adapter that waits without a bound while an adapter with six fresh
// requests of the highest class arrives for each place.
BOOST_AUTO_TEST_CASE(a_stream_of_popular_adapters_and_one_rare_request_of_the_lowest_class) {
    contended_place engine;
    engine.request("rare", applicant(1, 9));
    request_number number = 1;
    int places = 0;
    for (bool is_served = false; !is_served && places < 50; ++places) {
        for (int i = 0; i < 6; ++i) {
            engine.request("popular-" + std::to_string(places), applicant(++number));
        }
        is_served = engine.give_place() == "rare";
    }
    // Its value doubles each 250 ms and has to exceed that of six requests, each worth 4^9 times as
    // much, which waited for one place of 1 s: (2 * 9 + log2(6)) * 250 ms + 1 s.
    BOOST_TEST(places <= 7);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
