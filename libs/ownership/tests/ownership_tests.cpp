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

std::vector<object_api::vm_entry> list_of(const std::vector<vm_incarnation>& vms) {
    std::vector<object_api::vm_entry> result;
    for (const vm_incarnation& it : vms) {
        result.push_back({it.vm, zone_id("z"), region_id("r"), "", object_api::vm_state::live});
    }
    return result;
}

/// One daemon's copy of everything, with the loop that the daemon runs.
struct fake_daemon {
    fake_daemon(memory_object_store& shared, const vm_incarnation& who, ownership_settings limits)
        : self(who), settings(limits), store(shared), vms(who, {}), policy(who, limits) {}

    void read_all(time_point now) {
        for (shard_index i = 0; i < settings.shards; ++i) {
            const read_result it = store.read(i);
            if (const auto* copy = std::get_if<shard>(&it)) {
                take(*copy, now);
            }
        }
    }

    void take(const shard& copy, time_point now) {
        policy.on_shard(copy, now);
        for (const holding& it : copy.holdings) {
            vms.on_incarnation_seen(it.holder, now);
        }
    }

    std::size_t step(time_point now) {
        const std::vector<shard_update> updates = policy.plan(vms, now);
        for (const shard_update& it : updates) {
            apply(store.commit(it), now);
        }
        return updates.size();
    }

    void apply(const commit_result& result, time_point now) {
        if (const auto* it = std::get_if<committed>(&result)) {
            take(it->copy, now);
        } else if (const auto* other = std::get_if<superseded>(&result)) {
            take(other->copy, now);
        }
    }

    void hear(const std::vector<vm_incarnation>& all, time_point now) {
        for (const vm_incarnation& it : all) {
            vms.on_alive(it, now);
        }
    }

    vm_incarnation self;
    ownership_settings settings;
    ownership_store store;
    failure_detector vms;
    ownership_policy policy;
};

ownership_settings small_settings() {
    ownership_settings result;
    result.shards = one_shard;
    return result;
}

/// Two VMs, of which `a` watches and `b` holds the engine.
struct held_by_b {
    explicit held_by_b(replacement_rule rule) : watcher(store, vm_a, small_settings()) {
        watcher.policy.configure({{engine, rule}});
        const auto both = list_of({vm_a, vm_b, vm_c});
        watcher.vms.on_list(both, start);
        watcher.hear({vm_a, vm_b, vm_c}, start);
        watcher.store.commit({0, {{engine, 0, vm_b, {}}}});
        watcher.read_all(start);
    }

    holding entry() const { return *watcher.policy.find(engine); }

    memory_object_store store;
    fake_daemon watcher;
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

BOOST_AUTO_TEST_CASE(of_two_racing_claims_one_wins) {
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

BOOST_AUTO_TEST_CASE(lost_answer_and_lost_call_are_resolved_without_a_second_change) {
    for (const store_fault fault : {store_fault::lost_answer, store_fault::lost_call}) {
        memory_object_store memory;
        ownership_store store(memory);
        memory.inject({store_fault::none, fault});
        const auto result = store.commit({0, {{engine, 0, vm_a, {}}}});
        BOOST_REQUIRE(std::holds_alternative<committed>(result));
        BOOST_TEST(std::get<committed>(result).copy.holdings.front().fence == 1U);
    }
}

BOOST_AUTO_TEST_CASE(outage_leaves_the_update_undecided) {
    memory_object_store memory;
    ownership_store store(memory);
    memory.set_down(true);
    BOOST_TEST(std::holds_alternative<undecided>(store.commit({0, {{engine, 0, vm_a, {}}}})));
    memory.set_down(false);
    BOOST_TEST(std::get<shard>(store.read(0)).holdings.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(vm_knowledge_suite)

BOOST_AUTO_TEST_CASE(higher_incarnation_proves_the_end_of_the_lower) {
    failure_detector vms(vm_a, {});
    vms.on_alive(vm_b, start);
    BOOST_TEST(!vms.confirmed_ended(vm_b, start));
    vms.on_incarnation_seen({vm_b.vm, 2}, start + 1s);
    BOOST_TEST(vms.confirmed_ended(vm_b, start + 1s));
    BOOST_TEST(!vms.confirmed_ended({vm_b.vm, 2}, start + 1s));
}

BOOST_AUTO_TEST_CASE(leaving_the_list_proves_the_end_only_after_the_lag) {
    failure_detector vms(vm_a, {});
    vms.on_list(list_of({vm_a, vm_b}), start);
    vms.on_list(list_of({vm_a}), start + 1s);
    BOOST_TEST(!vms.confirmed_ended(vm_b, start + 40s));
    // Without a list that is late enough nothing is proved: the list itself may be out of reach.
    BOOST_TEST(!vms.confirmed_ended(vm_b, start + 10min));
    vms.on_list(list_of({vm_a}), start + 62s);
    BOOST_TEST(vms.confirmed_ended(vm_b, start + 62s));
}

BOOST_AUTO_TEST_CASE(silence_raises_suspicion_and_proves_nothing) {
    failure_detector vms(vm_a, {});
    vms.on_list(list_of({vm_a, vm_b}), start);
    vms.on_alive(vm_b, start);
    BOOST_TEST(!vms.suspected(vm_b, start + 5s));
    BOOST_TEST(vms.suspected(vm_b, start + 7s));
    BOOST_TEST(!vms.confirmed_ended(vm_b, start + 24h));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ownership_policy_suite)

BOOST_AUTO_TEST_CASE(living_holder_keeps_its_holding_through_outage_and_silence) {
    held_by_b it(replacement_rule::on_confirmed_end);
    it.store.set_down(true);
    for (duration age = 0s; age < 1h; age += 10s) {
        it.watcher.hear({vm_a, vm_c}, start + age);
        it.watcher.step(start + age);
    }
    it.store.set_down(false);
    it.watcher.read_all(start + 1h);
    BOOST_TEST(it.entry().holder.vm == vm_b.vm);
    BOOST_TEST(it.entry().fence == 1U);
}

BOOST_AUTO_TEST_CASE(unchecked_engine_waits_for_certain_end_and_for_orders_in_flight) {
    held_by_b it(replacement_rule::on_confirmed_end);
    it.watcher.vms.on_alive({vm_b.vm, 2}, start + 1s);
    for (duration age = 1s; age <= 30s; age += 1s) {
        it.watcher.hear({vm_a, vm_c, {vm_b.vm, 2}}, start + age);
        BOOST_TEST(it.watcher.step(start + age) == 0U);
    }
    for (duration age = 31s; age <= 36s; age += 1s) {
        it.watcher.hear({vm_a, vm_c, {vm_b.vm, 2}}, start + age);
        it.watcher.step(start + age);
    }
    BOOST_TEST(it.entry().fence == 2U);
    BOOST_TEST(it.entry().suspects.empty());
}

BOOST_AUTO_TEST_CASE(checked_engine_is_taken_on_suspicion_and_the_suspect_is_kept) {
    held_by_b it(replacement_rule::on_suspicion);
    for (duration age = 7s; age <= 12s; age += 1s) {
        it.watcher.hear({vm_a, vm_c}, start + age);
        it.watcher.step(start + age);
    }
    BOOST_TEST(it.entry().fence == 2U);
    BOOST_TEST(it.entry().holder.vm != vm_b.vm);
    BOOST_REQUIRE(it.entry().suspects.size() == 1U);
    BOOST_TEST(it.entry().suspects.front().vm == vm_b.vm);
}

BOOST_AUTO_TEST_CASE(vm_that_hears_nobody_replaces_nobody) {
    held_by_b it(replacement_rule::on_suspicion);
    for (duration age = 7s; age <= 60s; age += 1s) {
        it.watcher.hear({vm_a}, start + age);
        BOOST_TEST(it.watcher.step(start + age) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(halves_of_a_split_do_not_replace_each_other_for_ever) {
    held_by_b it(replacement_rule::on_suspicion);
    it.watcher.store.commit({0, {{engine, 1, vm_b, {vm_c}}}});
    it.watcher.read_all(start);
    for (duration age = 7s; age <= 10min; age += 1s) {
        it.watcher.hear({vm_a, vm_c}, start + age);
        BOOST_TEST(it.watcher.step(start + age) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(leaving_vm_hands_over_and_gets_nothing_back) {
    memory_object_store store;
    fake_daemon leaver(store, vm_a, small_settings());
    fake_daemon other(store, vm_b, small_settings());
    for (fake_daemon* it : {&leaver, &other}) {
        it->policy.configure({{engine, replacement_rule::on_confirmed_end}});
        it->vms.on_list(list_of({vm_a, vm_b}), start);
        it->hear({vm_a, vm_b}, start);
    }
    leaver.store.commit({0, {{engine, 0, vm_a, {}}}});
    leaver.read_all(start);
    leaver.policy.leave();
    const auto given = leaver.policy.holdings_to_hand_over(leaver.vms, start);
    BOOST_REQUIRE(given.size() == 1U);
    leaver.apply(leaver.store.commit(leaver.policy.vacate(engine)), start);
    BOOST_TEST(leaver.policy.find(engine)->vacant());
    other.vms.on_leaving(vm_a, start);
    other.read_all(start);
    other.step(start + 1s);
    BOOST_TEST(other.policy.find(engine)->holder.vm == vm_b.vm);
    BOOST_TEST(other.policy.find(engine)->fence == 3U);
}

BOOST_AUTO_TEST_CASE(fleet_of_380_fills_the_table_for_600_engines_by_one_write_a_shard) {
    memory_object_store store;
    std::vector<vm_incarnation> fleet;
    for (int i = 0; i < 380; ++i) {
        fleet.push_back({vm_id("vm-" + std::to_string(i)), 1});
    }
    std::vector<holding_spec> specs;
    for (int i = 0; i < 600; ++i) {
        specs.push_back({holding_id("engine/" + std::to_string(i)), replacement_rule::on_confirmed_end});
    }
    const auto list = list_of(fleet);
    std::size_t writes = 0;
    std::size_t most_held = 0;
    std::map<vm_id, std::size_t> held;
    std::vector<std::unique_ptr<fake_daemon>> daemons;
    for (const vm_incarnation& it : fleet) {
        auto one = std::make_unique<fake_daemon>(store, it, ownership_settings{});
        one->policy.configure(specs);
        one->vms.on_list(list, start);
        one->hear(fleet, start);
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

BOOST_AUTO_TEST_CASE(balance_settles_without_flapping) {
    memory_object_store store;
    std::vector<std::unique_ptr<fake_daemon>> daemons;
    std::vector<vm_incarnation> fleet = {vm_a, vm_b, vm_c};
    std::vector<holding_spec> specs;
    shard_update all_to_a{0, {}};
    for (int i = 0; i < 18; ++i) {
        specs.push_back({holding_id("engine/" + std::to_string(i)), replacement_rule::on_confirmed_end});
        all_to_a.assignments.push_back({specs.back().id, 0, vm_a, {}});
    }
    for (const vm_incarnation& who : fleet) {
        daemons.push_back(std::make_unique<fake_daemon>(store, who, small_settings()));
        daemons.back()->policy.configure(specs);
        daemons.back()->vms.on_list(list_of(fleet), start);
    }
    daemons.front()->store.commit(all_to_a);
    std::uint64_t writes_at_half = 0;
    for (duration age = 0s; age < 2h; age += 5s) {
        for (const auto& it : daemons) {
            const time_point now = start + age;
            it->hear(fleet, now);
            it->read_all(now);
            for (const holding_id& id : it->policy.holdings_to_hand_over(it->vms, now)) {
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

BOOST_AUTO_TEST_CASE(replaced_holder_stops_at_the_first_word_of_a_higher_number) {
    holder_guard guard(vm_a, 2s);
    guard.on_running(start);
    guard.on_entry({engine, vm_a, 3, {}}, start);
    guard.on_fence_seen(engine, 4);
    BOOST_TEST(!guard.may_act(engine, start).has_value());
    // A late copy of the old entry gives nothing back.
    guard.on_entry({engine, vm_a, 3, {}}, start + 1s);
    BOOST_TEST(!guard.may_act(engine, start + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(stopped_holding_stays_stopped_within_its_term) {
    holder_guard guard(vm_a, 2s);
    guard.on_running(start);
    guard.on_entry({engine, vm_a, 3, {}}, start);
    guard.stop(engine);
    guard.on_entry({engine, vm_a, 3, {}}, start + 1s);
    BOOST_TEST(!guard.may_act(engine, start + 1s).has_value());
    guard.on_entry({engine, vm_a, 5, {}}, start + 1s);
    BOOST_TEST(guard.may_act(engine, start + 1s).value() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
