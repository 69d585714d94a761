#include <boost/test/unit_test.hpp>

#include "limiter_fleet.h"

namespace radishpulley::routing::testing {

BOOST_AUTO_TEST_SUITE(hot_account_tests)

// Guards against admitting too much when an account suddenly sends several times its rate to
// hundreds of VMs that were idle.
BOOST_AUTO_TEST_CASE(a_hot_account_on_hundreds_of_idle_vms_stays_within_the_limit) {
    constexpr double rate = 126'000;
    const auto hot = [](int second) { return second < 10 ? 0.3 : 5.0; };
    for (unsigned seed = 1; seed <= 3; ++seed) {
        BOOST_TEST(max_units_in_window(195, rate, seed, hot) <= platform_bound(rate));
    }
}

// The same with 30% message loss, for few and many VMs.
BOOST_AUTO_TEST_CASE(a_hot_account_stays_within_the_limit_despite_lost_reports) {
    constexpr double loss = 0.3;
    const auto hot = [](int second) { return second < 10 ? 0.3 : 5.0; };
    for (const std::size_t vms : {7, 64, 195}) {
        for (const double rate : {126'000.0, 616'000.0}) {
            BOOST_TEST(max_units_in_window(vms, rate, 1, hot, loss) <= platform_bound(rate));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing::testing
