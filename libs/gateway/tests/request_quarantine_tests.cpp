#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

// Crashes after which the platform bounds the requests that still reach endpoints, and that bound.
constexpr std::size_t bounded_after_crashes = 5;
constexpr std::size_t max_further_requests = 3;

bool was_served(const std::string& got) {
    return got.find("done") != std::string::npos;
}

// Engines that crash as soon as they begin to answer a prompt with the segment `dead`; before that,
// they hold the answer for as long as the test wants.
struct fixture : gateway_fixture {
    fixture() {
        with_engines = true;
        configure();
        for (std::size_t i = 0; i < 9; ++i) {
            add_endpoint("e" + std::to_string(i), [this, i](const std::string& request, peer& it) {
                if (request.find(",dead,") == std::string::npos) {
                    it.send(response("200 OK", id_of(request), "done"));
                    return;
                }
                ++deadly_requests;
                it.send("HTTP/1.1 200 OK\r\nX-Id: " + id_of(request) +
                        "\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
                boost::asio::post(loop, [this, i] { engines[i]->crash(); });
            });
        }
        for (std::size_t i = 0; i < 9; ++i) {
            engines.push_back(&endpoint(i));
        }
    }

    std::string ask(const std::string& route, int n, const std::string& segments) {
        time.jump(milliseconds(200));
        return round_trip(request("GET /" + route + "/x", "r" + std::to_string(n),
                                  "X-Segments: " + segments + "\r\n"),
                          [](const peer& it) {
                              return was_served(it.received) ||
                                     it.received.find("\"error\"") != std::string::npos;
                          });
    }

    std::vector<fake_endpoint*> engines;
    std::size_t deadly_requests = 0;
};

void check_bound(fixture& it, const std::string& route) {
    std::size_t served = 0;
    std::string last;
    for (int i = 0; i < 40; ++i) {
        last = it.ask(route, 2 * i, "a,dead," + std::to_string(1000 + i));
        const std::string sound = it.ask(route, 2 * i + 1, "a,b," + std::to_string(2000 + i));
        served += was_served(sound) ? 1 : 0;
    }
    BOOST_TEST(it.deadly_requests <= bounded_after_crashes + max_further_requests);
    // Requests that share the first segment are served by the engines that are left.
    BOOST_TEST(served == 40U);
    BOOST_TEST(last.find(" 503 ") != std::string::npos);
    BOOST_TEST(last.find("segment_blocked") != std::string::npos);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_quarantine_tests)

// Guards against a prompt segment that crashes one engine after the other.
BOOST_FIXTURE_TEST_CASE(requests_with_a_segment_that_crashes_engines_stop_reaching_engines,
                        fixture) {
    check_bound(*this, "once");
}

// Guards against the same where the daemon itself sends the request to the next engine.
BOOST_FIXTURE_TEST_CASE(retries_do_not_carry_a_crashing_segment_from_engine_to_engine, fixture) {
    check_bound(*this, "events");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
