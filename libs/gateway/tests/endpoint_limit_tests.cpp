#include <algorithm>
#include <deque>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

// Maximum number of requests in 4 s that the platform allows for an endpoint with a limit of 1/s.
constexpr std::size_t max_in_window = 11;
constexpr milliseconds window{4'000};

// Two endpoints with a limit of one request per second each, and a caller that sends ten per
// second.
struct fixture : gateway_fixture {
    fixture() {
        configure();
        for (std::size_t i = 0; i < 2; ++i) {
            add_endpoint("e" + std::to_string(i), [this, i](const std::string& request, peer& it) {
                arrivals[i].push_back(time.now());
                it.send(
                    response("200 OK", id_of(request), "done", "X-Signature: s\r\nX-Limit: 1\r\n"));
            });
        }
    }

    std::string request_once(int n) {
        time.jump(milliseconds(100));
        return round_trip(request("GET /again/x", "r" + std::to_string(n)), [](const peer& it) {
            return ends_with(it.received, "done") || ends_with(it.received, "}");
        });
    }

    std::array<std::deque<time_point>, 2> arrivals;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limit_tests)

// Guards against overloading endpoints because the limit stated in their responses is ignored.
BOOST_FIXTURE_TEST_CASE(requests_stay_within_a_stated_endpoint_limit, fixture) {
    std::size_t served = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string got = request_once(i);
        served += ends_with(got, "done") ? 1 : 0;
        const bool refused = got.find(" 503 ") != std::string::npos;
        BOOST_TEST((!refused || got.find("Retry-After: ") != std::string::npos));
        for (auto& list : arrivals) {
            while (!list.empty() && list.front() <= time.now() - window) {
                list.pop_front();
            }
            BOOST_TEST(list.size() <= max_in_window);
        }
    }
    // Ten seconds at two endpoints with one request per second each.
    BOOST_TEST(served >= 15U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
