#include <boost/test/unit_test.hpp>

#include "routing/admission_rank.h"

namespace radishpulley::routing {
namespace {

using namespace std::chrono_literals;

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_rank_tests)

BOOST_AUTO_TEST_CASE(a_higher_priority_goes_first_however_urgent_the_other_is) {
    const admission_rank rank;
    BOOST_TEST(rank.value({0, 60s, 0s, 0s}) > rank.value({1, 0s, 2s, 0s}));
    BOOST_TEST(rank.value({8}) > rank.value({9}));
}

// Guards against configurations with priorities out of range that make values infinite or zero.
BOOST_AUTO_TEST_CASE(priorities_out_of_range_count_as_the_nearest_one) {
    const admission_rank rank;
    BOOST_TEST(rank.value({-400}) == rank.value({0}));
    BOOST_TEST(rank.value({4'000}) == rank.value({9}));
}

// Guards against a request that waits without a bound behind a constant stream of requests of the
// highest priority.
BOOST_AUTO_TEST_CASE(the_lowest_priority_overtakes_new_requests_of_the_highest_one_in_time) {
    const admission_rank rank;
    const waiting_request fresh{0, 2s, 100ms, 0s};
    BOOST_TEST(rank.value({9, 2s, 100ms, 4s}) < rank.value(fresh));
    BOOST_TEST(rank.value({9, 2s, 100ms, 4'600ms}) > rank.value(fresh));
}

BOOST_AUTO_TEST_CASE(among_equals_the_one_that_waited_longer_goes_first) {
    const admission_rank rank;
    BOOST_TEST(rank.value({2, 1'900ms, 100ms, 100ms}) > rank.value({2, 2s, 100ms, 0s}));
}

// Guards against large requests that are passed over for small ones of the same class.
BOOST_AUTO_TEST_CASE(a_large_request_does_not_rank_below_a_small_one) {
    const admission_rank rank;
    BOOST_TEST(rank.value({2, 2s, 1'500ms, 0s}) > rank.value({2, 2s, 20ms, 0s}));
    BOOST_TEST(rank.value({2, 1s, 5s, 0s}) <= 2 * rank.value({2}));
}

BOOST_AUTO_TEST_CASE(unknown_and_extreme_times_give_finite_values) {
    const admission_rank rank;
    BOOST_TEST(rank.value({0, duration::max(), 0s, 0s}) == 1, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(rank.value({0, duration::min(), duration::max(), duration::max()}) < 1e37);
    BOOST_TEST(rank.value({0, 1s, 0s, -5s}) == rank.value({0, 1s, 0s, 0s}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
