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

// A controller that has received its engine's report.
struct fixture {
    explicit fixture(std::uint32_t places)
        : controller(endpoint_id("e"), capacity(places), load_times) {
        controller.on_report(report(0, {}), now);
    }

    // Loads an adapter and advances the clock until it is usable.
    void load(const std::string& name) {
        BOOST_REQUIRE(is_granted(controller.on_load_request(adapter(name), 0, now)));
        const auto order = controller.next_order(now);
        BOOST_REQUIRE(order.has_value());
        BOOST_REQUIRE((order->kind == order_kind::load));
        controller.on_outcome(order_outcome::accepted, 0, now);
        now += milliseconds(300);
    }

    // Loads an adapter that takes `actual`, with a request that asks for it again until it is
    // there. Returns how often the request was sent too early.
    int load_and_use(const std::string& name, duration actual) {
        BOOST_REQUIRE(is_granted(controller.on_load_request(adapter(name), 0, now)));
        BOOST_REQUIRE(controller.next_order(now).has_value());
        controller.on_outcome(order_outcome::accepted, 0, now);
        const time_point ordered_at = now;
        int early = 0;
        while (true) {
            now +=
                std::get<load_granted>(controller.on_load_request(adapter(name), 0, now)).ready_in;
            controller.on_use(adapter(name), now);
            if (now - ordered_at >= actual) {
                break;
            }
            ++early;
            controller.on_missing(adapter(name), now);
            if (controller.needs_report(now + milliseconds(300))) {
                now += milliseconds(300);
                controller.on_report(pending_report(name), now);
            }
        }
        now += seconds(1);
        controller.advance(now);
        return early;
    }

    // The engine's report while the adapter is loading.
    engine_report pending_report(const std::string& name) {
        engine_report out = report(++orders, {});
        out.pending = {{"m", 1, {{name, 1}}}};
        return out;
    }

    adapter_load_times load_times;
    engine_controller controller;
    time_point now = start;
    std::uint64_t orders = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_controller_tests)

BOOST_AUTO_TEST_CASE(no_order_is_sent_before_the_first_report) {
    adapter_load_times load_times;
    engine_controller it(endpoint_id("e"), capacity(2), load_times);
    BOOST_TEST(it.needs_report(start));
    BOOST_TEST(!it.next_order(start).has_value());
    it.on_report(report(7, {}), start);
    it.on_load_request(adapter("a"), 0, start);
    const auto order = it.next_order(start);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->expected_sequence == 7U);
}

BOOST_AUTO_TEST_CASE(orders_are_sent_one_at_a_time_with_increasing_sequences) {
    fixture f(4);
    f.controller.on_load_request(adapter("a"), 0, f.now);
    f.controller.on_load_request(adapter("b"), 0, f.now);
    BOOST_TEST(f.controller.next_order(f.now)->expected_sequence == 0U);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    BOOST_TEST(f.controller.next_order(f.now)->expected_sequence == 1U);
}

BOOST_AUTO_TEST_CASE(adapters_never_exceed_the_slots) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.now += seconds(5);
    BOOST_REQUIRE(is_granted(f.controller.on_load_request(adapter("c"), 0, f.now)));
    const auto unload = f.controller.next_order(f.now);
    BOOST_REQUIRE(unload.has_value());
    BOOST_TEST((unload->kind == order_kind::unload));
    // The engine evicts the adapter only after its requests end: the slot is still occupied.
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    f.now += milliseconds(400);
    BOOST_TEST(f.controller.needs_report(f.now));
    f.controller.on_report(report(3, {"a", "b"}), f.now);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    f.now += milliseconds(400);
    f.controller.on_report(report(3, {"b"}), f.now);
    const auto load = f.controller.next_order(f.now);
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST((load->kind == order_kind::load));
    BOOST_TEST(load->expected_sequence == 3U);
}

BOOST_AUTO_TEST_CASE(a_delayed_directory_entry_does_not_free_slots) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.now += seconds(8);
    endpoint old;
    old.id = endpoint_id("e");
    old.models = {{"m", 1, {{"x", 1}}}};
    f.controller.on_entry(old);
    f.controller.on_running(vm_id("v"), {adapter("a"), adapter("b")}, f.now);
    BOOST_TEST(!is_granted(f.controller.on_load_request(adapter("c"), 0, f.now)));
    BOOST_TEST(f.controller.adapter_count() == 2U);
}

BOOST_AUTO_TEST_CASE(an_adapter_in_use_is_not_evicted) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.now += seconds(3);
    f.controller.on_running(vm_id("v1"), {adapter("a")}, f.now);
    BOOST_REQUIRE(is_granted(f.controller.on_load_request(adapter("c"), 0, f.now)));
    const auto order = f.controller.next_order(f.now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->target.adapter == "b");
}

BOOST_AUTO_TEST_CASE(the_least_used_adapter_is_evicted) {
    fixture f(2);
    f.load("a");
    f.load("b");
    for (int i = 0; i < 5; ++i) {
        f.controller.on_use(adapter("a"), f.now);
    }
    f.controller.on_use(adapter("b"), f.now);
    f.now += seconds(2);
    f.controller.on_load_request(adapter("c"), 0, f.now);
    BOOST_TEST(f.controller.next_order(f.now)->target.adapter == "b");
}

BOOST_AUTO_TEST_CASE(an_unanswered_order_is_retried_with_the_same_sequence) {
    fixture f(2);
    f.controller.on_load_request(adapter("a"), 0, f.now);
    f.controller.next_order(f.now);
    f.controller.on_outcome(order_outcome::no_answer, 0, f.now);
    // The retry is delayed: an engine that refuses connections must not be called in a tight loop.
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    f.now += milliseconds(100);
    const auto again = f.controller.next_order(f.now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->expected_sequence == 0U);
}

BOOST_AUTO_TEST_CASE(a_conflict_is_resolved_by_a_report) {
    fixture f(2);
    f.controller.on_load_request(adapter("a"), 0, f.now);
    f.controller.next_order(f.now);
    f.controller.on_outcome(order_outcome::conflict, 0, f.now);
    f.now += milliseconds(350);
    BOOST_TEST(f.controller.needs_report(f.now));
    // The unanswered order had been carried out.
    f.controller.on_report(report(1, {"a"}), f.now);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    const auto response = f.controller.on_load_request(adapter("a"), 0, f.now);
    BOOST_REQUIRE(is_granted(response));
    BOOST_TEST((std::get<load_granted>(response).ready_in == duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_is_empty) {
    fixture f(2);
    f.load("a");
    endpoint restarted;
    restarted.id = endpoint_id("e");
    restarted.started_at_ms = 5;
    f.controller.on_entry(restarted);
    BOOST_TEST(f.controller.adapter_count() == 0U);
    BOOST_TEST(f.controller.needs_report(f.now));
}

BOOST_AUTO_TEST_CASE(a_missing_base_model_is_loaded) {
    adapter_load_times load_times;
    engine_controller it(endpoint_id("e"), capacity(2), load_times);
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

BOOST_AUTO_TEST_CASE(an_already_loaded_base_model_is_recorded) {
    adapter_load_times load_times;
    engine_controller it(endpoint_id("e"), capacity(2), load_times);
    it.on_report(engine_report{}, start);
    it.next_order(start);
    it.on_outcome(order_outcome::already_holds, 0, start);
    BOOST_TEST(is_granted(it.on_load_request(adapter("a"), 0, start)));
}

BOOST_AUTO_TEST_CASE(an_old_version_is_replaced_once_no_request_runs_on_it) {
    fixture f(2);
    f.load("a");
    f.now += seconds(1);
    f.controller.on_running(vm_id("v"), {adapter("a")}, f.now);
    f.controller.on_version(adapter("a"), 2);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    BOOST_TEST(!is_granted(f.controller.on_load_request(adapter("a"), 0, f.now)));
    f.now += milliseconds(200);
    f.controller.on_running(vm_id("v"), {}, f.now);
    const auto order = f.controller.next_order(f.now);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST(order->version == 2U);
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    f.now += seconds(1);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
}

// Guards against requests that are sent when the adapter should be there, several times in vain,
// because the engine loads more slowly than assumed.
BOOST_AUTO_TEST_CASE(slow_loads_are_waited_for) {
    fixture f(14);
    int early = 0;
    for (int i = 0; i < 10; ++i) {
        early += f.load_and_use("a" + std::to_string(i), milliseconds(900));
    }
    BOOST_TEST(early <= 7);
    BOOST_TEST(f.load_and_use("next", milliseconds(900)) == 0);
}

// Guards against loads in progress that keep their first expected time although others have shown
// that loads take longer.
BOOST_AUTO_TEST_CASE(a_late_load_postpones_the_others_in_progress) {
    fixture f(14);
    f.controller.on_load_request(adapter("a"), 0, f.now);
    f.controller.next_order(f.now);
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    f.now += milliseconds(100);
    f.controller.on_load_request(adapter("b"), 0, f.now);
    f.controller.next_order(f.now);
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    BOOST_TEST(f.controller.take_postponed(f.now).empty());
    f.now += milliseconds(160);
    f.controller.on_missing(adapter("a"), f.now);
    const auto postponed = f.controller.take_postponed(f.now);
    BOOST_REQUIRE(postponed.size() == 2U);
    BOOST_TEST((postponed[1].ready_in > milliseconds(160)));
    // What is left of a load tells other daemons nothing about the duration of loads.
    BOOST_TEST((postponed[1].load_time == duration::zero()));
    BOOST_TEST(f.controller.take_postponed(f.now).empty());
}

BOOST_AUTO_TEST_CASE(a_load_far_beyond_its_time_is_checked_by_a_report) {
    fixture f(14);
    f.controller.on_load_request(adapter("a"), 0, f.now);
    f.controller.next_order(f.now);
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    f.now += seconds(4);
    f.controller.on_missing(adapter("a"), f.now);
    BOOST_TEST(f.controller.needs_report(f.now));
}

// Guards against requests that move from engine to engine during a burst of rare adapters although
// one engine has free slots, because only four loads could queue there.
BOOST_AUTO_TEST_CASE(a_burst_of_rare_adapters_queues_with_accurate_wait_times) {
    fixture f(14);
    duration longest{};
    for (int i = 0; i < 12; ++i) {
        const auto response = f.controller.on_load_request(adapter(std::to_string(i)), 0, f.now);
        BOOST_REQUIRE(is_granted(response));
        const duration wait = std::get<load_granted>(response).ready_in;
        BOOST_TEST((wait >= longest));
        longest = wait;
    }
    // Four loads run at a time, so the last ones finish in the third round.
    BOOST_TEST((longest == f.load_times.fetched.expected(1) * 3));
}

// Guards against slots that stay occupied for most of a second after their last use, while adapters
// are requested in turn and each is used briefly.
BOOST_AUTO_TEST_CASE(a_slot_becomes_free_soon_after_its_last_use) {
    fixture f(1);
    f.load("a");
    f.controller.on_use(adapter("a"), f.now);
    f.controller.on_running(vm_id("v"), {adapter("a")}, f.now);
    f.now += milliseconds(400);
    f.controller.on_running(vm_id("v"), {}, f.now);
    BOOST_TEST(is_granted(f.controller.on_load_request(adapter("b"), 0, f.now)));
    BOOST_TEST((f.controller.next_order(f.now)->kind == order_kind::unload));
}

// Guards against blocking an engine's other loads for 0.3 s because a load that takes longer than
// expected triggers a report.
BOOST_AUTO_TEST_CASE(a_late_load_does_not_block_other_loads) {
    fixture f(4);
    f.load("a");
    f.controller.on_missing(adapter("a"), f.now);
    BOOST_TEST(!f.controller.needs_report(f.now + seconds(1)));
    const auto again = f.controller.on_load_request(adapter("a"), 0, f.now);
    BOOST_TEST((std::get<load_granted>(again).ready_in > duration::zero()));
    f.controller.on_load_request(adapter("b"), 0, f.now);
    BOOST_REQUIRE(f.controller.next_order(f.now).has_value());
}

// Guards against requests that are refused although a place becomes free within a fraction of their
// deadline.
BOOST_AUTO_TEST_CASE(a_load_waits_for_the_next_place) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.controller.on_use(adapter("a"), f.now);
    f.controller.on_use(adapter("b"), f.now);
    const auto response = f.controller.on_load_request(adapter("c"), 0, f.now, seconds(3));
    BOOST_REQUIRE(is_granted(response));
    const duration ready_in = std::get<load_granted>(response).ready_in;
    BOOST_TEST((ready_in >= f.load_times.fetched.expected(1) + milliseconds(250)));
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
    f.now += ready_in - f.load_times.fetched.expected(1);
    BOOST_TEST((f.controller.next_order(f.now)->kind == order_kind::unload));
}

BOOST_AUTO_TEST_CASE(a_load_that_ends_too_late_is_refused_with_its_time) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.controller.on_use(adapter("a"), f.now);
    f.controller.on_use(adapter("b"), f.now);
    const auto response = f.controller.on_load_request(adapter("c"), 0, f.now, milliseconds(300));
    BOOST_REQUIRE(!is_granted(response));
    BOOST_REQUIRE(std::get<load_refused>(response).ready_in.has_value());
    BOOST_TEST((*std::get<load_refused>(response).ready_in > milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(a_queued_load_is_dropped_when_its_last_request_has_given_up) {
    fixture f(2);
    f.load("a");
    f.load("b");
    f.controller.on_running(vm_id("v"), {adapter("a")}, f.now);
    f.controller.on_use(adapter("b"), f.now);
    BOOST_REQUIRE(is_granted(f.controller.on_load_request(adapter("c"), 0, f.now, seconds(1))));
    f.now += milliseconds(1'100);
    BOOST_TEST(!f.controller.next_order(f.now).has_value());
}

// Guards against a fast load being expected for an adapter whose cached copy is outdated.
BOOST_AUTO_TEST_CASE(a_new_version_is_fetched_although_the_old_one_is_cached) {
    fixture f(2);
    f.load("a");
    f.now += seconds(1);
    f.controller.on_version(adapter("a"), 2);
    BOOST_REQUIRE(f.controller.next_order(f.now).has_value());
    const auto change = f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->load_time > duration::zero()));
}

// Guards against taking a request that still ran on the old version for a load of a few
// milliseconds.
BOOST_AUTO_TEST_CASE(a_use_before_the_ready_time_says_nothing_about_the_load) {
    fixture f(2);
    f.load("a");
    f.now += seconds(1);
    f.controller.on_version(adapter("a"), 2);
    BOOST_REQUIRE(f.controller.next_order(f.now).has_value());
    f.controller.on_outcome(order_outcome::accepted, 0, f.now);
    const duration before = f.load_times.fetched.expected(1);
    f.now += milliseconds(8);
    f.controller.on_use(adapter("a"), f.now);
    f.now += seconds(1);
    f.controller.advance(f.now);
    BOOST_TEST((f.load_times.fetched.expected(1) == before));
}

BOOST_AUTO_TEST_CASE(a_request_that_crossed_an_unload_triggers_no_report) {
    fixture f(1);
    f.load("a");
    f.now += seconds(2);
    f.controller.on_load_request(adapter("b"), 0, f.now);
    f.controller.next_order(f.now);
    f.controller.on_outcome(order_outcome::already_holds, 0, f.now);
    f.controller.on_missing(adapter("a"), f.now);
    BOOST_TEST(!f.controller.needs_report(f.now + seconds(1)));
    BOOST_TEST((f.controller.next_order(f.now)->kind == order_kind::load));
}

BOOST_AUTO_TEST_CASE(an_adapter_missing_long_after_its_load_triggers_a_report) {
    fixture f(4);
    f.load("a");
    f.now += seconds(5);
    f.controller.on_missing(adapter("a"), f.now);
    BOOST_TEST(f.controller.needs_report(f.now));
}

BOOST_AUTO_TEST_CASE(refusals_state_the_reason) {
    fixture f(1);
    const auto unknown = f.controller.on_load_request({"other", "a"}, 0, f.now);
    BOOST_TEST((std::get<load_refused>(unknown).obstacle == load_obstacle::no_model));
    f.load("a");
    f.controller.on_running(vm_id("v"), {adapter("a")}, f.now);
    const auto full = f.controller.on_load_request(adapter("b"), 0, f.now);
    BOOST_TEST((std::get<load_refused>(full).obstacle == load_obstacle::places_in_use));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
