#include <boost/test/unit_test.hpp>

#include "routing/engine_controller.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};

engine_capacity capacity(std::uint32_t places) {
    engine_capacity out;
    out.max_adapters = places;
    out.weights_mb = 1'000;
    out.models = {{"m", 500, 10, milliseconds(600)}};
    return out;
}

model_ref adapter(const std::string& name) {
    return {"m", name};
}

engine_report report(std::uint64_t sequence, const std::vector<std::string>& adapters,
                     std::int64_t started_at_ms = 0) {
    engine_report out;
    out.order_sequence = sequence;
    out.started_at_ms = started_at_ms;
    held_model model{"m", 1, {}};
    for (const std::string& it : adapters) {
        model.adapters.push_back({it, 1});
    }
    out.models = {model};
    return out;
}

bool is_granted(const load_response& it) {
    return std::holds_alternative<load_granted>(it);
}

// A keeper that has read its engine's state.
struct fixture {
    explicit fixture(std::uint32_t places) : keeper(endpoint_id("e"), capacity(places)) {
        keeper.on_report(report(0, {}), now);
    }

    // Loads an adapter and waits until it is there.
    void load(const std::string& name) {
        BOOST_REQUIRE(is_granted(keeper.on_load_request(adapter(name), 0, now)));
        const auto order = keeper.next_order(now);
        BOOST_REQUIRE(order.has_value());
        BOOST_REQUIRE((order->kind == order_kind::load));
        keeper.on_outcome(order_outcome::accepted, 0, now);
        now += milliseconds(300);
    }

    engine_controller keeper;
    time_point now = start;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_keeper_tests)

BOOST_AUTO_TEST_CASE(no_order_before_the_engine_said_what_it_holds) {
    engine_controller it(endpoint_id("e"), capacity(2));
    BOOST_TEST(it.needs_report(start));
    BOOST_TEST(!it.next_order(start).has_value());
    it.on_report(report(7, {}), start);
    it.on_load_request(adapter("a"), 0, start);
    const auto order = it.next_order(start);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->expected_sequence == 7U);
}

BOOST_AUTO_TEST_CASE(orders_go_out_one_at_a_time_each_with_the_next_sequence) {
    fixture f(4);
    f.keeper.on_load_request(adapter("a"), 0, f.now);
    f.keeper.on_load_request(adapter("b"), 0, f.now);
    BOOST_TEST(f.keeper.next_order(f.now)->expected_sequence == 0U);
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
    f.keeper.on_outcome(order_outcome::accepted, 0, f.now);
    BOOST_TEST(f.keeper.next_order(f.now)->expected_sequence == 1U);
}

BOOST_AUTO_TEST_CASE(never_more_adapters_than_places) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.now += seconds(5);
    BOOST_REQUIRE(is_granted(f.keeper.on_load_request(adapter("c"), 0, f.now)));
    const auto unload = f.keeper.next_order(f.now);
    BOOST_REQUIRE(unload.has_value());
    BOOST_TEST((unload->kind == order_kind::unload));
    // The engine waits for requests: the place is still taken.
    f.keeper.on_outcome(order_outcome::accepted, 0, f.now);
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
    f.now += milliseconds(400);
    BOOST_TEST(f.keeper.needs_report(f.now));
    f.keeper.on_report(report(3, {"a", "b"}), f.now);
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
    f.now += milliseconds(400);
    f.keeper.on_report(report(3, {"b"}), f.now);
    const auto load = f.keeper.next_order(f.now);
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST((load->kind == order_kind::load));
    BOOST_TEST(load->expected_sequence == 3U);
}

BOOST_AUTO_TEST_CASE(a_late_directory_entry_does_not_free_places) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.now += seconds(8);
    endpoint old;
    old.id = endpoint_id("e");
    old.models = {{"m", 1, {{"x", 1}}}};
    f.keeper.on_entry(old);
    f.keeper.on_running(vm_id("v"), {adapter("a"), adapter("b")}, f.now);
    BOOST_TEST(!is_granted(f.keeper.on_load_request(adapter("c"), 0, f.now)));
    BOOST_TEST(f.keeper.adapter_count() == 2U);
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_not_evicted) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.now += seconds(3);
    f.keeper.on_running(vm_id("v1"), {adapter("a")}, f.now);
    BOOST_REQUIRE(is_granted(f.keeper.on_load_request(adapter("c"), 0, f.now)));
    const auto order = f.keeper.next_order(f.now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->target.adapter == "b");
}

BOOST_AUTO_TEST_CASE(the_least_used_adapter_makes_way) {
    fixture f(2);
    f.load("a");
    f.load("b");
    for (int i = 0; i < 5; ++i) {
        f.keeper.on_use(adapter("a"), f.now);
    }
    f.keeper.on_use(adapter("b"), f.now);
    f.now += seconds(2);
    f.keeper.on_load_request(adapter("c"), 0, f.now);
    BOOST_TEST(f.keeper.next_order(f.now)->target.adapter == "b");
}

BOOST_AUTO_TEST_CASE(an_order_without_an_answer_is_given_again_under_the_same_sequence) {
    fixture f(2);
    f.keeper.on_load_request(adapter("a"), 0, f.now);
    f.keeper.next_order(f.now);
    f.keeper.on_outcome(order_outcome::no_answer, 0, f.now);
    // Not at once: an engine that refuses connections must not be asked in a loop.
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
    f.now += milliseconds(100);
    const auto again = f.keeper.next_order(f.now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->expected_sequence == 0U);
}

BOOST_AUTO_TEST_CASE(a_conflict_is_settled_by_a_report) {
    fixture f(2);
    f.keeper.on_load_request(adapter("a"), 0, f.now);
    f.keeper.next_order(f.now);
    f.keeper.on_outcome(order_outcome::conflict, 0, f.now);
    f.now += milliseconds(350);
    BOOST_TEST(f.keeper.needs_report(f.now));
    // The lost order had been carried out.
    f.keeper.on_report(report(1, {"a"}), f.now);
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
    const auto answer = f.keeper.on_load_request(adapter("a"), 0, f.now);
    BOOST_REQUIRE(is_granted(answer));
    BOOST_TEST((std::get<load_granted>(answer).ready_in == duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_is_empty) {
    fixture f(2);
    f.load("a");
    endpoint restarted;
    restarted.id = endpoint_id("e");
    restarted.started_at_ms = 5;
    f.keeper.on_entry(restarted);
    BOOST_TEST(f.keeper.adapter_count() == 0U);
    BOOST_TEST(f.keeper.needs_report(f.now));
}

BOOST_AUTO_TEST_CASE(a_missing_base_model_is_loaded_and_then_known) {
    engine_controller it(endpoint_id("e"), capacity(2));
    engine_report empty;
    it.on_report(empty, start);
    const auto order = it.next_order(start);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->target.adapter.empty());
    it.on_outcome(order_outcome::accepted, 0, start);
    BOOST_TEST(!it.needs_report(start + milliseconds(500)));
    const time_point later = start + milliseconds(1'000);
    BOOST_TEST(it.needs_report(later));
    it.on_report(report(1, {}), later);
    BOOST_TEST(is_granted(it.on_load_request(adapter("a"), 0, later)));
}

BOOST_AUTO_TEST_CASE(a_base_model_that_is_there_already_is_known) {
    engine_controller it(endpoint_id("e"), capacity(2));
    it.on_report(engine_report{}, start);
    it.next_order(start);
    it.on_outcome(order_outcome::already_holds, 0, start);
    BOOST_TEST(is_granted(it.on_load_request(adapter("a"), 0, start)));
}

BOOST_AUTO_TEST_CASE(a_replaced_version_waits_until_nothing_runs_on_it) {
    fixture f(2);
    f.load("a");
    f.now += seconds(1);
    f.keeper.on_running(vm_id("v"), {adapter("a")}, f.now);
    f.keeper.on_version(adapter("a"), 2);
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
    BOOST_TEST(!is_granted(f.keeper.on_load_request(adapter("a"), 0, f.now)));
    f.now += milliseconds(200);
    f.keeper.on_running(vm_id("v"), {}, f.now);
    const auto order = f.keeper.next_order(f.now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->version == 2U);
    f.keeper.on_outcome(order_outcome::accepted, 0, f.now);
    f.now += seconds(1);
    BOOST_TEST(!f.keeper.next_order(f.now).has_value());
}

BOOST_AUTO_TEST_CASE(loads_take_longer_while_the_fleet_loads_much) {
    fixture f(4);
    const auto calm = std::get<load_granted>(f.keeper.on_load_request(adapter("a"), 0, f.now)).ready_in;
    const auto busy = std::get<load_granted>(f.keeper.on_load_request(adapter("a"), 31, f.now)).ready_in;
    BOOST_TEST((busy >= calm * 3));
}

// Ninety engines that load at once: slow loads must not make the estimate of the next ones grow for
// ever.
BOOST_AUTO_TEST_CASE(the_estimate_of_a_load_is_bounded) {
    fixture f(4);
    const auto saturated =
        std::get<load_granted>(f.keeper.on_load_request(adapter("a"), 2'000, f.now)).ready_in;
    BOOST_TEST((saturated <= milliseconds(1'000)));
}

// Rare adapters asked for all at once at an engine with free places: each request went from engine
// to engine, because only four could wait at one.
BOOST_AUTO_TEST_CASE(rare_adapters_asked_for_at_once_wait_in_one_queue_with_a_true_time) {
    fixture f(14);
    duration longest{};
    for (int i = 0; i < 12; ++i) {
        const auto answer = f.keeper.on_load_request(adapter(std::to_string(i)), 0, f.now);
        BOOST_REQUIRE(is_granted(answer));
        const duration wait = std::get<load_granted>(answer).ready_in;
        BOOST_TEST((wait >= longest));
        longest = wait;
    }
    // Four at a time, so three rounds.
    BOOST_TEST((longest == milliseconds(265) * 3));
}

// Adapters asked for in turn, each used for a moment: a place whose use has just ended goes to the
// next one instead of staying taken for most of a second.
BOOST_AUTO_TEST_CASE(a_place_is_free_soon_after_its_last_use) {
    fixture f(1);
    f.load("a");
    f.keeper.on_use(adapter("a"), f.now);
    f.keeper.on_running(vm_id("v"), {adapter("a")}, f.now);
    f.now += milliseconds(400);
    f.keeper.on_running(vm_id("v"), {}, f.now);
    BOOST_TEST(is_granted(f.keeper.on_load_request(adapter("b"), 0, f.now)));
    BOOST_TEST((f.keeper.next_order(f.now)->kind == order_kind::unload));
}

// A load that lasts longer than expected: the engine was asked for a report, and meanwhile no other
// adapter was loaded there for 0.3 s.
BOOST_AUTO_TEST_CASE(a_late_load_does_not_hold_up_the_others) {
    fixture f(4);
    f.load("a");
    f.keeper.on_missing(adapter("a"), f.now);
    BOOST_TEST(!f.keeper.needs_report(f.now + seconds(1)));
    const auto again = f.keeper.on_load_request(adapter("a"), 0, f.now);
    BOOST_TEST((std::get<load_granted>(again).ready_in > duration::zero()));
    f.keeper.on_load_request(adapter("b"), 0, f.now);
    BOOST_REQUIRE(f.keeper.next_order(f.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_crossed_an_unload_is_no_doubt) {
    fixture f(1);
    f.load("a");
    f.now += seconds(2);
    f.keeper.on_load_request(adapter("b"), 0, f.now);
    f.keeper.next_order(f.now);
    f.keeper.on_outcome(order_outcome::already_holds, 0, f.now);
    f.keeper.on_missing(adapter("a"), f.now);
    BOOST_TEST(!f.keeper.needs_report(f.now + seconds(1)));
    BOOST_TEST((f.keeper.next_order(f.now)->kind == order_kind::load));
}

BOOST_AUTO_TEST_CASE(an_adapter_missing_long_after_its_load_is_looked_into) {
    fixture f(4);
    f.load("a");
    f.now += seconds(5);
    f.keeper.on_missing(adapter("a"), f.now);
    BOOST_TEST(f.keeper.needs_report(f.now));
}

BOOST_AUTO_TEST_CASE(refusals_say_why) {
    fixture f(1);
    const auto unknown = f.keeper.on_load_request({"other", "a"}, 0, f.now);
    BOOST_TEST((std::get<load_refused>(unknown).obstacle == load_obstacle::no_model));
    f.load("a");
    f.keeper.on_running(vm_id("v"), {adapter("a")}, f.now);
    const auto full = f.keeper.on_load_request(adapter("b"), 0, f.now);
    BOOST_TEST((std::get<load_refused>(full).obstacle == load_obstacle::places_in_use));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
