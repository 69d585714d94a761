#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "membership/incarnation_store.h"
#include "membership/member_table.h"
#include "membership/neighbours.h"
#include "standins/memory_object_store.h"

using namespace radishpulley;
using namespace radishpulley::membership;
using namespace std::chrono_literals;
using radishpulley::object_api::vm_entry;
using radishpulley::standins::memory_object_store;
using radishpulley::standins::store_fault;

namespace {

const time_point start(1h);

vm_entry make_vm(int n, int zones = 6) {
    const int zone = n % zones;
    return {vm_id("vm-" + std::to_string(n)), zone_id("zone-" + std::to_string(zone)),
            region_id("region-" + std::to_string(zone % 2)), "ws://10.0.0.1:" + std::to_string(n),
            object_api::vm_state::live};
}

std::vector<vm_entry> make_vms(int n) {
    std::vector<vm_entry> vms;
    for (int i = 0; i < n; ++i) {
        vms.push_back(make_vm(i));
    }
    return vms;
}

template <typename Action>
std::size_t count(const std::vector<membership_action>& actions) {
    return std::count_if(actions.begin(), actions.end(), [](const membership_action& it) {
        return std::holds_alternative<Action>(it);
    });
}

// Number of VMs that a message reaches from one that is alive.
std::size_t reached(const std::vector<vm_entry>& vms, const std::set<vm_id>& dead) {
    std::map<vm_id, std::set<vm_id>> edges;
    for (const vm_entry& it : vms) {
        for (const vm_id& other : select_neighbours(it.vm, vms)) {
            edges[it.vm].insert(other);
            edges[other].insert(it.vm);
        }
    }
    std::vector<vm_id> open;
    std::set<vm_id> seen;
    for (const vm_entry& it : vms) {
        if (dead.count(it.vm) == 0) {
            open = {it.vm};
            seen = {it.vm};
            break;
        }
    }
    while (!open.empty()) {
        const vm_id vm = open.back();
        open.pop_back();
        for (const vm_id& next : edges[vm]) {
            if (dead.count(next) == 0 && seen.insert(next).second) {
                open.push_back(next);
            }
        }
    }
    return seen.size();
}

struct pair_of_tables {
    member_table a{make_vm(0), 1};
    member_table b{make_vm(1), 1};

    pair_of_tables() {
        a.vm_list_read(make_vms(2), start);
        b.vm_list_read(make_vms(2), start);
    }

    static heartbeat beat(const std::vector<membership_action>& actions) {
        for (const membership_action& it : actions) {
            if (const auto* held = std::get_if<send_heartbeat>(&it)) {
                return held->message;
            }
        }
        BOOST_FAIL("no heartbeat was due");
        return {};
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_suite)

BOOST_AUTO_TEST_CASE(every_start_gets_its_own_incarnation_whatever_is_lost) {
    for (const store_fault fault : {store_fault::lost_call, store_fault::lost_answer}) {
        for (std::size_t step = 0; step < 3; ++step) {
            memory_object_store api;
            incarnation_store store(api);
            const auto first = std::get<vm_incarnation>(store.next_incarnation(vm_id("a")));
            std::deque<store_fault> faults(step, store_fault::none);
            faults.push_back(fault);
            api.inject(faults);
            const auto second = std::get<vm_incarnation>(store.next_incarnation(vm_id("a")));
            const auto third = std::get<vm_incarnation>(store.next_incarnation(vm_id("a")));
            BOOST_TEST(first.incarnation < second.incarnation);
            BOOST_TEST(second.incarnation < third.incarnation);
        }
    }
}

BOOST_AUTO_TEST_CASE(two_processes_that_start_at_once_get_different_incarnations) {
    memory_object_store api;
    incarnation_store store(api);
    vm_incarnation other;
    api.before_next_update([&] { other = std::get<vm_incarnation>(store.next_incarnation(vm_id("a"))); });
    const auto own = std::get<vm_incarnation>(store.next_incarnation(vm_id("a")));
    BOOST_TEST(own.incarnation != other.incarnation);
    api.set_down(true);
    BOOST_TEST(std::holds_alternative<incarnation_unknown>(store.next_incarnation(vm_id("a"))));
}

BOOST_AUTO_TEST_CASE(small_fleets_are_a_full_mesh_and_large_ones_are_not) {
    BOOST_TEST(select_neighbours(vm_id("vm-0"), make_vms(9)).size() == 8);
    for (const int n : {40, 380}) {
        const auto vms = make_vms(n);
        std::size_t chosen = 0;
        for (const vm_entry& it : vms) {
            chosen += select_neighbours(it.vm, vms).size();
        }
        BOOST_TEST(chosen == 4 * vms.size());
    }
}

BOOST_AUTO_TEST_CASE(connections_join_the_fleet_after_the_loss_of_any_zone_and_of_any_region) {
    for (const int n : {9, 40, 380}) {
        const auto vms = make_vms(n);
        BOOST_TEST(reached(vms, {}) == vms.size());
        for (int zone = 0; zone < 6; ++zone) {
            std::set<vm_id> dead;
            std::set<vm_id> dead_region;
            for (int i = 0; i < n; ++i) {
                if (i % 6 == zone) {
                    dead.insert(make_vm(i).vm);
                }
                if (i % 6 % 2 == zone % 2) {
                    dead_region.insert(make_vm(i).vm);
                }
            }
            BOOST_TEST(reached(vms, dead) == vms.size() - dead.size());
            BOOST_TEST(reached(vms, dead_region) == vms.size() - dead_region.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(an_echo_bounds_when_a_heartbeat_was_sent) {
    pair_of_tables two;
    two.a.connected(vm_id("vm-1"), start);
    two.b.connected(vm_id("vm-0"), start);
    const heartbeat first = two.beat(two.a.due_actions(start));
    two.b.received(first, start + 5ms);
    const heartbeat answer = two.beat(two.b.due_actions(start + 300ms));
    const heartbeat_proof proof = two.a.received(answer, start + 2s);
    BOOST_REQUIRE(proof.sent_after.has_value());
    BOOST_TEST((*proof.sent_after == start));
    const heartbeat_proof unproven = two.b.received(first, start + 3s);
    BOOST_TEST(!unproven.sent_after.has_value());
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced) {
    pair_of_tables two;
    two.a.connected(vm_id("vm-1"), start);
    two.a.due_actions(start);
    BOOST_TEST(count<disconnect_from>(two.a.due_actions(start + 1950ms)) == 0);
    const auto actions = two.a.due_actions(start + 2s);
    BOOST_TEST(count<disconnect_from>(actions) == 1);
    BOOST_TEST(two.a.connected_peers(start + 2s).empty());
    BOOST_TEST(count<connect_to>(two.a.due_actions(start + 3s)) == 1);
}

BOOST_AUTO_TEST_CASE(an_older_incarnation_is_ignored_and_a_higher_one_is_told) {
    pair_of_tables two;
    two.a.connected(vm_id("vm-1"), start);
    const vm_id other("vm-1");
    BOOST_TEST(two.a.received({{other, 5}, 1, 0, false, true}, start).new_incarnation);
    BOOST_TEST(two.a.received({{other, 4}, 2, 0, false, true}, start).stale);
    BOOST_TEST(two.a.received({{other, 6}, 3, 0, false, true}, start).new_incarnation);
    BOOST_TEST(!two.a.received({{other, 0}, 4, 0, false, true}, start).stale);
}

BOOST_AUTO_TEST_CASE(late_news_does_not_bring_back_a_vm_that_left_the_list) {
    member_table a(make_vm(0), 1);
    a.vm_list_read(make_vms(3), start);
    const auto ended = a.vm_list_read(make_vms(2), start + 1s);
    BOOST_TEST(ended == std::vector<vm_id>{vm_id("vm-2")}, boost::test_tools::per_element());
    const member_report late{make_vm(2), 0};
    a.on_member_reports({&late, 1}, start + 2s);
    BOOST_TEST(a.roster().size() == 1);
    const member_report again{make_vm(2), 7};
    a.on_member_reports({&again, 1}, start + 3s);
    BOOST_TEST(a.roster().size() == 2);
    // On no list after a long time: it has ended too.
    a.vm_list_read(make_vms(2), start + 11min);
    BOOST_TEST(a.roster().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
