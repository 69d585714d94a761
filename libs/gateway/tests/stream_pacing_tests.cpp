// Streams that state the longest pause between two events, on real sockets.
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

struct fixture : gateway_fixture {
    fixture() {
        configure();
        routing::configuration_content next;
        next.version = proxy().configuration()->version() + 1;
        next.routes = proxy().configuration()->routes();
        next.services = proxy().configuration()->services();
        next.accounts = proxy().configuration()->accounts();
        next.limits = proxy().configuration()->limits();
        next.routes[4].gap_target = milliseconds(300);
        proxy().on_configuration(std::make_shared<routing::configuration>(std::move(next)));
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_pacing_tests)

// Guards against streams that other VMs don't know of, and so delay by long prompts.
BOOST_FIXTURE_TEST_CASE(a_stream_with_a_gap_target_is_reported_while_it_runs, fixture) {
    std::vector<routing::paced_streams> reported;
    add_endpoint("e1", [&](const std::string& request, peer& it) {
        reported = proxy().work().total(endpoint_id("e1")).paced.groups();
        it.send(response("200 OK", id_of(request), "done"));
    });
    const auto is_answered = [](const peer& it) { return ends_with(it.received, "done"); };
    round_trip(request("GET /stream/x", "r1"), is_answered);
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST((reported.front().gap_target == milliseconds(300)));
    BOOST_TEST(reported.front().streams == 1U);
    BOOST_TEST(proxy().work().own().empty());

    round_trip(request("GET /open/x", "r2"), is_answered);
    BOOST_TEST(reported.empty());
}

// Guards against responses that take long for another reason than the engine's speed: those that
// are no streams, and failures.
BOOST_FIXTURE_TEST_CASE(only_streams_show_the_speed_of_an_engine, fixture) {
    with_engines = true;
    configure();
    std::string status = "500 Internal Server Error";
    add_endpoint("e1", [&](const std::string& request, peer& it) {
        it.send(response(status, id_of(request), "done"));
    });
    const auto is_answered = [](const peer& it) { return ends_with(it.received, "done"); };
    round_trip(request("GET /stream/x", "r1"), is_answered);
    status = "200 OK";
    round_trip(request("GET /open/x", "r2"), is_answered);
    BOOST_TEST(proxy().speeds().engines() == 0U);
    round_trip(request("GET /stream/x", "r3"), is_answered);
    BOOST_TEST(proxy().speeds().engines() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
