#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

// Five engines that hold what they receive.
struct fixture : gateway_fixture {
    fixture() {
        configure();
        for (int i = 0; i < 5; ++i) {
            add_endpoint("e" + std::to_string(i), [](const std::string&, peer&) {});
        }
    }
    // Sends one request and returns the number of the endpoint that received it.
    std::size_t send() {
        caller = connect();
        caller->send(request("GET /once/x", "r1"));
        std::size_t at = 5;
        run_until([&] {
            for (std::size_t i = 0; i < 5; ++i) {
                at = endpoint(i).requests.empty() ? at : i;
            }
            return at < 5;
        });
        return at;
    }
    std::size_t suspects_after_end() {
        run_until([this] { return caller->received.find("\"error\"") != std::string::npos; });
        return proxy().quarantine().suspects(time.now()).size();
    }
    std::shared_ptr<peer> caller;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crash_evidence_tests, fixture)

// Guards against a cut path whose refusals accuse sound requests, which all VMs then refuse.
BOOST_AUTO_TEST_CASE(refusals_of_all_endpoints_accuse_no_request) {
    send();
    for (std::size_t i = 0; i < 5; ++i) {
        endpoint(i).crash();
    }
    BOOST_TEST(suspects_after_end() == 0U);
}

// Guards against the same where one endpoint is left.
BOOST_AUTO_TEST_CASE(refusals_of_most_endpoints_accuse_no_request) {
    const std::size_t at = send();
    for (std::size_t i = 0; i < 5; ++i) {
        if (i != (at + 1) % 5) {
            endpoint(i).crash();
        }
    }
    BOOST_TEST(suspects_after_end() == 0U);
}

BOOST_AUTO_TEST_CASE(the_refusal_of_one_endpoint_accuses_its_request) {
    endpoint(send()).crash();
    BOOST_TEST(suspects_after_end() == 1U);
}

// Guards against a second crash that is not counted, as an endpoint that crashed before refuses.
BOOST_AUTO_TEST_CASE(an_earlier_crash_leaves_the_evidence_of_the_next) {
    const std::size_t at = send();
    endpoint((at + 1) % 5).crash();
    endpoint(at).crash();
    BOOST_TEST(suspects_after_end() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
