#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

// Crashes after which the platform bounds the requests that still reach endpoints, and that bound.
constexpr std::size_t bounded_after_crashes = 3;
constexpr std::size_t max_further_requests = 3;
constexpr int rounds = 30;

bool was_served(const std::string& got) {
    return got.find("done") != std::string::npos;
}

// Endpoints that crash as soon as they run a request with the body `dead`.
struct fixture : gateway_fixture {
    void start() {
        configure();
        for (std::size_t i = 0; i < 9; ++i) {
            add_endpoint("e" + std::to_string(i), [this, i](const std::string& request, peer& it) {
                if (!ends_with(request, "\r\n\r\ndead")) {
                    it.send(response("200 OK", id_of(request), "done"));
                    return;
                }
                ++deadly_requests;
                boost::asio::post(loop, [this, i] { endpoint(i).crash(); });
            });
        }
    }

    std::string ask(const std::string& route, int n, const std::string& body) {
        time.jump(milliseconds(100));
        const std::string segments =
            with_engines ? "X-Segments: a,b," + std::to_string(n) + "\r\n" : "";
        const std::string id = "r" + std::to_string(n);
        return round_trip(request("POST /" + route + "/x", id, segments, body), [](const peer& it) {
            return was_served(it.received) || it.received.find("\"error\"") != std::string::npos;
        });
    }

    // Sends the deadly request again and again, beside sound ones with the same path and caller.
    void check_bound(const std::string& route) {
        std::size_t served = 0;
        std::string last;
        for (int i = 0; i < rounds; ++i) {
            last = ask(route, 2 * i, "dead");
            served += was_served(ask(route, 2 * i + 1, "fine" + std::to_string(i))) ? 1 : 0;
        }
        BOOST_TEST(deadly_requests <= bounded_after_crashes + max_further_requests);
        BOOST_TEST(served == static_cast<std::size_t>(rounds));
        BOOST_TEST(last.find(" 503 ") != std::string::npos);
        BOOST_TEST(last.find("request_blocked") != std::string::npos);
    }

    std::size_t deadly_requests = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(repeated_request_tests)

// Guards against a request that comes again and again and crashes one endpoint after the other.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_endpoints_is_refused_when_it_comes_again, fixture) {
    start();
    check_bound("once");
}

// Guards against the same where the daemon itself sends the request to the next endpoint.
BOOST_FIXTURE_TEST_CASE(retries_do_not_carry_a_crashing_request_from_endpoint_to_endpoint,
                        fixture) {
    start();
    check_bound("again");
}

// Guards against the same at engines, where sound requests share all segments of its prompt and so
// free them.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_engines_is_refused_though_its_segments_are_sound,
                        fixture) {
    with_engines = true;
    start();
    check_bound("stream");
}

// Guards against a caller that is told that its request has not run although it has.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashed_endpoints_itself_is_not_called_unrun, fixture) {
    start();
    const std::string got = ask("again", 1, "dead");
    BOOST_TEST(got.find(" 502 ") != std::string::npos);
    BOOST_TEST(deadly_requests == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
