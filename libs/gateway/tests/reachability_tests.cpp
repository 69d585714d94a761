#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "hanging_endpoint.h"

namespace radishpulley::gateway::testing {
namespace {

const service_id service("s");

void ignore(const std::string&, peer&) {}

void answer(const std::string& request, peer& it) {
    it.send(response("200 OK", id_of(request), "done"));
}

// Endpoints that hold what they receive, until their paths are cut.
struct fixture : gateway_fixture {
    fixture() {
        configure();
        proxy().set_on_reachability_change([this](const service_id& it, bool reached) {
            BOOST_TEST(it == service);
            changes.push_back(reached);
        });
    }
    // Starts a request and returns its caller.
    std::shared_ptr<peer> start(const std::string& id) {
        auto caller = connect();
        caller->send(request("GET /once/x", id));
        return caller;
    }
    void add_hanging(const std::string& id, const hanging_endpoint& it) {
        routing::endpoint entry;
        entry.id = endpoint_id(id);
        entry.service = service;
        entry.address = it.address();
        entry.slots = 4;
        proxy().on_endpoint(entry);
    }
    std::vector<bool> changes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(reachability_tests, fixture)

// Guards against a VM that is cut off by resets and refusals and learns it from one request after
// the other.
BOOST_AUTO_TEST_CASE(resets_and_refusals_of_two_endpoints_cut_a_service_off_at_once) {
    fake_endpoint& first = add_endpoint("e1", ignore);
    fake_endpoint& second = add_endpoint("e2", ignore);
    const auto a = start("r1");
    const auto b = start("r2");
    run_until([&] { return first.requests.size() + second.requests.size() == 2; });
    BOOST_TEST(proxy().reaches(service));
    first.crash();
    second.crash();
    run_until([&] { return !changes.empty(); });
    BOOST_TEST(!proxy().reaches(service));
    BOOST_TEST((proxy().unreached_services() == std::vector<service_id>{service}));
}

// Guards against a crash of one engine that is taken for a cut.
BOOST_AUTO_TEST_CASE(a_crash_of_one_endpoint_leaves_the_service_reached) {
    fake_endpoint& first = add_endpoint("e1", ignore);
    const auto a = start("r1");
    run_until([&] { return first.requests.size() == 1; });
    add_endpoint("e2", answer);
    first.crash();
    run_until([&] { return a->received.find("connection_broken") != std::string::npos; });
    BOOST_TEST(proxy().reaches(service));
    BOOST_TEST(changes.empty());
}

// Guards against hanging connections that spend callers' whole time.
BOOST_AUTO_TEST_CASE(hanging_connections_cut_a_service_off_before_they_time_out) {
    hanging_endpoint only;
    add_hanging("e1", only);
    const auto caller = start("r1");
    run_until([&] { return proxy().pool().connections_made() == 1; });
    only.hang();
    run_until([&] { return !changes.empty(); });
    BOOST_TEST(!proxy().reaches(service));
    BOOST_TEST(caller->received.empty());
}

// Guards against a cut whose end is found by callers' requests, one endpoint's backoff after the
// other.
BOOST_AUTO_TEST_CASE(a_new_connection_without_a_request_ends_a_cut) {
    fake_endpoint& only = add_endpoint("e1", ignore);
    const auto caller = start("r1");
    run_until([&] { return only.requests.size() == 1; });
    only.connections.front()->reset();
    run_until([&] { return changes.size() == 2; });
    BOOST_TEST((changes == std::vector<bool>{false, true}));
    BOOST_TEST(proxy().reaches(service));
    BOOST_TEST(only.requests.size() == 1U);
    BOOST_TEST(!proxy().directory().is_deprioritized(endpoint_id("e1"), time.now()));
    // The connection takes the next request.
    const std::uint64_t made = proxy().pool().connections_made();
    const auto next = start("r2");
    run_until([&] { return only.requests.size() == 2; });
    BOOST_TEST(proxy().pool().connections_made() == made);
}

BOOST_AUTO_TEST_CASE(statements_of_other_vms_are_kept_for_their_time) {
    const vm_id other("vm-2");
    proxy().on_peer_unreached(other, {service}, std::chrono::seconds(2));
    BOOST_TEST(proxy().peer_reachability().states_unreached(other, service, time.now()));
    time.jump(std::chrono::seconds(2));
    BOOST_TEST(!proxy().peer_reachability().states_unreached(other, service, time.now()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
