#include <boost/test/unit_test.hpp>

#include "limiter_fleet.h"

namespace radishpulley::routing::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const vm_incarnation vm{vm_id("v"), 1};

// A monitor of an account with 1,000 units per second and a burst of 1,000 units.
struct fixture {
    fixture() {
        const std::vector<client_account> accounts = {account(1'000, 1'000)};
        monitor.configure(accounts, start);
    }

    // Reports an increase of the VM's totals.
    void use(double units, time_point now) {
        const unit_counts before = total;
        total = {total.requested + units, total.admitted + units};
        monitor.on_usage_report(vm, {acme, total, before}, now);
    }

    account_monitor monitor;
    unit_counts total;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(account_monitor_tests)

BOOST_FIXTURE_TEST_CASE(an_account_below_its_rate_is_not_saturated, fixture) {
    for (int ms = 0; ms < 10'000; ms += 100) {
        use(80, start + milliseconds(ms));
        BOOST_TEST(monitor.take_saturated(start + milliseconds(ms)).empty());
    }
}

BOOST_FIXTURE_TEST_CASE(a_saturated_account_is_reported_again_until_it_recovers, fixture) {
    use(700, start);
    const auto first = monitor.take_saturated(start);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].fill == 0.3, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(first[0].demand == 700, boost::test_tools::tolerance(1e-6));
    BOOST_TEST(monitor.take_saturated(start + milliseconds(50)).empty());
    use(900, start + milliseconds(400));
    const auto second = monitor.take_saturated(start + milliseconds(400));
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].fill < 0);
    BOOST_TEST(monitor.take_saturated(start + seconds(2)).empty());
}

BOOST_FIXTURE_TEST_CASE(lost_duplicate_and_late_reports_do_not_change_the_totals, fixture) {
    monitor.on_usage_report(vm, {acme, {100, 100}, {0, 0}}, start);
    // The second report is lost; the third covers it.
    monitor.on_usage_report(vm, {acme, {600, 600}, {300, 300}}, start);
    monitor.on_usage_report(vm, {acme, {600, 600}, {300, 300}}, start);
    monitor.on_usage_report(vm, {acme, {300, 300}, {100, 100}}, start);
    BOOST_TEST(monitor.take_saturated(start).empty());
    monitor.on_usage_report(vm, {acme, {610, 610}, {600, 600}}, start);
    BOOST_TEST(monitor.take_saturated(start).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_vm_counts_from_zero, fixture) {
    monitor.on_usage_report(vm, {acme, {500, 500}, {0, 0}}, start);
    monitor.on_usage_report({vm.vm, 2}, {acme, {90, 90}, {0, 0}}, start);
    BOOST_TEST(monitor.take_saturated(start).empty());
    monitor.on_usage_report({vm.vm, 2}, {acme, {200, 200}, {90, 90}}, start);
    BOOST_TEST(monitor.take_saturated(start).size() == 1U);
}

// A monitor that takes over must not charge usage from before its first report.
BOOST_FIXTURE_TEST_CASE(a_new_monitor_does_not_charge_earlier_usage, fixture) {
    monitor.on_usage_report(vm, {acme, {900'000, 900'000}, {899'990, 899'990}}, start);
    BOOST_TEST(monitor.take_saturated(start).empty());
}

BOOST_AUTO_TEST_CASE(a_request_of_a_saturated_account_needs_half_of_its_cost_accumulated) {
    account_limiter it;
    it.configure({account(1'000, 1'000)}, start);
    BOOST_TEST(it.on_saturation({acme, 10'000, 0}, start));
    BOOST_TEST(!it.on_saturation({acme, 10'000, 0}, start));
    // This VM gets a tenth of the rate, so 400 of 800 units have accumulated after some seconds.
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
