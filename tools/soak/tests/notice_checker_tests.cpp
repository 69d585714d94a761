#include <boost/test/unit_test.hpp>

#include "../notice_checker.h"

namespace radishpulley::soak::testing {
namespace {

using std::chrono::milliseconds;

time_point at(int ms) {
    return time_point() + std::chrono::hours(1) + milliseconds(ms);
}

const vm_epoch vm{"edge-0", 1};

request_arrival from(const vm_epoch& sender, int ms) {
    return {"i-a0", sender, at(ms), at(ms)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(notice_checker_tests)

BOOST_AUTO_TEST_CASE(requests_above_a_limit_are_reported_and_those_within_it_are_not) {
    for (const int interval : {300, 1'000}) {
        notice_checker checker;
        checker.on_limit_announced("i-a0", 1.0, at(0));
        checker.on_limit_forwarded("i-a0", vm, at(10));
        std::size_t violations = 0;
        for (int ms = 0; ms < 20'000; ms += interval) {
            violations += checker.on_arrival(from(vm, ms)).size();
        }
        BOOST_TEST((violations > 0) == (interval == 300));
    }
}

BOOST_AUTO_TEST_CASE(a_limit_binds_only_vms_that_forwarded_it_and_have_not_restarted) {
    notice_checker checker;
    checker.on_limit_announced("i-a0", 1.0, at(0));
    checker.on_limit_forwarded("i-a0", vm, at(10));
    for (int ms = 4'000; ms < 8'000; ms += 100) {
        BOOST_TEST(checker.on_arrival(from({"edge-1", 1}, ms)).empty());
        BOOST_TEST(checker.on_arrival(from({"edge-0", 2}, ms)).empty());
    }
}

BOOST_AUTO_TEST_CASE(requests_long_after_a_leave_announcement_are_reported) {
    notice_checker checker;
    checker.on_leaving_forwarded("i-a0", vm, at(0));
    BOOST_TEST(checker.on_arrival(from(vm, 2'400)).empty());
    BOOST_TEST(checker.on_arrival(from(vm, 2'600)).size() == 1U);
    checker.on_restart("i-a0");
    BOOST_TEST(checker.on_arrival(from(vm, 2'700)).empty());
}

BOOST_AUTO_TEST_CASE(a_third_request_during_a_pause_is_reported) {
    notice_checker checker;
    checker.on_pause("i-a0", vm, at(0), milliseconds(2'000));
    for (const int ms : {100, 200, 300, 600, 700, 2'100, 2'200, 2'300}) {
        BOOST_TEST(checker.on_arrival(from(vm, ms)).empty());
    }
    checker.on_pause("i-a0", vm, at(3'000), milliseconds(2'000));
    BOOST_TEST(checker.on_arrival(from(vm, 3'600)).empty());
    BOOST_TEST(checker.on_arrival(from(vm, 3'700)).empty());
    BOOST_TEST(checker.on_arrival(from(vm, 3'800)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::soak::testing
