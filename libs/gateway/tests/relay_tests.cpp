// Requests that a VM which reaches no endpoint passes on to other VMs.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

void answer(const std::string& request, peer& it) {
    it.send(response("200 OK", id_of(request), "fine"));
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relay_suite, relay_fixture)

// Guards against callers that wait out the cut of their VM while its peers reach all endpoints.
BOOST_AUTO_TEST_CASE(cut_off_vm_serves_its_callers_through_a_peer) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    for (const char* id : {"r1", "r2", "r3"}) {
        const std::string got = call(request("POST /once/x", id, "", "body"), "fine");
        BOOST_TEST(contains(got, "200 OK"));
        BOOST_TEST(!contains(got, "Peer-Relay"));
    }
    BOOST_TEST(relay.accepted == 1);
    BOOST_REQUIRE(endpoint.requests.size() == 3U);
    BOOST_TEST(ends_with(endpoint.requests[0], "\r\n\r\nbody"));
    BOOST_TEST(contains(endpoint.requests[0], "X-Account: acme"));
    BOOST_TEST(!contains(endpoint.requests[0], "X-Key"));
    BOOST_TEST(!contains(endpoint.requests[0], "Peer-Relay"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
