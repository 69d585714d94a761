#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

// Number of requests that the platform allows during a pause that an endpoint requested.
constexpr int max_in_pause = 2;
// Time after the response for which requests may still be in flight.
constexpr milliseconds pause_delay{500};
constexpr milliseconds pause{2'000};
// Retry-After states seconds with three decimals.
constexpr double rounding_s = 0.001;

// An endpoint that rejects requests for two seconds, alone or next to a healthy one.
struct fixture : gateway_fixture {
    fixture() { configure(); }

    void add_paused() {
        add_endpoint("e1", [this](const std::string& request, peer& it) {
            ++requests_received;
            answered_at = time.now();
            it.send(busy ? response("503 Busy", id_of(request), "",
                                    "X-Not-Run: 1\r\nRetry-After: 2\r\n")
                         : response("200 OK", id_of(request), "done"));
        });
    }

    std::string request_once() {
        return round_trip(request("GET /again/x", "r" + std::to_string(++last_id)),
                          [](const peer& it) {
                              return ends_with(it.received, "done") || ends_with(it.received, "}");
                          });
    }

    bool busy = true;
    time_point answered_at{};
    int requests_received = 0;
    int last_id = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_pause_tests)

// Guards against requests to an endpoint during the pause that it requested from this VM.
BOOST_FIXTURE_TEST_CASE(a_paused_endpoint_gets_no_requests_until_its_retry_after, fixture) {
    add_paused();
    add_endpoint("e2", [](const std::string& request, peer& it) {
        it.send(response("200 OK", id_of(request), "done"));
    });
    for (int i = 0; requests_received == 0 && i < 10; ++i) {
        request_once();
    }
    time.jump(pause_delay);
    requests_received = 0;
    for (int i = 0; i < 13; ++i) {
        request_once();
        time.jump(milliseconds(100));
    }
    BOOST_TEST(requests_received <= max_in_pause);
}

// Guards against a wrong Retry-After, and against endpoints that stay excluded after their pause.
BOOST_FIXTURE_TEST_CASE(without_other_endpoints_callers_get_the_remaining_retry_after, fixture) {
    add_paused();
    request_once();
    time.jump(pause_delay);
    requests_received = 0;
    const std::string got = request_once();
    BOOST_TEST(requests_received == 0);
    BOOST_TEST(got.find(" 503 ") != std::string::npos);
    const double wait_s = retry_after_of(got);
    const auto left = answered_at + pause - time.now();
    BOOST_TEST(wait_s + rounding_s >= std::chrono::duration<double>(left).count());
    BOOST_TEST(wait_s <= std::chrono::duration<double>(pause - pause_delay).count());
    time.jump(milliseconds(1'400));
    proxy().note_running();
    time.jump(milliseconds(200));
    busy = false;
    BOOST_TEST(ends_with(request_once(), "done"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
