#include <boost/test/unit_test.hpp>

#include "limiter_fleet.h"

namespace radishpulley::routing::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const vm_incarnation vm{vm_id("v"), 1};

// A watcher of an account with 1,000 units a second and as large a burst.
struct fixture {
    fixture() {
        const std::vector<client_account> accounts = {account(1'000, 1'000)};
        watch.configure(accounts, start);
    }

    // The VM's totals go up by this.
    void use(double units, time_point now) {
        const unit_counts before = total;
        total = {total.asked + units, total.admitted + units};
        watch.on_usage_report(vm, {acme, total, before}, now);
    }

    account_monitor watch;
    unit_counts total;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(account_watch_tests)

BOOST_FIXTURE_TEST_CASE(an_account_below_its_rate_is_not_at_its_limit, fixture) {
    for (int ms = 0; ms < 10'000; ms += 100) {
        use(80, start + milliseconds(ms));
        BOOST_TEST(watch.take_saturated(start + milliseconds(ms)).empty());
    }
}

BOOST_FIXTURE_TEST_CASE(an_account_at_its_limit_is_told_again_until_it_recovers, fixture) {
    use(700, start);
    const auto first = watch.take_saturated(start);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].fill == 0.3, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(first[0].demand == 700, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(watch.take_saturated(start + milliseconds(50)).empty());
    use(900, start + milliseconds(400));
    const auto second = watch.take_saturated(start + milliseconds(400));
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].fill < 0);
    BOOST_TEST(watch.take_saturated(start + seconds(2)).empty());
}

BOOST_FIXTURE_TEST_CASE(reports_that_are_lost_repeated_or_late_change_no_sum, fixture) {
    watch.on_usage_report(vm, {acme, {100, 100}, {0, 0}}, start);
    // The second report is lost; the third covers it.
    watch.on_usage_report(vm, {acme, {600, 600}, {300, 300}}, start);
    watch.on_usage_report(vm, {acme, {600, 600}, {300, 300}}, start);
    watch.on_usage_report(vm, {acme, {300, 300}, {100, 100}}, start);
    BOOST_TEST(watch.take_saturated(start).empty());
    watch.on_usage_report(vm, {acme, {610, 610}, {600, 600}}, start);
    BOOST_TEST(watch.take_saturated(start).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_vm_that_began_anew_counts_from_nothing, fixture) {
    watch.on_usage_report(vm, {acme, {500, 500}, {0, 0}}, start);
    watch.on_usage_report({vm.vm, 2}, {acme, {90, 90}, {0, 0}}, start);
    BOOST_TEST(watch.take_saturated(start).empty());
    watch.on_usage_report({vm.vm, 2}, {acme, {200, 200}, {90, 90}}, start);
    BOOST_TEST(watch.take_saturated(start).size() == 1U);
}

// A watcher that takes over does not charge what was admitted long before.
BOOST_FIXTURE_TEST_CASE(the_history_of_a_vm_is_not_charged_to_a_new_watcher, fixture) {
    watch.on_usage_report(vm, {acme, {900'000, 900'000}, {899'990, 899'990}}, start);
    BOOST_TEST(watch.take_saturated(start).empty());
}

BOOST_AUTO_TEST_CASE(where_an_account_is_at_its_limit_half_of_a_request_is_saved_up_first) {
    account_limiter it;
    it.configure({account(1'000, 1'000)}, start);
    BOOST_TEST(it.on_saturation({acme, 10'000, 0}, start));
    BOOST_TEST(!it.on_saturation({acme, 10'000, 0}, start));
    // A tenth of the rate comes in here, so 400 of 800 units are there after some seconds.
    time_point now = start;
    int refused = 0;
    for (int i = 0; i < 100 && !is_admitted(it.admit(acme, 800, now)); ++i) {
        now += milliseconds(100);
        it.on_saturation({acme, 10'000, 0}, now);
        ++refused;
    }
    BOOST_TEST(refused < 100);
    BOOST_TEST(!is_admitted(it.admit(acme, 800, now)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing::testing
