#include <boost/test/unit_test.hpp>

#include "../src/process_limits.h"

namespace radishpulley::edge {
namespace {

constexpr std::size_t mebibyte = 1'048'576;
constexpr std::size_t largest_body = 4 * mebibyte;

}  // namespace

BOOST_AUTO_TEST_SUITE(process_limits_tests)

// Guards against limits of the host that take the place of a VM's stated ones.
BOOST_AUTO_TEST_CASE(stated_limits_take_precedence) {
    settings::edge_limits_settings stated;
    stated.memory_bytes = 112 * mebibyte;
    stated.descriptors = 2'870;
    const process_limits it = process_limits_of(stated);
    BOOST_TEST(it.memory_bytes == 112 * mebibyte);
    BOOST_TEST(it.descriptors == 2'870U);
}

// Guards against a budget of zero, which would turn everyone away, where nothing is stated.
BOOST_AUTO_TEST_CASE(limits_that_are_not_stated_are_those_of_the_system) {
    const process_limits it = process_limits_of({});
    BOOST_TEST(it.memory_bytes > mebibyte);
    BOOST_TEST(it.descriptors > 0U);
}

// Guards against a control group without a limit that is taken for one of no memory.
BOOST_AUTO_TEST_CASE(the_limit_of_a_control_group_is_read) {
    BOOST_TEST((parse_memory_limit("117440512") == 112 * mebibyte));
    BOOST_TEST(!parse_memory_limit("max").has_value());
    BOOST_TEST(!parse_memory_limit("").has_value());
    BOOST_TEST(!parse_memory_limit("0").has_value());
}

// Guards against small VMs that can't hold one request of the largest size, with its copy for the
// endpoint and the parts from which it is put together.
BOOST_AUTO_TEST_CASE(the_smallest_vm_holds_the_largest_request) {
    const caller_allowance it = allowance_for_callers({112 * mebibyte, 2'870});
    BOOST_TEST(it.memory_bytes > 3 * largest_body);
    BOOST_TEST(it.memory_bytes < 112 * mebibyte / 2);
    BOOST_TEST(it.connections > 1'000U);
    BOOST_TEST(it.connections < 2'870U - 200U);
}

// Guards against an underflow where there are fewer descriptors than files need.
BOOST_AUTO_TEST_CASE(few_descriptors_leave_a_few_connections) {
    const caller_allowance it = allowance_for_callers({112 * mebibyte, 100});
    BOOST_TEST(it.connections > 0U);
    BOOST_TEST(it.connections < 100U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge
