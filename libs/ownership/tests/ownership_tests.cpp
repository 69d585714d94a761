#include <boost/test/unit_test.hpp>

#include "base/findings.h"
#include "ownership/holder_guard.h"
#include "ownership/ownership_policy.h"
#include "ownership/ownership_store.h"
#include "standins/memory_object_store.h"

using namespace radishpulley;
using namespace radishpulley::ownership;
using namespace std::chrono_literals;
using radishpulley::standins::memory_object_store;
using radishpulley::standins::store_fault;

namespace {

const time_point start(1h);
const vm_incarnation vm_a{vm_id("a"), 1};
const vm_incarnation vm_b{vm_id("b"), 1};
const vm_incarnation vm_c{vm_id("c"), 1};
const holding_id engine("engine/e1");
constexpr shard_index one_shard = 1;

std::vector<object_api::vm_entry> list_of(const std::vector<vm_incarnation>& incarnations) {
    std::vector<object_api::vm_entry> result;
    for (const vm_incarnation& it : incarnations) {
        result.push_back({it.vm, zone_id("z"), region_id("r"), "", object_api::vm_state::live});
    }
    return result;
}

/// The ownership state of one daemon and its loop.
struct fake_daemon {
    fake_daemon(memory_object_store& shared, const vm_incarnation& who, ownership_settings limits)
        : self(who), settings(limits), store(shared), detector(who, {}), policy(who, limits) {}

    void read_all(time_point now) {
        for (shard_index i = 0; i < settings.shards; ++i) {
            const read_result it = store.read(i);
            if (const auto* copy = std::get_if<shard>(&it)) {
                process(*copy, now);
            }
        }
    }

    void process(const shard& copy, time_point now) {
        policy.on_shard(copy, now);
        for (const holding& it : copy.holdings) {
            detector.on_incarnation_seen(it.holder, now);
        }
    }

    std::size_t step(time_point now) {
        const std::vector<shard_update> updates = policy.plan(detector, now);
        for (const shard_update& it : updates) {
            apply(store.commit(it), now);
        }
        return updates.size();
    }

    void apply(const commit_result& result, time_point now) {
        if (const auto* it = std::get_if<committed>(&result)) {
            process(it->copy, now);
        } else if (const auto* other = std::get_if<superseded>(&result)) {
            process(other->copy, now);
        }
    }

    void receive_from(const std::vector<vm_incarnation>& all, time_point now) {
        for (const vm_incarnation& it : all) {
            detector.on_alive(it, now);
        }
    }

    vm_incarnation self;
    ownership_settings settings;
    ownership_store store;
    failure_detector detector;
    ownership_policy policy;
};

ownership_settings small_settings() {
    ownership_settings result;
    result.shards = one_shard;
    return result;
}

/// The daemon of VM `a` observes the engine, which VM `b` holds.
struct held_by_b {
    explicit held_by_b(replacement_rule rule) : observer(store, vm_a, small_settings()) {
        observer.policy.configure({{engine, rule}});
        const auto both = list_of({vm_a, vm_b, vm_c});
        observer.detector.on_list(both, start);
        observer.receive_from({vm_a, vm_b, vm_c}, start);
        observer.store.commit({0, {{engine, 0, vm_b, {}}}});
        observer.read_all(start);
    }

    holding entry() const { return *observer.policy.find(engine); }

    memory_object_store store;
    fake_daemon observer;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ownership_store_suite)

BOOST_AUTO_TEST_CASE(stored_form_round_trips_and_faults_are_reported) {
    const std::vector<holding> list = {{engine, vm_b, 7, {vm_a, vm_c}}};
    const std::vector<holding> copy = decode(encode(list));
    BOOST_TEST(copy.front().holder.vm == vm_b.vm);
    BOOST_TEST(copy.front().fence == 7U);
    BOOST_TEST(copy.front().suspects.size() == 2U);
    BOOST_CHECK_THROW(decode("{\"holdings\":[{\"id\":1}]}"), invalid_input);
}

BOOST_AUTO_TEST_CASE(conflict_with_another_entry_is_retried) {
    memory_object_store memory;
    ownership_store store(memory);
    memory.before_next_update([&] {
        ownership_store(memory).commit({0, {{holding_id("x"), 0, vm_b, {}}}});
    });
    const auto result = store.commit({0, {{engine, 0, vm_a, {}}}});
    BOOST_TEST(std::get<committed>(result).copy.holdings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(one_of_two_racing_claims_wins) {
    memory_object_store memory;
    ownership_store store(memory);
    memory.before_next_update([&] {
        ownership_store(memory).commit({0, {{engine, 0, vm_b, {}}}});
    });
    const auto result = store.commit({0, {{engine, 0, vm_a, {}}}});
    BOOST_REQUIRE(std::holds_alternative<superseded>(result));
    BOOST_TEST(std::get<superseded>(result).copy.holdings.front().holder.vm == vm_b.vm);
    BOOST_TEST(std::get<superseded>(result).copy.holdings.front().fence == 1U);
}

BOOST_AUTO_TEST_CASE(lost_response_and_lost_call_cause_no_second_change) {
    for (const store_fault fault : {store_fault::lost_answer, store_fault::lost_call}) {
        memory_object_store memory;
        ownership_store store(memory);
        memory.inject({store_fault::none, fault});
        const auto result = store.commit({0, {{engine, 0, vm_a, {}}}});
        BOOST_REQUIRE(std::holds_alternative<committed>(result));
        BOOST_TEST(std::get<committed>(result).copy.holdings.front().fence == 1U);
    }
}

BOOST_AUTO_TEST_CASE(outage_makes_the_update_indeterminate) {
    memory_object_store memory;
    ownership_store store(memory);
    memory.set_down(true);
    BOOST_TEST(std::holds_alternative<indeterminate>(store.commit({0, {{engine, 0, vm_a, {}}}})));
    memory.set_down(false);
    BOOST_TEST(std::get<shard>(store.read(0)).holdings.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failure_detector_suite)

BOOST_AUTO_TEST_CASE(higher_incarnation_confirms_the_end_of_the_lower) {
    failure_detector detector(vm_a, {});
    detector.on_alive(vm_b, start);
    BOOST_TEST(!detector.confirmed_ended(vm_b, start));
    detector.on_incarnation_seen({vm_b.vm, 2}, start + 1s);
    BOOST_TEST(detector.confirmed_ended(vm_b, start + 1s));
    BOOST_TEST(!detector.confirmed_ended({vm_b.vm, 2}, start + 1s));
}

BOOST_AUTO_TEST_CASE(removal_from_the_list_confirms_the_end_only_after_the_lag) {
    failure_detector detector(vm_a, {});
    detector.on_list(list_of({vm_a, vm_b}), start);
    detector.on_list(list_of({vm_a}), start + 1s);
    BOOST_TEST(!detector.confirmed_ended(vm_b, start + 40s));
    // Without a recent list the end is not confirmed: the list itself may be unreachable.
    BOOST_TEST(!detector.confirmed_ended(vm_b, start + 10min));
    detector.on_list(list_of({vm_a}), start + 62s);
    BOOST_TEST(detector.confirmed_ended(vm_b, start + 62s));
}

BOOST_AUTO_TEST_CASE(silence_causes_suspicion_but_does_not_confirm_the_end) {
    failure_detector detector(vm_a, {});
    detector.on_list(list_of({vm_a, vm_b}), start);
    detector.on_alive(vm_b, start);
    BOOST_TEST(!detector.suspected(vm_b, start + 5s));
    BOOST_TEST(detector.suspected(vm_b, start + 7s));
    BOOST_TEST(!detector.confirmed_ended(vm_b, start + 24h));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ownership_policy_suite)

BOOST_AUTO_TEST_CASE(running_holder_keeps_its_holding_through_outage_and_silence) {
    held_by_b it(replacement_rule::on_confirmed_end);
    it.store.set_down(true);
    for (duration age = 0s; age < 1h; age += 10s) {
        it.observer.receive_from({vm_a, vm_c}, start + age);
        it.observer.step(start + age);
    }
    it.store.set_down(false);
    it.observer.read_all(start + 1h);
    BOOST_TEST(it.entry().holder.vm == vm_b.vm);
    BOOST_TEST(it.entry().fence == 1U);
}

BOOST_AUTO_TEST_CASE(engine_without_fencing_waits_for_confirmed_end_and_orders_in_flight) {
    held_by_b it(replacement_rule::on_confirmed_end);
    it.observer.detector.on_alive({vm_b.vm, 2}, start + 1s);
    for (duration age = 1s; age <= 30s; age += 1s) {
        it.observer.receive_from({vm_a, vm_c, {vm_b.vm, 2}}, start + age);
        BOOST_TEST(it.observer.step(start + age) == 0U);
    }
    for (duration age = 31s; age <= 36s; age += 1s) {
        it.observer.receive_from({vm_a, vm_c, {vm_b.vm, 2}}, start + age);
        it.observer.step(start + age);
    }
    BOOST_TEST(it.entry().fence == 2U);
    BOOST_TEST(it.entry().suspects.empty());
}

BOOST_AUTO_TEST_CASE(engine_with_fencing_is_reassigned_on_suspicion_and_records_the_suspect) {
    held_by_b it(replacement_rule::on_suspicion);
    for (duration age = 7s; age <= 12s; age += 1s) {
        it.observer.receive_from({vm_a, vm_c}, start + age);
        it.observer.step(start + age);
    }
    BOOST_TEST(it.entry().fence == 2U);
    BOOST_TEST(it.entry().holder.vm != vm_b.vm);
    BOOST_REQUIRE(it.entry().suspects.size() == 1U);
    BOOST_TEST(it.entry().suspects.front().vm == vm_b.vm);
}

BOOST_AUTO_TEST_CASE(isolated_vm_replaces_no_holder) {
    held_by_b it(replacement_rule::on_suspicion);
    for (duration age = 7s; age <= 60s; age += 1s) {
        it.observer.receive_from({vm_a}, start + age);
        BOOST_TEST(it.observer.step(start + age) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(sides_of_a_partition_do_not_replace_each_other_endlessly) {
    held_by_b it(replacement_rule::on_suspicion);
    it.observer.store.commit({0, {{engine, 1, vm_b, {vm_c}}}});
    it.observer.read_all(start);
    for (duration age = 7s; age <= 10min; age += 1s) {
        it.observer.receive_from({vm_a, vm_c}, start + age);
        BOOST_TEST(it.observer.step(start + age) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(leaving_vm_hands_over_and_is_assigned_nothing) {
    memory_object_store store;
    fake_daemon leaver(store, vm_a, small_settings());
    fake_daemon other(store, vm_b, small_settings());
    for (fake_daemon* it : {&leaver, &other}) {
        it->policy.configure({{engine, replacement_rule::on_confirmed_end}});
        it->detector.on_list(list_of({vm_a, vm_b}), start);
        it->receive_from({vm_a, vm_b}, start);
    }
    leaver.store.commit({0, {{engine, 0, vm_a, {}}}});
    leaver.read_all(start);
    leaver.policy.leave();
    const auto handed_over = leaver.policy.holdings_to_hand_over(leaver.detector, start);
    BOOST_REQUIRE(handed_over.size() == 1U);
    leaver.apply(leaver.store.commit(leaver.policy.vacate(engine)), start);
    BOOST_TEST(leaver.policy.find(engine)->vacant());
    other.detector.on_leaving(vm_a, start);
    other.read_all(start);
    other.step(start + 1s);
    BOOST_TEST(other.policy.find(engine)->holder.vm == vm_b.vm);
    BOOST_TEST(other.policy.find(engine)->fence == 3U);
}

// Guards against an engine that gets no orders while only its holder is cut off from it.
BOOST_AUTO_TEST_CASE(holder_that_is_cut_off_hands_over_to_a_vm_that_reaches_the_engine) {
    memory_object_store store;
    fake_daemon cut_off(store, vm_a, small_settings());
    fake_daemon other(store, vm_c, small_settings());
    const holding_spec spec{
        engine, replacement_rule::on_suspicion, {vm_a.vm, vm_b.vm}, {vm_a.vm, vm_b.vm}};
    for (fake_daemon* it : {&cut_off, &other}) {
        it->policy.configure({spec});
        it->detector.on_list(list_of({vm_a, vm_b, vm_c}), start);
        it->receive_from({vm_a, vm_b, vm_c}, start);
    }
    cut_off.store.commit({0, {{engine, 0, vm_a, {}}}});
    cut_off.read_all(start);
    const auto handed_over = cut_off.policy.holdings_to_hand_over(cut_off.detector, start);
    BOOST_REQUIRE(handed_over.size() == 1U);
    cut_off.apply(cut_off.store.commit(cut_off.policy.vacate(engine)), start);
    other.read_all(start);
    for (const duration wait : {0s, 2s, 4s}) {
        other.receive_from({vm_a, vm_b, vm_c}, start + wait);
        other.step(start + wait);
    }
    BOOST_TEST(other.policy.find(engine)->holder.vm == vm_c.vm);
    BOOST_TEST(other.policy.holdings_to_hand_over(other.detector, start + 4s).empty());
}

// Guards against holders that are exchanged although no VM would do better: all are cut off, or
// the engine may still carry out an order under way after those of the next holder.
BOOST_AUTO_TEST_CASE(holder_that_is_cut_off_stays_where_handing_over_does_not_help) {
    const std::set<vm_id> all = {vm_a.vm, vm_b.vm, vm_c.vm};
    const std::vector<holding_spec> cases = {
        {engine, replacement_rule::on_suspicion, {}, all},
        {engine, replacement_rule::on_confirmed_end, {}, {vm_a.vm}},
    };
    for (const holding_spec& spec : cases) {
        memory_object_store store;
        fake_daemon holder(store, vm_a, small_settings());
        holder.policy.configure({spec});
        holder.detector.on_list(list_of({vm_a, vm_b, vm_c}), start);
        holder.receive_from({vm_a, vm_b, vm_c}, start);
        holder.store.commit({0, {{engine, 0, vm_a, {}}}});
        holder.read_all(start);
        BOOST_TEST(holder.policy.holdings_to_hand_over(holder.detector, start).empty());
    }
}

BOOST_AUTO_TEST_CASE(fleet_of_380_assigns_600_engines_with_one_write_per_shard) {
    memory_object_store store;
    std::vector<vm_incarnation> fleet;
    for (int i = 0; i < 380; ++i) {
        fleet.push_back({vm_id("vm-" + std::to_string(i)), 1});
    }
    std::vector<holding_spec> specs;
    for (int i = 0; i < 600; ++i) {
        specs.push_back(
            {holding_id("engine/" + std::to_string(i)), replacement_rule::on_confirmed_end});
    }
    const auto list = list_of(fleet);
    std::size_t writes = 0;
    std::size_t most_held = 0;
    std::map<vm_id, std::size_t> held;
    std::vector<std::unique_ptr<fake_daemon>> daemons;
    for (const vm_incarnation& it : fleet) {
        auto one = std::make_unique<fake_daemon>(store, it, ownership_settings{});
        one->policy.configure(specs);
        one->detector.on_list(list, start);
        one->receive_from(fleet, start);
        one->read_all(start);
        daemons.push_back(std::move(one));
    }
    for (const auto& it : daemons) {
        writes += it->step(start);
    }
    daemons.front()->read_all(start + 1s);
    for (int i = 0; i < 600; ++i) {
        const auto entry = daemons.front()->policy.find(holding_id("engine/" + std::to_string(i)));
        most_held = std::max(most_held, ++held[entry->holder.vm]);
    }
    BOOST_TEST(writes == 16U);
    BOOST_TEST(store.counts().writes == 16U);
    BOOST_TEST(most_held <= 10U);
}

BOOST_AUTO_TEST_CASE(balancing_converges_without_flapping) {
    memory_object_store store;
    std::vector<std::unique_ptr<fake_daemon>> daemons;
    std::vector<vm_incarnation> fleet = {vm_a, vm_b, vm_c};
    std::vector<holding_spec> specs;
    shard_update all_to_a{0, {}};
    for (int i = 0; i < 18; ++i) {
        specs.push_back(
            {holding_id("engine/" + std::to_string(i)), replacement_rule::on_confirmed_end});
        all_to_a.assignments.push_back({specs.back().id, 0, vm_a, {}});
    }
    for (const vm_incarnation& who : fleet) {
        daemons.push_back(std::make_unique<fake_daemon>(store, who, small_settings()));
        daemons.back()->policy.configure(specs);
        daemons.back()->detector.on_list(list_of(fleet), start);
    }
    daemons.front()->store.commit(all_to_a);
    std::uint64_t writes_at_half = 0;
    for (duration age = 0s; age < 2h; age += 5s) {
        for (const auto& it : daemons) {
            const time_point now = start + age;
            it->receive_from(fleet, now);
            it->read_all(now);
            for (const holding_id& id : it->policy.holdings_to_hand_over(it->detector, now)) {
                it->apply(it->store.commit(it->policy.vacate(id)), now);
            }
            it->step(now);
        }
        if (age == 1h) {
            writes_at_half = store.counts().writes;
        }
    }
    BOOST_TEST(daemons.front()->policy.own_holdings().size() <= 8U);
    BOOST_TEST(store.counts().writes == writes_at_half);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(holder_guard_suite)

BOOST_AUTO_TEST_CASE(paused_holder_acts_only_after_a_read_that_began_later) {
    holder_guard guard(vm_a, 2s);
    guard.on_running(start);
    guard.on_entry({engine, vm_a, 3, {}}, start);
    BOOST_TEST(guard.may_act(engine, start + 1s).value() == 3U);
    BOOST_TEST(!guard.may_act(engine, start + 10s).has_value());
    BOOST_TEST(guard.needs_revalidation());
    guard.on_entry({engine, vm_a, 3, {}}, start + 9s);
    BOOST_TEST(!guard.may_act(engine, start + 10s).has_value());
    guard.on_entry({engine, vm_a, 3, {}}, start + 10s);
    BOOST_TEST(guard.may_act(engine, start + 10s).value() == 3U);
}

BOOST_AUTO_TEST_CASE(replaced_holder_stops_once_it_sees_a_higher_fencing_number) {
    holder_guard guard(vm_a, 2s);
    guard.on_running(start);
    guard.on_entry({engine, vm_a, 3, {}}, start);
    guard.on_fence_seen(engine, 4);
    BOOST_TEST(!guard.may_act(engine, start).has_value());
    // A late copy of the old entry does not restore the holding.
    guard.on_entry({engine, vm_a, 3, {}}, start + 1s);
    BOOST_TEST(!guard.may_act(engine, start + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(stopped_holding_stays_stopped_until_its_fencing_number_changes) {
    holder_guard guard(vm_a, 2s);
    guard.on_running(start);
    guard.on_entry({engine, vm_a, 3, {}}, start);
    guard.stop(engine);
    guard.on_entry({engine, vm_a, 3, {}}, start + 1s);
    BOOST_TEST(!guard.may_act(engine, start + 1s).has_value());
    guard.on_entry({engine, vm_a, 5, {}}, start + 1s);
    BOOST_TEST(guard.may_act(engine, start + 1s).value() == 5U);
}

// Guards against a fencing number that two holders get, because the store came back from a copy in
// which the first one's is missing.
BOOST_AUTO_TEST_CASE(fencing_numbers_do_not_repeat_after_the_store_came_back_from_a_copy) {
    ownership_settings settings;
    settings.shards = one_shard;
    ownership_policy policy(vm_a, settings);
    policy.configure({{engine, replacement_rule::on_suspicion}});
    failure_detector detector(vm_a, {});
    detector.on_list(list_of({vm_a, vm_b}), start);
    detector.on_incarnation_seen(vm_b, start);
    detector.on_alive(vm_b, start);
    const shard known{0, 7, {{engine, vm_b, 2, {}}}};
    policy.set_min_fence(1, start);
    policy.on_shard(known, start);

    // The copy has the holder before vm_b, and its number.
    constexpr fencing_number min_fence = 1'000;
    const shard restored = merge_restored(known, {0, 100, {{engine, vm_c, 1, {}}}});
    policy.set_min_fence(min_fence, start + 1s);
    policy.on_shard(restored, start + 1s);
    BOOST_REQUIRE(policy.find(engine).has_value());
    BOOST_TEST((policy.find(engine)->holder == vm_b));

    detector.on_alive(vm_b, start + 10s);
    policy.plan(detector, start + 1s);
    const auto updates = policy.plan(detector, start + 10s);
    BOOST_REQUIRE_EQUAL(updates.size(), 1U);
    const auto next = try_apply(restored, updates.front());
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((next->holdings.front().holder == vm_b));
    BOOST_TEST(next->holdings.front().fence >= min_fence);
}

// Guards against a VM that knows only the older copy and puts the holders of that copy in force.
BOOST_AUTO_TEST_CASE(a_vm_that_started_after_a_restore_leaves_the_renewal_to_the_others) {
    ownership_settings settings;
    settings.shards = one_shard;
    ownership_policy policy(vm_a, settings);
    policy.configure({{engine, replacement_rule::on_suspicion}});
    failure_detector detector(vm_a, {});
    policy.set_min_fence(1'000, start);
    policy.on_shard({0, 100, {{engine, vm_b, 1, {}}}}, start);
    detector.on_list(list_of({vm_a, vm_b}), start);
    for (time_point now = start; now < start + 9s; now += 1s) {
        detector.on_incarnation_seen(vm_b, now);
        detector.on_alive(vm_b, now);
        BOOST_TEST(policy.plan(detector, now).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
