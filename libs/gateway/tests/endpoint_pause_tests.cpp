#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

// Requests that the platform allows in the pause that an endpoint asked for.
constexpr int max_in_pause = 2;
// Until so long after its answer, requests may be under way.
constexpr milliseconds pause_delay{500};
constexpr milliseconds pause{2'000};
// Answers state seconds with three digits.
constexpr double rounding_s = 0.001;

double retry_after_of(const std::string& got) {
    const std::size_t at = got.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    return std::stod(got.substr(at + 13));
}

// An endpoint that turns requests away for two seconds, alone or beside a sound one.
struct fixture : gateway_fixture {
    fixture() { configure(); }

    void add_paused() {
        add_endpoint("e1", [this](const std::string& request, peer& it) {
            ++asked;
            answered_at = time.now();
            it.send(
                busy ? answer("503 Busy", id_of(request), "", "X-Not-Run: 1\r\nRetry-After: 2\r\n")
                     : answer("200 OK", id_of(request), "done"));
        });
    }

    std::string request_once() {
        return round_trip(request("GET /again/x", "r" + std::to_string(++last_id)), [](const peer& it) {
            return ends_with(it.received, "done") || ends_with(it.received, "}");
        });
    }

    bool busy = true;
    time_point answered_at{};
    int asked = 0;
    int last_id = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_pause_tests)

// Guards against requests to an endpoint within the time for which it turned this VM away.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_turned_requests_away_gets_none_until_its_time, fixture) {
    add_paused();
    add_endpoint("e2", [](const std::string& request, peer& it) {
        it.send(answer("200 OK", id_of(request), "done"));
    });
    for (int i = 0; asked == 0 && i < 10; ++i) {
        request_once();
    }
    time.jump(pause_delay);
    asked = 0;
    for (int i = 0; i < 13; ++i) {
        request_once();
        time.jump(milliseconds(100));
    }
    BOOST_TEST(asked <= max_in_pause);
}

// Guards against a refusal without a true time to come back, and against endpoints that stay out
// after their time.
BOOST_FIXTURE_TEST_CASE(where_no_other_is_left_callers_are_told_when_to_come_back, fixture) {
    add_paused();
    request_once();
    time.jump(pause_delay);
    asked = 0;
    const std::string got = request_once();
    BOOST_TEST(asked == 0);
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
