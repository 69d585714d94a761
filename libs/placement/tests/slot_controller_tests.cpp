#include <boost/test/unit_test.hpp>

#include "placement/load_budget.h"
#include "placement/response_check.h"
#include "placement/slot_controller.h"

using namespace radishpulley;
using namespace radishpulley::placement;
using namespace std::chrono_literals;

namespace {

const time_point start_time(1h);
const endpoint_id engine("e1");
const vm_incarnation holder{vm_id("h"), 1};
const vm_incarnation old_holder{vm_id("old"), 1};
const vm_incarnation daemon_a{vm_id("a"), 1};
const vm_incarnation daemon_b{vm_id("b"), 1};
const adapter_ref red{adapter_id("red"), version_id("1")};
const adapter_ref red_next{adapter_id("red"), version_id("2")};
const adapter_ref blue{adapter_id("blue"), version_id("1")};

template <typename T>
std::vector<T> messages_of(const slot_controller_decisions& list) {
    std::vector<T> result;
    for (const slot_controller_decision& it : list) {
        if (const auto* to_daemon = std::get_if<send_to_daemon>(&it)) {
            if (const auto* body = std::get_if<T>(&to_daemon->body)) {
                result.push_back(*body);
            }
        }
        if (const auto* to_store = std::get_if<send_to_weight_store>(&it)) {
            if (const auto* body = std::get_if<T>(&to_store->body)) {
                result.push_back(*body);
            }
        }
    }
    return result;
}

std::vector<engine_order> orders_of(const slot_controller_decisions& list) {
    std::vector<engine_order> result;
    for (const slot_controller_decision& it : list) {
        if (const auto* order = std::get_if<send_engine_order>(&it)) {
            result.push_back(order->order);
        }
    }
    return result;
}

slot_controller_settings one_slot(bool checks_fencing = false) {
    slot_controller_settings result;
    result.slots = 1;
    result.checks_fencing = checks_fencing;
    // Loads need no permit in these tests, unless a test sets this to another value.
    result.guaranteed_loads_per_second = 1000;
    return result;
}

/// A controller and its messages. Each message of a daemon advances the time by 10 ms.
struct controller_fixture {
    explicit controller_fixture(slot_controller_settings settings = one_slot(),
                                controller_term term = {1, holder, {}, true})
        : controller(engine, settings, std::move(term), start_time) {
        now += 1s;
    }

    slot_controller_decisions report(std::vector<adapter_ref> loaded,
                                     const std::string& incarnation = "run-1") {
        engine_report it{engine, incarnation, ++sequence, 0, 0, {}};
        for (adapter_ref& adapter : loaded) {
            it.adapters.push_back({std::move(adapter), reported_state::loaded, 0});
        }
        return controller.on_report(it, now);
    }

    slot_controller_decisions request_pin(const adapter_ref& adapter,
                                          const vm_incarnation& who = daemon_a) {
        now += 10ms;
        pin_request it;
        it.daemon = who;
        it.endpoint = engine;
        it.adapter = adapter;
        it.number = ++number;
        it.waiting = 1;
        it.arrived = 1;
        it.weight = 1;
        return controller.on_pin_request(it, now);
    }

    slot_controller_decisions release(const adapter_ref& adapter,
                                      const vm_incarnation& who = daemon_a) {
        now += 10ms;
        return controller.on_pin_release({who, engine, adapter, ++number}, now);
    }

    slot_controller_decisions finish_order(const engine_order& order, order_outcome outcome,
                                           const std::string& incarnation = "run-1") {
        return controller.on_order_result({order, outcome, incarnation}, now);
    }

    slot_controller_decisions tick_after(duration wait) {
        now += wait;
        return controller.tick(now);
    }

    /// Loads `adapter` for daemon_a, which then holds its pin.
    void load(const adapter_ref& adapter) {
        const auto issued = orders_of(request_pin(adapter));
        BOOST_REQUIRE(issued.size() == 1U);
        finish_order(issued.front(), order_outcome::done);
        BOOST_REQUIRE(controller.is_loaded(adapter));
    }

    slot_controller controller;
    time_point now = start_time;
    std::uint64_t sequence = 0;
    message_number number = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_controller_suite)

BOOST_AUTO_TEST_CASE(pin_is_granted_only_after_the_engine_confirms_the_load) {
    controller_fixture it;
    it.report({});
    const auto out = it.request_pin(red);
    BOOST_TEST(messages_of<pin_grant>(out).empty());
    BOOST_REQUIRE(orders_of(out).size() == 1U);
    BOOST_TEST(messages_of<pin_grant>(it.tick_after(1s)).empty());
    const auto done = it.finish_order(orders_of(out).front(), order_outcome::done);
    BOOST_REQUIRE(messages_of<pin_grant>(done).size() == 1U);
    BOOST_TEST(messages_of<pin_grant>(done).front().number == 1U);
}

BOOST_AUTO_TEST_CASE(pinned_adapter_is_not_evicted_before_its_release) {
    controller_fixture it;
    it.report({});
    it.load(red);
    BOOST_TEST(orders_of(it.request_pin(blue, daemon_b)).empty());
    const auto out = it.release(red);
    BOOST_REQUIRE(orders_of(out).size() == 1U);
    BOOST_TEST((orders_of(out).front().kind == order_kind::evict));
}

BOOST_AUTO_TEST_CASE(pin_of_a_silent_daemon_ends_after_validity_and_longest_request) {
    controller_fixture it;
    it.report({});
    it.load(red);
    it.now += 130s;
    BOOST_TEST(orders_of(it.request_pin(blue, daemon_b)).empty());
    it.now += 2s;
    BOOST_TEST(orders_of(it.request_pin(blue, daemon_b)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(pin_of_a_dead_daemon_ends_when_the_engine_reports_no_activity) {
    controller_fixture it;
    it.report({});
    it.load(red);
    it.controller.on_daemon_ended(daemon_a, it.now);
    it.report({red});
    BOOST_TEST(it.controller.is_pinned(red, it.now));
    it.now += 16s;
    it.report({red});
    BOOST_TEST(!it.controller.is_pinned(red, it.now));
}

BOOST_AUTO_TEST_CASE(late_release_with_an_older_number_is_ignored) {
    controller_fixture it;
    it.report({});
    it.load(red);
    it.request_pin(red);
    it.controller.on_pin_release({daemon_a, engine, red, 1}, it.now);
    BOOST_TEST(it.controller.is_pinned(red, it.now));
}

BOOST_AUTO_TEST_CASE(versions_are_separate_adapters) {
    controller_fixture it;
    it.report({});
    it.load(red);
    BOOST_TEST(messages_of<pin_grant>(it.request_pin(red_next, daemon_b)).empty());
    BOOST_TEST(it.controller.is_loaded(red));
    BOOST_TEST(!it.controller.is_loaded(red_next));
}

BOOST_AUTO_TEST_CASE(pins_outlive_an_engine_restart) {
    controller_fixture it;
    it.report({});
    it.load(red);
    const auto out = it.report({}, "run-2");
    BOOST_TEST(!it.controller.is_loaded(red));
    BOOST_TEST(messages_of<pin_recall>(out).size() == 1U);
    BOOST_TEST(it.controller.is_pinned(red, it.now));
    // A late report of the previous process is ignored.
    it.report({red}, "run-1");
    BOOST_TEST(!it.controller.is_loaded(red));
}

BOOST_AUTO_TEST_CASE(order_in_flight_during_a_restart_delays_the_reload) {
    slot_controller_settings settings = one_slot();
    settings.prefetch_rate = 1000;
    controller_fixture it(settings);
    it.report({});
    it.load(red);
    it.release(red);
    BOOST_REQUIRE((orders_of(it.request_pin(blue)).front().kind == order_kind::evict));
    it.release(blue);
    // The eviction may have been sent to the new process and may arrive after a reload.
    it.sequence = 0;
    it.report({}, "run-2");
    BOOST_TEST(orders_of(it.request_pin(red)).empty());
    it.now += 10s;
    BOOST_TEST(orders_of(it.request_pin(red)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(failed_load_is_reported_and_retried_with_backoff) {
    controller_fixture it;
    it.report({});
    const auto issued = orders_of(it.request_pin(red));
    const auto out = it.finish_order(issued.front(), order_outcome::failed);
    BOOST_REQUIRE(messages_of<pin_refusal>(out).size() == 1U);
    BOOST_TEST((messages_of<pin_refusal>(out).front().reason == pin_refusal_reason::load_failed));
    BOOST_TEST(orders_of(it.request_pin(red)).empty());
    BOOST_TEST(orders_of(it.tick_after(1100ms)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(order_without_response_is_repeated_until_a_response_arrives) {
    controller_fixture it;
    it.report({});
    const auto first = orders_of(it.request_pin(red)).front();
    it.finish_order(first, order_outcome::unknown, "");
    it.report({red});
    BOOST_TEST(!it.controller.is_loaded(red));
    const auto retry = orders_of(it.tick_after(1s));
    BOOST_REQUIRE(retry.size() == 1U);
    BOOST_TEST(retry.front().fence > first.fence);
    // The late response to the first order is ignored; only that to the latest order counts.
    it.finish_order(first, order_outcome::failed);
    BOOST_TEST(!it.controller.is_loaded(red));
    it.finish_order(retry.front(), order_outcome::done);
    BOOST_TEST(it.controller.is_loaded(red));
}

BOOST_AUTO_TEST_CASE(late_eviction_cannot_hit_a_reload_without_fencing) {
    controller_fixture it;
    it.report({});
    it.load(red);
    it.release(red);
    const auto evict = orders_of(it.request_pin(blue)).front();
    it.finish_order(evict, order_outcome::unknown, "");
    const auto retry = orders_of(it.tick_after(1s)).front();
    BOOST_TEST((retry.kind == order_kind::evict));
    const auto next = orders_of(it.finish_order(retry, order_outcome::done)).front();
    it.finish_order(next, order_outcome::failed);
    it.release(blue);
    BOOST_TEST(orders_of(it.request_pin(red)).empty());
    it.now += 10s;
    BOOST_TEST(orders_of(it.request_pin(red)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(late_and_duplicate_reports_and_gaps_are_tolerated) {
    controller_fixture it;
    it.report({});
    it.load(red);
    // The report may predate the load.
    it.report({});
    BOOST_TEST(it.controller.is_loaded(red));
    engine_report old{engine, "run-1", 1, 0, 0, {{blue, reported_state::loaded, 0}}};
    it.controller.on_report(old, it.now);
    BOOST_TEST(!it.controller.is_loaded(blue));
    it.sequence += 7;
    it.now += 6s;
    const auto out = it.report({});
    BOOST_TEST(!it.controller.is_loaded(red));
    BOOST_TEST(messages_of<pin_recall>(out).size() == 1U);
}

BOOST_AUTO_TEST_CASE(new_holder_loads_at_once_and_evicts_only_after_old_pins_end) {
    slot_controller_settings settings = one_slot();
    settings.slots = 2;
    controller_fixture it(settings, {3, holder, {}, false});
    it.now += 5s;
    it.report({red});
    const auto load = orders_of(it.request_pin(blue));
    BOOST_REQUIRE(load.size() == 1U);
    it.finish_order(load.front(), order_outcome::done);
    it.release(blue);
    BOOST_TEST(orders_of(it.request_pin(red_next)).empty());
    it.now += 131s;
    const auto evict = orders_of(it.request_pin(red_next));
    BOOST_REQUIRE(evict.size() == 1U);
    BOOST_TEST((evict.front().kind == order_kind::evict));
}

BOOST_AUTO_TEST_CASE(new_holder_respects_only_the_pins_of_the_handover) {
    controller_fixture old;
    old.report({});
    old.load(red);
    const keeper_handoff body = old.controller.hand_off(old.now);
    BOOST_TEST(old.request_pin(red).empty());
    controller_fixture it(one_slot(), {3, holder, {}, false});
    it.controller.on_handoff(body, it.now);
    it.now += 5s;
    it.report({red});
    it.number = 100;
    BOOST_TEST(orders_of(it.request_pin(blue, daemon_b)).empty());
    BOOST_TEST(orders_of(it.release(red)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_eviction_while_a_suspected_holder_may_be_running) {
    slot_controller_settings settings = one_slot();
    controller_fixture it(settings, {2, holder, {old_holder}, false});
    it.now += 5s;
    it.report({red});
    it.now += 1h;
    BOOST_TEST(orders_of(it.request_pin(blue)).empty());
    it.controller.on_daemon_ended(old_holder, it.now);
    it.now += 130s;
    BOOST_TEST(orders_of(it.request_pin(blue)).empty());
    it.now += 2s;
    BOOST_TEST(orders_of(it.request_pin(blue)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(engine_with_fencing_must_receive_the_new_number_before_any_grant) {
    controller_fixture it(one_slot(true), {2, holder, {old_holder}, false});
    it.now += 5s;
    const auto first = orders_of(it.report({red}));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first.front().kind == order_kind::load));
    BOOST_TEST(messages_of<pin_grant>(it.request_pin(red)).empty());
    // The order may have failed before the engine checked the number.
    it.finish_order(first.front(), order_outcome::failed);
    const auto second = orders_of(it.report({red}));
    BOOST_REQUIRE(second.size() == 1U);
    it.finish_order(second.front(), order_outcome::done);
    it.now += 5s;
    BOOST_TEST(messages_of<pin_grant>(it.report({red})).size() == 1U);
}

BOOST_AUTO_TEST_CASE(fenced_holder_stops) {
    controller_fixture it(one_slot(true));
    it.report({});
    const auto issued = orders_of(it.request_pin(red));
    it.finish_order(issued.front(), order_outcome::fenced);
    BOOST_TEST(it.request_pin(red).empty());
    BOOST_TEST(it.tick_after(1min).empty());
}

BOOST_AUTO_TEST_CASE(adapter_in_constant_use_drains_without_aborting_requests) {
    controller_fixture it;
    it.report({});
    it.load(red);
    bool closed = false;
    for (int i = 0; i < 60 && !closed; ++i) {
        it.now += 1s;
        closed = !messages_of<pin_recall>(it.request_pin(red)).empty() ||
                 !messages_of<pin_recall>(it.request_pin(blue, daemon_b)).empty();
    }
    BOOST_TEST(closed);
    BOOST_TEST(messages_of<pin_grant>(it.request_pin(red)).empty());
    BOOST_TEST(it.controller.is_loaded(red));
    BOOST_TEST((orders_of(it.release(red)).front().kind == order_kind::evict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(load_budget_suite)

namespace {

permit_request load_request(const char* endpoint, std::vector<double> priorities,
                            message_number number = 1) {
    return {{vm_id(endpoint), 1}, endpoint_id(endpoint), number, std::move(priorities)};
}

}  // namespace

BOOST_AUTO_TEST_CASE(budget_starts_empty_after_the_permits_of_the_previous_holder) {
    load_budget budget({}, 4, start_time);
    budget.on_request(load_request("e1", {1}), start_time);
    BOOST_TEST(budget.grant(start_time + 2s).empty());
    BOOST_TEST(budget.grant(start_time + 3s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(budget_limits_the_rate_and_grants_the_highest_priority_first) {
    load_budget budget({}, 4, start_time);
    budget.on_request(load_request("e1", {1, 1, 1, 1, 1, 1, 1, 1}), start_time + 2s);
    budget.on_request(load_request("e2", {9}), start_time + 2s);
    std::vector<load_permit> all;
    for (duration age = 2s; age <= 4s; age += 100ms) {
        for (const load_permit& it : budget.grant(start_time + age)) {
            all.push_back(it);
            budget.on_done({it.holder, it.endpoint, it.permit, it.fence});
        }
    }
    BOOST_REQUIRE(all.size() == 3U);
    BOOST_TEST(all.front().endpoint == endpoint_id("e2"));
}

BOOST_AUTO_TEST_CASE(at_most_eight_loads_are_in_flight_and_unused_permits_return) {
    load_budget_settings settings;
    settings.burst = 100;
    load_budget budget(settings, 4, start_time);
    budget.on_request(load_request("e1", std::vector<double>(20, 1.0)), start_time + 2s);
    budget.grant(start_time + 2s);
    const auto first = budget.grant(start_time + 10s);
    BOOST_TEST(first.size() == 8U);
    budget.on_done({first.front().holder, endpoint_id("e1"), first.front().permit, 4, false});
    budget.on_done({first.front().holder, endpoint_id("e1"), first.front().permit, 4, false});
    BOOST_TEST(budget.grant(start_time + 10s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(permit_is_valid_once_in_time_and_under_the_current_holder) {
    slot_controller_settings settings = one_slot();
    settings.guaranteed_loads_per_second = 0;
    controller_fixture it(settings);
    it.report({});
    const auto asked = messages_of<permit_request>(it.request_pin(red));
    BOOST_REQUIRE(asked.size() == 1U);
    load_permit permit{engine, holder, asked.front().number, 1, 5, 2s};
    it.controller.on_weight_store_holder(6);
    BOOST_TEST(orders_of(it.controller.on_permit(permit, it.now)).empty());
    permit.fence = 6;
    permit.permit = 2;
    auto late = it.controller.on_permit(permit, it.now + 2s);
    BOOST_TEST(orders_of(late).empty());
    BOOST_TEST(!messages_of<permit_done>(late).front().used);
    permit.permit = 3;
    BOOST_TEST(orders_of(it.controller.on_permit(permit, it.now)).size() == 1U);
    BOOST_TEST(orders_of(it.controller.on_permit(permit, it.now)).empty());
}

BOOST_AUTO_TEST_CASE(engine_uses_its_guaranteed_loads_without_permits) {
    slot_controller_settings settings = one_slot();
    settings.guaranteed_loads_per_second = 0.05;
    controller_fixture it(settings);
    it.report({});
    BOOST_TEST(orders_of(it.request_pin(red)).empty());
    it.now += 10s;
    it.controller.tick(it.now);
    BOOST_TEST(orders_of(it.request_pin(red)).empty());
    it.now += 11s;
    BOOST_TEST(orders_of(it.request_pin(red)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(response_check_suite)

BOOST_AUTO_TEST_CASE(another_adapter_or_version_is_detected) {
    BOOST_TEST((check_response_model(red, "red@1") == response_verdict::confirmed));
    BOOST_TEST((check_response_model(red, "red@2") == response_verdict::wrong_adapter));
    BOOST_TEST((check_response_model(red, "blue@1") == response_verdict::wrong_adapter));
    BOOST_TEST((check_response_model(red, "red") == response_verdict::wrong_adapter));
    BOOST_TEST((check_response_model(red, "") == response_verdict::not_stated));
}

BOOST_AUTO_TEST_SUITE_END()
