// Load pattern: for a while more requests arrive than the process can start, and callers give up
// after a fixed time.
#include <boost/test/unit_test.hpp>

#include <vector>

#include "requests/start_queue.h"

namespace radishpulley::requests::testing {
namespace {

using namespace std::chrono_literals;

const time_point begin = time_point(1h);

struct request {
    int id = 0;
    time_point arrived{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(start_queue_tests)

BOOST_AUTO_TEST_CASE(urgent_requests_start_first_and_the_newest_of_equals) {
    start_queue<int> queue;
    queue.add(1, {5, begin + 1s});
    queue.add(2, {0, begin + 1s});
    queue.add(3, {5, begin + 1s});
    queue.add(4, {0, begin + 1s});
    for (const int expected : {4, 2, 3, 1}) {
        BOOST_TEST(queue.take().value() == expected);
    }
    BOOST_TEST(!queue.take().has_value());
    BOOST_TEST(queue.take_expired(begin + 2s, 8).empty());
}

BOOST_AUTO_TEST_CASE(expired_requests_are_given_up_in_the_order_of_their_waits) {
    start_queue<int> queue;
    queue.add(1, {0, begin + 30ms});
    queue.add(2, {0, begin + 10ms});
    queue.add(3, {0, begin + 90ms});
    queue.add(4, {0, begin + 10ms});
    BOOST_TEST(queue.take_expired(begin + 10ms, 8).empty());
    const std::vector<int> first = {2, 4};
    BOOST_TEST(queue.take_expired(begin + 50ms, 2) == first, boost::test_tools::per_element());
    BOOST_TEST(queue.take_expired(begin + 50ms, 8) == std::vector<int>{1},
               boost::test_tools::per_element());
    BOOST_TEST(queue.take().value() == 3);
    BOOST_TEST(queue.empty());
}

// Guards against a process that, short of processor time, starts only requests whose callers are
// about to leave, and so serves nobody.
BOOST_AUTO_TEST_CASE(twice_the_load_that_a_process_bears_does_not_stop_it_from_serving) {
    constexpr auto time_per_start = 2ms;
    constexpr auto time_between_arrivals = 1ms;
    constexpr auto patience = 300ms;
    constexpr auto max_wait = 75ms;
    start_queue<request> queue;
    int started = 0;
    int started_in_time = 0;
    int refused_late = 0;
    time_point next_arrival = begin;
    for (time_point now = begin; now < begin + 10s; now += time_per_start) {
        for (; next_arrival <= now; next_arrival += time_between_arrivals) {
            queue.add({started, next_arrival}, {0, next_arrival + max_wait});
        }
        for (const request& it : queue.take_expired(now, 2)) {
            refused_late += now - it.arrived > max_wait + time_per_start ? 1 : 0;
        }
        if (const auto next = queue.take()) {
            ++started;
            started_in_time += now - next->arrived < patience / 2 ? 1 : 0;
        }
    }
    BOOST_TEST(started == 5'000);
    BOOST_TEST(started_in_time == started);
    BOOST_TEST(refused_late == 0);
    BOOST_TEST(queue.size() <= 75U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::requests::testing
