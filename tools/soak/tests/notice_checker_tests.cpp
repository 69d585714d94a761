#include <boost/test/unit_test.hpp>

#include "../notice_checker.h"

namespace radishpulley::soak::testing {
namespace {

using std::chrono::milliseconds;

time_point at(int ms) {
    return time_point() + std::chrono::hours(1) + milliseconds(ms);
}

const vm_period vm{"edge-0", 1};

arrival from(const vm_period& who, int ms) {
    return {"i-a0", who, at(ms), at(ms)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(notice_checker_tests)

BOOST_AUTO_TEST_CASE(requests_over_a_limit_are_found_and_those_at_it_are_not) {
    for (const int gap : {300, 1'000}) {
        notice_checker it;
        it.on_limit("i-a0", 1.0, at(0));
        it.on_limit_passed_on("i-a0", vm, at(10));
        std::size_t found = 0;
        for (int ms = 0; ms < 20'000; ms += gap) {
            found += it.on_arrival(from(vm, ms)).size();
        }
        BOOST_TEST((found > 0) == (gap == 300));
    }
}

BOOST_AUTO_TEST_CASE(a_limit_binds_only_who_passed_it_on_and_since_did_not_restart) {
    notice_checker it;
    it.on_limit("i-a0", 1.0, at(0));
    it.on_limit_passed_on("i-a0", vm, at(10));
    for (int ms = 4'000; ms < 8'000; ms += 100) {
        BOOST_TEST(it.on_arrival(from({"edge-1", 1}, ms)).empty());
        BOOST_TEST(it.on_arrival(from({"edge-0", 2}, ms)).empty());
    }
}

BOOST_AUTO_TEST_CASE(requests_long_after_an_endpoint_said_it_is_leaving_are_found) {
    notice_checker it;
    it.on_leaving_passed_on("i-a0", vm, at(0));
    BOOST_TEST(it.on_arrival(from(vm, 2'400)).empty());
    BOOST_TEST(it.on_arrival(from(vm, 2'600)).size() == 1U);
    it.on_restart("i-a0");
    BOOST_TEST(it.on_arrival(from(vm, 2'700)).empty());
}

BOOST_AUTO_TEST_CASE(a_third_request_in_a_pause_is_found) {
    notice_checker it;
    it.on_pause("i-a0", vm, at(0), milliseconds(2'000));
    for (const int ms : {100, 200, 300, 600, 700, 2'100, 2'200, 2'300}) {
        BOOST_TEST(it.on_arrival(from(vm, ms)).empty());
    }
    it.on_pause("i-a0", vm, at(3'000), milliseconds(2'000));
    BOOST_TEST(it.on_arrival(from(vm, 3'600)).empty());
    BOOST_TEST(it.on_arrival(from(vm, 3'700)).empty());
    BOOST_TEST(it.on_arrival(from(vm, 3'800)).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::soak::testing
