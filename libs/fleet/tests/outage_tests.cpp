#include <boost/test/unit_test.hpp>

#include "fleet_standins/agent_network.h"

using namespace radishpulley;
using namespace radishpulley::fleet_standins;
using namespace std::chrono_literals;

namespace {

// After this time a daemon that started or gave a hold may commit again.
constexpr duration hold_bound = 32s;

model::ticket rate_ticket(model::ticket_number number) {
    model::ticket it;
    it.number = number;
    it.set.emplace_back(
        model::client_account{client_account_id("care-home"), double(number), 100, 1});
    return it;
}

// Nine VMs in three regions, past the time in which a started daemon commits nothing.
struct nine_vms {
    agent_network net{fleet::fleet_settings{}, network_settings{}};

    nine_vms() {
        net.add_vms(make_vms(9, 3, 2));
        net.run_for(hold_bound);
        change(1);
        net.run_for(2s);
    }

    static vm_id vm(int i) { return vm_id("vm-" + std::to_string(i)); }
    fleet::fleet_agent& agent(int i) { return *net.nodes().at(vm(i)).agent; }

    bool change(model::ticket_number number, int through = 0) {
        return net.offer(vm(through), rate_ticket(number));
    }
    model::ticket_number number(int i) { return agent(i).in_force().at.number; }

    template <typename Decision>
    std::size_t count() {
        std::size_t n = 0;
        for (const node* it : net.running()) {
            n += std::holds_alternative<Decision>(it->agent->serving(net.now())) ? 1 : 0;
        }
        return n;
    }
    std::size_t fresh() { return count<keys::serve_fresh>(); }
    std::size_t on_holds() { return count<keys::serve_on_holds>(); }
    std::size_t refusing() { return count<keys::refuse_keyed>(); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(outage_suite, nine_vms)

BOOST_AUTO_TEST_CASE(api_up) {
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(change(2));
    net.run_for(1s);
    BOOST_TEST(net.converged(2));
    BOOST_TEST(agent(5).rollout(2).missing.empty());
    BOOST_TEST(agent(5).rollout(2).in_force.size() == 9);
}

BOOST_AUTO_TEST_CASE(api_down_for_hours_serves_on_and_commits_nothing) {
    net.set_api_down(true);
    std::size_t most_refusing = 0;
    net.on_tick([&] { most_refusing = std::max(most_refusing, refusing()); });
    net.run_for(2h);
    BOOST_TEST(on_holds() == 9);
    BOOST_TEST(most_refusing == 0);
    BOOST_TEST(!change(2));
    net.set_api_down(false);
    net.run_for(3s);
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(!change(2));
    net.run_for(hold_bound);
    BOOST_TEST(change(2));
    net.run_for(1s);
    BOOST_TEST(net.converged(2));
}

BOOST_AUTO_TEST_CASE(vm_cut_off_from_the_api_lives_by_its_peers) {
    net.nodes().at(vm(3)).is_cut_from_api = true;
    net.run_for(1min);
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(change(2));
    net.run_for(1s);
    BOOST_TEST(net.converged(2));
}

BOOST_AUTO_TEST_CASE(vm_cut_off_from_peers_lives_by_the_api) {
    net.nodes().at(vm(3)).is_cut_from_peers = true;
    net.run_for(1min);
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(change(2));
    net.run_for(3s);
    BOOST_TEST(net.converged(2));
    BOOST_TEST(agent(0).rollout(2).missing.size() == 1);
}

BOOST_AUTO_TEST_CASE(vm_cut_off_from_both_refuses_keyed_requests) {
    net.nodes().at(vm(3)).is_cut_from_api = true;
    net.nodes().at(vm(3)).is_cut_from_peers = true;
    BOOST_TEST(change(2));
    net.run_for(3s);
    BOOST_TEST(refusing() == 1);
    BOOST_TEST(number(3) == 1);
    net.run_for(1h);
    BOOST_TEST(refusing() == 1);
    net.nodes().at(vm(3)).is_cut_from_api = false;
    net.run_for(3s);
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(net.converged(2));
}

BOOST_AUTO_TEST_CASE(paused_vm_refuses_when_it_wakes_until_it_has_evidence) {
    net.pause(vm(3));
    BOOST_TEST(change(2));
    net.run_for(1min);
    const auto serving = agent(3).serving(net.now());
    BOOST_TEST(std::holds_alternative<keys::refuse_keyed>(serving));
    net.resume(vm(3));
    net.run_for(4s);
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(net.converged(2));
}

BOOST_AUTO_TEST_CASE(replaced_vm_gets_the_newest_and_not_an_older_state) {
    net.stop(vm(3));
    BOOST_TEST(change(2));
    net.run_for(5s);
    net.start(vm(3));
    BOOST_TEST(std::holds_alternative<keys::refuse_keyed>(agent(3).serving(net.now())));
    net.run_for(3s);
    BOOST_TEST(net.converged(2));
    BOOST_TEST(fresh() == 9);
    BOOST_TEST(!change(3, 3));
    net.run_for(hold_bound);
    BOOST_TEST(change(3, 3));
}

BOOST_AUTO_TEST_CASE(vm_started_in_an_outage_copies_from_peers_and_serves) {
    net.set_api_down(true);
    net.run_for(1min);
    net.stop(vm(3));
    net.run_for(5s);
    BOOST_TEST(on_holds() == 8);
    net.start(vm(3));
    net.run_for(30s);
    BOOST_TEST(number(3) == 1);
    BOOST_TEST(on_holds() == 9);
}

BOOST_AUTO_TEST_CASE(vm_crashed_silently_in_an_outage_stops_keyed_requests_until_it_is_unlisted) {
    net.set_api_down(true);
    net.run_for(1min);
    net.vanish(vm(3));
    net.run_for(10s);
    BOOST_TEST(on_holds() == 8);
    net.run_for(hold_bound);
    BOOST_TEST(refusing() == 8);
    net.unlist(vm(3));
    for (const node* it : net.running()) {
        net.read_vm_list(it->entry.vm);
    }
    net.run_for(1s);
    BOOST_TEST(on_holds() == 8);
}

BOOST_AUTO_TEST_CASE(ticket_known_only_to_a_vm_that_ended_stops_keyed_requests) {
    // Three at once: the VM is cut off from its peers, the API goes down and the process ends.
    net.nodes().at(vm(3)).is_cut_from_peers = true;
    BOOST_TEST(change(2, 3));
    net.run_for(10ms);
    net.set_api_down(true);
    net.stop(vm(3));
    net.nodes().at(vm(3)).is_cut_from_peers = false;
    net.run_for(3s);
    BOOST_TEST(refusing() == 8);
    net.run_for(1min);
    BOOST_TEST(refusing() == 8);
    net.set_api_down(false);
    net.run_for(3s);
    BOOST_TEST(fresh() == 8);
    BOOST_TEST(net.converged(2));
}

BOOST_AUTO_TEST_CASE(vm_that_leaves_as_an_outage_begins_stops_nothing) {
    net.set_api_down(true);
    agent(3).leave(net.now());
    net.run_for(500ms);
    net.stop(vm(3));
    net.run_for(1min);
    BOOST_TEST(on_holds() == 8);
}

BOOST_AUTO_TEST_CASE(part_of_the_fleet_without_api_and_without_the_rest_refuses) {
    // Two at once: three VMs see neither the API nor the others, who go on changing things.
    for (const int i : {0, 1, 2}) {
        net.nodes().at(vm(i)).is_cut_from_api = true;
    }
    for (int i = 3; i < 9; ++i) {
        net.nodes().at(vm(i)).is_cut_from_peers = true;
    }
    BOOST_TEST(change(2, 4));
    net.run_for(3s);
    BOOST_TEST(refusing() == 3);
    BOOST_TEST(fresh() == 6);
    net.run_for(2min);
    BOOST_TEST(refusing() == 3);
}

BOOST_AUTO_TEST_CASE(new_vm_that_the_others_do_not_know_commits_nothing) {
    // The others serve on their holds, and the lagging list has not told them of the new VM.
    for (int i = 0; i < 9; ++i) {
        net.nodes().at(vm(i)).is_cut_from_api = true;
    }
    object_api::vm_entry entry = net.nodes().at(vm(0)).entry;
    entry.vm = vm_id("vm-new");
    net.add_vms({entry});
    net.nodes().at(entry.vm).is_cut_from_peers = true;
    net.run_for(hold_bound);
    BOOST_TEST(on_holds() == 9);
    BOOST_TEST(fresh() == 1);
    BOOST_TEST(!net.offer(entry.vm, rate_ticket(2)));
    net.nodes().at(entry.vm).is_cut_from_peers = false;
    net.run_for(5s);
    BOOST_TEST(fresh() == 10);
    BOOST_TEST(net.offer(entry.vm, rate_ticket(2)));
    net.run_for(1s);
    BOOST_TEST(net.converged(2));
}

BOOST_AUTO_TEST_CASE(silent_connections_are_replaced_and_lose_no_change) {
    for (int i = 1; i < 9; ++i) {
        net.silence(vm(0), vm(i));
    }
    BOOST_TEST(change(2));
    net.run_for(4s);
    BOOST_TEST(net.converged(2));
    BOOST_TEST(agent(0).members().connected_peers(net.now()).size() == 8);
}

BOOST_AUTO_TEST_SUITE_END()
