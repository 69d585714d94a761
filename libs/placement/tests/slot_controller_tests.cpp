#include <boost/test/unit_test.hpp>

#include "placement/response_check.h"
#include "placement/load_budget.h"
#include "placement/slot_controller.h"

using namespace radishpulley;
using namespace radishpulley::placement;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);
const endpoint_id engine("e1");
const vm_incarnation holder{vm_id("h"), 1};
const vm_incarnation old_holder{vm_id("old"), 1};
const vm_incarnation daemon_a{vm_id("a"), 1};
const vm_incarnation daemon_b{vm_id("b"), 1};
const adapter_ref red{adapter_id("red"), version_id("1")};
const adapter_ref red_next{adapter_id("red"), version_id("2")};
const adapter_ref blue{adapter_id("blue"), version_id("1")};

template <typename T>
std::vector<T> bodies(const slot_controller_decisions& list) {
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

std::vector<engine_order> orders(const slot_controller_decisions& list) {
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
    // Loads need no permit in these tests but where they say so.
    result.guaranteed_loads_per_second = 1000;
    return result;
}

/// A keeper and its messages; time moves by 10 ms with each message of a daemon.
struct bench {
    explicit bench(slot_controller_settings settings = one_slot(), controller_term term = {1, holder, {}, true})
        : keeper(engine, settings, std::move(term), start) {
        now += 1s;
    }

    slot_controller_decisions report(std::vector<adapter_ref> loaded, const std::string& run = "run-1") {
        engine_report it{engine, run, ++sequence, 0, 0, {}};
        for (adapter_ref& adapter : loaded) {
            it.adapters.push_back({std::move(adapter), reported_state::loaded, 0});
        }
        return keeper.on_report(it, now);
    }

    slot_controller_decisions ask(const adapter_ref& adapter, const vm_incarnation& who = daemon_a) {
        now += 10ms;
        pin_request it;
        it.daemon = who;
        it.endpoint = engine;
        it.adapter = adapter;
        it.number = ++number;
        it.waiting = 1;
        it.arrived = 1;
        it.weight = 1;
        return keeper.on_pin_request(it, now);
    }

    slot_controller_decisions release(const adapter_ref& adapter, const vm_incarnation& who = daemon_a) {
        now += 10ms;
        return keeper.on_pin_release({who, engine, adapter, ++number}, now);
    }

    slot_controller_decisions answer(const engine_order& order, order_outcome how,
                            const std::string& run = "run-1") {
        return keeper.on_order_result({order, how, run}, now);
    }

    slot_controller_decisions after(duration wait) {
        now += wait;
        return keeper.tick(now);
    }

    /// Loads `adapter` on behalf of daemon a, which then holds its pin.
    void load(const adapter_ref& adapter) {
        const auto given = orders(ask(adapter));
        BOOST_REQUIRE(given.size() == 1U);
        answer(given.front(), order_outcome::done);
        BOOST_REQUIRE(keeper.is_loaded(adapter));
    }

    slot_controller keeper;
    time_point now = start;
    std::uint64_t sequence = 0;
    message_number number = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_keeper_suite)

BOOST_AUTO_TEST_CASE(grants_only_what_the_engine_confirmed_as_loaded) {
    bench it;
    it.report({});
    const auto out = it.ask(red);
    BOOST_TEST(bodies<pin_grant>(out).empty());
    BOOST_REQUIRE(orders(out).size() == 1U);
    BOOST_TEST(bodies<pin_grant>(it.after(1s)).empty());
    const auto done = it.answer(orders(out).front(), order_outcome::done);
    BOOST_REQUIRE(bodies<pin_grant>(done).size() == 1U);
    BOOST_TEST(bodies<pin_grant>(done).front().number == 1U);
}

BOOST_AUTO_TEST_CASE(pinned_adapter_is_not_evicted_until_its_daemon_releases_it) {
    bench it;
    it.report({});
    it.load(red);
    BOOST_TEST(orders(it.ask(blue, daemon_b)).empty());
    const auto out = it.release(red);
    BOOST_REQUIRE(orders(out).size() == 1U);
    BOOST_TEST((orders(out).front().kind == order_kind::evict));
}

BOOST_AUTO_TEST_CASE(silent_daemons_pin_ends_after_validity_and_longest_request) {
    bench it;
    it.report({});
    it.load(red);
    it.now += 130s;
    BOOST_TEST(orders(it.ask(blue, daemon_b)).empty());
    it.now += 2s;
    BOOST_TEST(orders(it.ask(blue, daemon_b)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(dead_daemons_pin_ends_when_the_engine_reports_none_active) {
    bench it;
    it.report({});
    it.load(red);
    it.keeper.on_daemon_ended(daemon_a, it.now);
    it.report({red});
    BOOST_TEST(it.keeper.is_pinned(red, it.now));
    it.now += 16s;
    it.report({red});
    BOOST_TEST(!it.keeper.is_pinned(red, it.now));
}

BOOST_AUTO_TEST_CASE(late_release_of_an_older_message_ends_nothing) {
    bench it;
    it.report({});
    it.load(red);
    it.ask(red);
    it.keeper.on_pin_release({daemon_a, engine, red, 1}, it.now);
    BOOST_TEST(it.keeper.is_pinned(red, it.now));
}

BOOST_AUTO_TEST_CASE(new_version_is_another_adapter) {
    bench it;
    it.report({});
    it.load(red);
    BOOST_TEST(bodies<pin_grant>(it.ask(red_next, daemon_b)).empty());
    BOOST_TEST(it.keeper.is_loaded(red));
    BOOST_TEST(!it.keeper.is_loaded(red_next));
}

BOOST_AUTO_TEST_CASE(restarted_engine_is_empty_and_pins_on_it_survive) {
    bench it;
    it.report({});
    it.load(red);
    const auto out = it.report({}, "run-2");
    BOOST_TEST(!it.keeper.is_loaded(red));
    BOOST_TEST(bodies<pin_recall>(out).size() == 1U);
    BOOST_TEST(it.keeper.is_pinned(red, it.now));
    // A late report of the process before changes nothing.
    it.report({red}, "run-1");
    BOOST_TEST(!it.keeper.is_loaded(red));
}

BOOST_AUTO_TEST_CASE(order_under_way_over_a_restart_delays_the_reload) {
    slot_controller_settings settings = one_slot();
    settings.prefetch_rate = 1000;
    bench it(settings);
    it.report({});
    it.load(red);
    it.release(red);
    BOOST_REQUIRE((orders(it.ask(blue)).front().kind == order_kind::evict));
    it.release(blue);
    // The eviction may have been sent to the new process and arrive after a reload.
    it.sequence = 0;
    it.report({}, "run-2");
    BOOST_TEST(orders(it.ask(red)).empty());
    it.now += 10s;
    BOOST_TEST(orders(it.ask(red)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(failed_load_is_told_and_tried_again_later) {
    bench it;
    it.report({});
    const auto given = orders(it.ask(red));
    const auto out = it.answer(given.front(), order_outcome::failed);
    BOOST_REQUIRE(bodies<pin_refusal>(out).size() == 1U);
    BOOST_TEST((bodies<pin_refusal>(out).front().reason == pin_refusal_reason::load_failed));
    BOOST_TEST(orders(it.ask(red)).empty());
    BOOST_TEST(orders(it.after(1100ms)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(lost_answer_leaves_the_state_open_until_a_repeat_is_answered) {
    bench it;
    it.report({});
    const auto first = orders(it.ask(red)).front();
    it.answer(first, order_outcome::unknown, "");
    it.report({red});
    BOOST_TEST(!it.keeper.is_loaded(red));
    const auto again = orders(it.after(1s));
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.front().fence > first.fence);
    // The answer to the first order comes after all; only the last one's counts.
    it.answer(first, order_outcome::failed);
    BOOST_TEST(!it.keeper.is_loaded(red));
    it.answer(again.front(), order_outcome::done);
    BOOST_TEST(it.keeper.is_loaded(red));
}

BOOST_AUTO_TEST_CASE(late_eviction_cannot_meet_a_reload_on_an_unchecked_engine) {
    bench it;
    it.report({});
    it.load(red);
    it.release(red);
    const auto evict = orders(it.ask(blue)).front();
    it.answer(evict, order_outcome::unknown, "");
    const auto again = orders(it.after(1s)).front();
    BOOST_TEST((again.kind == order_kind::evict));
    const auto next = orders(it.answer(again, order_outcome::done)).front();
    it.answer(next, order_outcome::failed);
    it.release(blue);
    BOOST_TEST(orders(it.ask(red)).empty());
    it.now += 10s;
    BOOST_TEST(orders(it.ask(red)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(reports_late_doubled_and_with_gaps_change_nothing_wrongly) {
    bench it;
    it.report({});
    it.load(red);
    // From before the load.
    it.report({});
    BOOST_TEST(it.keeper.is_loaded(red));
    engine_report old{engine, "run-1", 1, 0, 0, {{blue, reported_state::loaded, 0}}};
    it.keeper.on_report(old, it.now);
    BOOST_TEST(!it.keeper.is_loaded(blue));
    it.sequence += 7;
    it.now += 6s;
    const auto out = it.report({});
    BOOST_TEST(!it.keeper.is_loaded(red));
    BOOST_TEST(bodies<pin_recall>(out).size() == 1U);
}

BOOST_AUTO_TEST_CASE(new_holder_loads_at_once_and_evicts_only_after_old_pins) {
    slot_controller_settings settings = one_slot();
    settings.slots = 2;
    bench it(settings, {3, holder, {}, false});
    it.now += 5s;
    it.report({red});
    const auto load = orders(it.ask(blue));
    BOOST_REQUIRE(load.size() == 1U);
    it.answer(load.front(), order_outcome::done);
    it.release(blue);
    BOOST_TEST(orders(it.ask(red_next)).empty());
    it.now += 131s;
    const auto evict = orders(it.ask(red_next));
    BOOST_REQUIRE(evict.size() == 1U);
    BOOST_TEST((evict.front().kind == order_kind::evict));
}

BOOST_AUTO_TEST_CASE(handed_over_pins_bind_the_new_holder_and_nothing_else_does) {
    bench old;
    old.report({});
    old.load(red);
    const keeper_handoff body = old.keeper.hand_off(old.now);
    BOOST_TEST(old.ask(red).empty());
    bench it(one_slot(), {3, holder, {}, false});
    it.keeper.on_handoff(body, it.now);
    it.now += 5s;
    it.report({red});
    it.number = 100;
    BOOST_TEST(orders(it.ask(blue, daemon_b)).empty());
    BOOST_TEST(orders(it.release(red)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(suspects_forbid_evictions_until_their_end_is_certain) {
    slot_controller_settings settings = one_slot();
    bench it(settings, {2, holder, {old_holder}, false});
    it.now += 5s;
    it.report({red});
    it.now += 1h;
    BOOST_TEST(orders(it.ask(blue)).empty());
    it.keeper.on_daemon_ended(old_holder, it.now);
    it.now += 130s;
    BOOST_TEST(orders(it.ask(blue)).empty());
    it.now += 2s;
    BOOST_TEST(orders(it.ask(blue)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(checked_engine_must_see_the_new_number_before_anything_is_granted) {
    bench it(one_slot(true), {2, holder, {old_holder}, false});
    it.now += 5s;
    const auto first = orders(it.report({red}));
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first.front().kind == order_kind::load));
    BOOST_TEST(bodies<pin_grant>(it.ask(red)).empty());
    // A failure may come from before the engine looked at the number.
    it.answer(first.front(), order_outcome::failed);
    const auto second = orders(it.report({red}));
    BOOST_REQUIRE(second.size() == 1U);
    it.answer(second.front(), order_outcome::done);
    it.now += 5s;
    BOOST_TEST(bodies<pin_grant>(it.report({red})).size() == 1U);
}

BOOST_AUTO_TEST_CASE(fenced_holder_does_nothing_more) {
    bench it(one_slot(true));
    it.report({});
    const auto given = orders(it.ask(red));
    it.answer(given.front(), order_outcome::fenced);
    BOOST_TEST(it.ask(red).empty());
    BOOST_TEST(it.after(1min).empty());
}

BOOST_AUTO_TEST_CASE(adapter_in_constant_use_gives_way_without_cutting_a_request) {
    bench it;
    it.report({});
    it.load(red);
    bool closed = false;
    for (int i = 0; i < 60 && !closed; ++i) {
        it.now += 1s;
        closed = !bodies<pin_recall>(it.ask(red)).empty() ||
                 !bodies<pin_recall>(it.ask(blue, daemon_b)).empty();
    }
    BOOST_TEST(closed);
    BOOST_TEST(bodies<pin_grant>(it.ask(red)).empty());
    BOOST_TEST(it.keeper.is_loaded(red));
    BOOST_TEST((orders(it.release(red)).front().kind == order_kind::evict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(load_budget_suite)

namespace {

permit_request wish(const char* endpoint, std::vector<double> priorities, message_number number = 1) {
    return {{vm_id(endpoint), 1}, endpoint_id(endpoint), number, std::move(priorities)};
}

}  // namespace

BOOST_AUTO_TEST_CASE(starts_empty_after_the_permits_of_the_holder_before) {
    load_budget budget({}, 4, start);
    budget.on_request(wish("e1", {1}), start);
    BOOST_TEST(budget.grant(start + 2s).empty());
    BOOST_TEST(budget.grant(start + 3s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_to_the_rate_and_grants_the_greatest_need_first) {
    load_budget budget({}, 4, start);
    budget.on_request(wish("e1", {1, 1, 1, 1, 1, 1, 1, 1}), start + 2s);
    budget.on_request(wish("e2", {9}), start + 2s);
    std::vector<load_permit> all;
    for (duration age = 2s; age <= 4s; age += 100ms) {
        for (const load_permit& it : budget.grant(start + age)) {
            all.push_back(it);
            budget.on_done({it.holder, it.endpoint, it.permit, it.fence});
        }
    }
    BOOST_REQUIRE(all.size() == 3U);
    BOOST_TEST(all.front().endpoint == endpoint_id("e2"));
}

BOOST_AUTO_TEST_CASE(never_more_than_eight_in_flight_and_unused_permits_come_back) {
    load_budget_settings settings;
    settings.burst = 100;
    load_budget budget(settings, 4, start);
    budget.on_request(wish("e1", std::vector<double>(20, 1.0)), start + 2s);
    budget.grant(start + 2s);
    const auto first = budget.grant(start + 10s);
    BOOST_TEST(first.size() == 8U);
    budget.on_done({first.front().holder, endpoint_id("e1"), first.front().permit, 4, false});
    budget.on_done({first.front().holder, endpoint_id("e1"), first.front().permit, 4, false});
    BOOST_TEST(budget.grant(start + 10s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(permit_is_used_once_in_time_and_under_the_present_holder_only) {
    slot_controller_settings settings = one_slot();
    settings.guaranteed_loads_per_second = 0;
    bench it(settings);
    it.report({});
    const auto asked = bodies<permit_request>(it.ask(red));
    BOOST_REQUIRE(asked.size() == 1U);
    load_permit permit{engine, holder, asked.front().number, 1, 5, 2s};
    it.keeper.on_weight_store_holder(6);
    BOOST_TEST(orders(it.keeper.on_permit(permit, it.now)).empty());
    permit.fence = 6;
    permit.permit = 2;
    auto late = it.keeper.on_permit(permit, it.now + 2s);
    BOOST_TEST(orders(late).empty());
    BOOST_TEST(!bodies<permit_done>(late).front().used);
    permit.permit = 3;
    BOOST_TEST(orders(it.keeper.on_permit(permit, it.now)).size() == 1U);
    BOOST_TEST(orders(it.keeper.on_permit(permit, it.now)).empty());
}

BOOST_AUTO_TEST_CASE(engine_loads_by_its_own_small_part_while_nobody_grants) {
    slot_controller_settings settings = one_slot();
    settings.guaranteed_loads_per_second = 0.05;
    bench it(settings);
    it.report({});
    BOOST_TEST(orders(it.ask(red)).empty());
    it.now += 10s;
    it.keeper.tick(it.now);
    BOOST_TEST(orders(it.ask(red)).empty());
    it.now += 11s;
    BOOST_TEST(orders(it.ask(red)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(answer_check_suite)

BOOST_AUTO_TEST_CASE(another_adapter_or_version_is_found) {
    BOOST_TEST((check_answer(red, "red@1") == response_verdict::confirmed));
    BOOST_TEST((check_answer(red, "red@2") == response_verdict::wrong_adapter));
    BOOST_TEST((check_answer(red, "blue@1") == response_verdict::wrong_adapter));
    BOOST_TEST((check_answer(red, "red") == response_verdict::wrong_adapter));
    BOOST_TEST((check_answer(red, "") == response_verdict::not_stated));
}

BOOST_AUTO_TEST_SUITE_END()
