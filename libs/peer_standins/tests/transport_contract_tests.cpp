#include <boost/test/unit_test.hpp>
#include <functional>

#include "fleet.h"
#include "peer/codec.h"

using namespace radishpulley;
using namespace radishpulley::peer_standins;
using peer::send_result;

namespace {

void connect_pair(fleet& it, route by = route::direct) {
    it.start("vm-a", 1);
    it.start("vm-b", 1);
    it.connect("vm-a", "vm-b", by);
    BOOST_REQUIRE(it.sees("vm-a", "connected vm-b/1"));
    BOOST_REQUIRE(it.sees("vm-b", "connected vm-a/1"));
}

void messages_travel_both_ways(fleet& it) {
    connect_pair(it);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((it.at("vm-a").send(vm_id("vm-b"), {"t", i}) == send_result::queued));
    }
    BOOST_TEST((it.at("vm-b").send(vm_id("vm-a"), {"t", 7}) == send_result::queued));
    BOOST_TEST(it.sees("vm-b", "message vm-a/1 t 2"));
    BOOST_TEST(it.sees("vm-b", "message vm-a/1 t 0"));
    BOOST_TEST(it.sees("vm-a", "message vm-b/1 t 7"));
}

void unsendable_messages_are_refused(fleet& it) {
    connect_pair(it);
    BOOST_TEST((it.at("vm-a").send(vm_id("vm-c"), {"t", 1}) == send_result::not_connected));
    const std::string large(peer::max_frame_size, 'x');
    BOOST_TEST((it.at("vm-a").send(vm_id("vm-b"), {"t", large}) == send_result::too_large));
    BOOST_TEST(it.at("vm-a").connected().size() == 1);
}

void a_wrong_secret_is_refused(fleet& it) {
    it.start("vm-a", 1, "the secret of another fleet");
    it.start("vm-b", 1);
    it.connect("vm-a", "vm-b");
    BOOST_TEST(it.sees("vm-a", "dial_failed vm-b authentication_failed"));
    BOOST_TEST(it.at("vm-a").connected().empty());
    BOOST_TEST(it.at("vm-b").connected().empty());
}

void a_stopped_daemon_refuses_connections(fleet& it) {
    connect_pair(it);
    it.stop("vm-b");
    BOOST_TEST(it.sees("vm-a", "lost vm-b/1 closed"));
    BOOST_TEST(it.sees("vm-a", "dial_failed vm-b connection_refused"));
    BOOST_TEST(it.at("vm-a").counters().refused_connections >= 1);
}

void a_restarted_daemon_is_connected_again(fleet& it) {
    connect_pair(it);
    it.stop("vm-b");
    BOOST_TEST(it.sees("vm-a", "dial_failed vm-b connection_refused"));
    it.start("vm-b", 2);
    BOOST_TEST(it.sees("vm-a", "connected vm-b/2"));
    BOOST_TEST(it.sees("vm-b", "connected vm-a/1"));
    it.at("vm-a").send(vm_id("vm-b"), {"t", 1});
    BOOST_TEST(it.sees("vm-b", "message vm-a/1 t 1"));
}

void an_old_incarnation_is_told_so(fleet& it) {
    it.start("vm-a", 5);
    it.start("vm-b", 1);
    it.connect("vm-a", "vm-b");
    BOOST_REQUIRE(it.sees("vm-b", "connected vm-a/5"));
    it.stop("vm-a");
    BOOST_REQUIRE(it.sees("vm-b", "lost vm-a/5 closed"));
    it.start("vm-a", 4);
    it.connect("vm-a", "vm-b");
    BOOST_TEST(it.sees("vm-a", "dial_failed vm-b superseded"));
    BOOST_TEST(it.at("vm-b").connected().empty());
    BOOST_TEST(it.at("vm-b").counters().old_incarnations >= 1);
}

void an_old_incarnation_is_not_accepted_by_its_dialer(fleet& it) {
    it.start("vm-a", 1);
    it.start("vm-b", 5);
    it.connect("vm-a", "vm-b");
    BOOST_REQUIRE(it.sees("vm-a", "connected vm-b/5"));
    it.stop("vm-b");
    it.start("vm-b", 4);
    BOOST_TEST(it.sees("vm-a", "dial_failed vm-b old_incarnation"));
}

void a_silent_connection_is_replaced(fleet& it) {
    connect_pair(it, route::breakable);
    it.silence("vm-a", "vm-b");
    BOOST_TEST(it.sees("vm-a", "lost vm-b/1 silent"));
    BOOST_TEST(it.sees("vm-a", "connected vm-b/1", 2));
    BOOST_TEST(it.at("vm-a").counters().silent_connections >= 1);
    BOOST_TEST(it.wait("vm-a", [&] {
        it.at("vm-a").send(vm_id("vm-b"), {"t", 1});
        return it.sees("vm-b", "message vm-a/1 t 1");
    }));
}

struct contract_case {
    const char* name;
    void (*run)(fleet&);
};

const contract_case cases[] = {
    {"messages travel both ways", messages_travel_both_ways},
    {"unsendable messages are refused", unsendable_messages_are_refused},
    {"a wrong secret is refused", a_wrong_secret_is_refused},
    {"a stopped daemon refuses connections", a_stopped_daemon_refuses_connections},
    {"a restarted daemon is connected again", a_restarted_daemon_is_connected_again},
    {"an old incarnation is told so", an_old_incarnation_is_told_so},
    {"an old incarnation is not accepted", an_old_incarnation_is_not_accepted_by_its_dialer},
    {"a silent connection is replaced", a_silent_connection_is_replaced},
};

}  // namespace

BOOST_AUTO_TEST_CASE(the_memory_transport_keeps_the_contract) {
    for (const contract_case& it : cases) {
        BOOST_TEST_CONTEXT(it.name) {
            memory_fleet fleet;
            it.run(fleet);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_websocket_transport_keeps_the_contract) {
    for (const contract_case& it : cases) {
        BOOST_TEST_CONTEXT(it.name) {
            // Only the silent connection has to wait for the deadline; the others outlast a slow
            // machine.
            const bool is_silent = it.run == a_silent_connection_is_replaced;
            websocket_fleet fleet(is_silent ? std::chrono::milliseconds(500)
                                            : std::chrono::seconds(20));
            it.run(fleet);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_memory_network_loses_and_doubles_messages) {
    memory_network network;
    event_recorder at_a;
    event_recorder at_b;
    memory_transport a(network, {vm_id("vm-a"), 1}, fleet_secret);
    memory_transport b(network, {vm_id("vm-b"), 1}, fleet_secret);
    a.start(at_a.handlers());
    b.start(at_b.handlers());
    const std::vector<peer::peer_address> peers = {{vm_id("vm-b"), ""}};
    a.set_peers(peers);
    network.deliver();
    network.set_fault(vm_id("vm-a"), vm_id("vm-b"), link_fault::lose);
    a.send(vm_id("vm-b"), {"t", 1});
    network.set_fault(vm_id("vm-a"), vm_id("vm-b"), link_fault::duplicate);
    a.send(vm_id("vm-b"), {"t", 2});
    network.deliver();
    BOOST_TEST(at_b.count("message vm-a/1 t 1") == 0);
    BOOST_TEST(at_b.count("message vm-a/1 t 2") == 2);
}
