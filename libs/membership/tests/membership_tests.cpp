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

// Counts the VMs that a message from one live VM can reach.
std::size_t count_reachable(const std::vector<vm_entry>& vms, const std::set<vm_id>& dead) {
    std::map<vm_id, std::set<vm_id>> edges;
    for (const vm_entry& it : vms) {
        for (const vm_id& other : select_neighbours(it.vm, vms)) {
            edges[it.vm].insert(other);
            edges[other].insert(it.vm);
        }
    }
    std::vector<vm_id> pending;
    std::set<vm_id> visited;
    for (const vm_entry& it : vms) {
        if (dead.count(it.vm) == 0) {
            pending = {it.vm};
            visited = {it.vm};
            break;
        }
    }
    while (!pending.empty()) {
        const vm_id vm = pending.back();
        pending.pop_back();
        for (const vm_id& next : edges[vm]) {
            if (dead.count(next) == 0 && visited.insert(next).second) {
                pending.push_back(next);
            }
        }
    }
    return visited.size();
}

struct table_pair {
    member_table a{make_vm(0), 1};
    member_table b{make_vm(1), 1};

    table_pair() {
        a.vm_list_read(make_vms(2), start);
        b.vm_list_read(make_vms(2), start);
    }

    static heartbeat due_heartbeat(const std::vector<membership_action>& actions) {
        for (const membership_action& it : actions) {
            if (const auto* heartbeat_action = std::get_if<send_heartbeat>(&it)) {
                return heartbeat_action->message;
            }
        }
        BOOST_FAIL("no heartbeat was due");
        return {};
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(membership_suite)

BOOST_AUTO_TEST_CASE(every_start_gets_its_own_incarnation_despite_lost_calls) {
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
    api.before_next_update(
        [&] { other = std::get<vm_incarnation>(store.next_incarnation(vm_id("a"))); });
    const auto own = std::get<vm_incarnation>(store.next_incarnation(vm_id("a")));
    BOOST_TEST(own.incarnation != other.incarnation);
    api.set_down(true);
    BOOST_TEST(std::holds_alternative<incarnation_unknown>(store.next_incarnation(vm_id("a"))));
}

BOOST_AUTO_TEST_CASE(only_small_fleets_are_a_full_mesh) {
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

BOOST_AUTO_TEST_CASE(fleet_stays_connected_after_the_loss_of_any_zone_or_region) {
    for (const int n : {9, 40, 380}) {
        const auto vms = make_vms(n);
        BOOST_TEST(count_reachable(vms, {}) == vms.size());
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
            BOOST_TEST(count_reachable(vms, dead) == vms.size() - dead.size());
            BOOST_TEST(count_reachable(vms, dead_region) == vms.size() - dead_region.size());
        }
    }
}

BOOST_AUTO_TEST_CASE(an_echoed_token_bounds_the_send_time_of_a_heartbeat) {
    table_pair tables;
    tables.a.connected(vm_id("vm-1"), start);
    tables.b.connected(vm_id("vm-0"), start);
    const heartbeat first = tables.due_heartbeat(tables.a.due_actions(start));
    tables.b.received(first, start + 5ms);
    const heartbeat answer = tables.due_heartbeat(tables.b.due_actions(start + 300ms));
    const heartbeat_proof proof = tables.a.received(answer, start + 2s);
    BOOST_REQUIRE(proof.sent_after.has_value());
    BOOST_TEST((*proof.sent_after == start));
    const heartbeat_proof unproven = tables.b.received(first, start + 3s);
    BOOST_TEST(!unproven.sent_after.has_value());
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced) {
    table_pair tables;
    tables.a.connected(vm_id("vm-1"), start);
    tables.a.due_actions(start);
    BOOST_TEST(count<disconnect_from>(tables.a.due_actions(start + 1950ms)) == 0);
    const auto actions = tables.a.due_actions(start + 2s);
    BOOST_TEST(count<disconnect_from>(actions) == 1);
    BOOST_TEST(tables.a.connected_peers(start + 2s).empty());
    BOOST_TEST(count<connect_to>(tables.a.due_actions(start + 3s)) == 1);
}

BOOST_AUTO_TEST_CASE(an_older_incarnation_is_ignored_and_a_higher_one_is_reported) {
    table_pair tables;
    tables.a.connected(vm_id("vm-1"), start);
    const vm_id other("vm-1");
    BOOST_TEST(tables.a.received({{other, 5}, 1, 0, false, true}, start).new_incarnation);
    BOOST_TEST(tables.a.received({{other, 4}, 2, 0, false, true}, start).stale);
    BOOST_TEST(tables.a.received({{other, 6}, 3, 0, false, true}, start).new_incarnation);
    BOOST_TEST(!tables.a.received({{other, 0}, 4, 0, false, true}, start).stale);
}

BOOST_AUTO_TEST_CASE(late_reports_do_not_restore_a_vm_that_left_the_list) {
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
    // A VM that is on no list for a long time has ended too.
    a.vm_list_read(make_vms(2), start + 11min);
    BOOST_TEST(a.roster().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
