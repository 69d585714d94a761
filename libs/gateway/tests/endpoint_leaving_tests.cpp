#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

// An endpoint that announces its leaving in its responses, while its entry still states that it is
// ready.
struct fixture : gateway_fixture {
    fixture() {
        configure();
        auto& made = add_endpoint("e1", [this](const std::string& request, peer& it) {
            ++requests;
            const std::string more =
                leaves ? "X-Signature: s\r\nX-Leaving: 1\r\n" : "X-Signature: s\r\n";
            it.send(response("200 OK", id_of(request), "done", more));
        });
        entry.id = endpoint_id("e1");
        entry.service = service_id("s");
        entry.address = made.address();
        entry.slots = 4;
    }

    std::string request_once() {
        return round_trip(request("GET /again/x", "r" + std::to_string(++last_id)),
                          [](const peer& it) {
                              return ends_with(it.received, "done") || ends_with(it.received, "}");
                          });
    }

    routing::endpoint entry;
    bool leaves = true;
    int requests = 0;
    int last_id = 0;
};

bool is_refused(const std::string& got) {
    return got.find(" 503 ") != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_leaving_tests)

// Guards against requests to an endpoint that announced its leaving only in its responses, because
// the store learns of it late or is unavailable.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_announces_leaving_gets_no_further_request, fixture) {
    request_once();
    BOOST_TEST(is_refused(request_once()));
    BOOST_TEST(requests == 1);
}

// Guards against a late or restored directory entry that overrides the endpoint's own notice.
BOOST_FIXTURE_TEST_CASE(late_entries_do_not_override_a_leaving_notice, fixture) {
    request_once();
    entry.heartbeat = 7;
    proxy().on_endpoint(entry);
    BOOST_TEST(is_refused(request_once()));
    proxy().directory().on_removed(entry.id, time.now());
    proxy().on_endpoint_removed(entry.id);
    proxy().on_endpoint(entry);
    BOOST_TEST(is_refused(request_once()));
    BOOST_TEST(requests == 1);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_endpoint_is_used_again, fixture) {
    request_once();
    leaves = false;
    entry.started_at_ms = 5;
    proxy().on_endpoint(entry);
    BOOST_TEST(!is_refused(request_once()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
