#include <boost/test/unit_test.hpp>

#include "gateway/memory_budget.h"

namespace radishpulley::gateway {
namespace {

using std::chrono::milliseconds;

constexpr auto long_time = milliseconds(10'000);

struct fixture {
    memory_budget::holder_id add(std::size_t bytes, holder_wait wait) {
        const auto id = budget.add(now);
        budget.set_wait(id, wait, now);
        budget.set_held(id, bytes);
        return id;
    }

    memory_budget budget{1'000};
    time_point now{milliseconds(1)};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(memory_budget_tests)

// Guards against bytes that stay charged after their holder shrinks or goes.
BOOST_FIXTURE_TEST_CASE(the_sum_follows_every_holder, fixture) {
    const auto a = add(600, holder_wait::for_caller);
    const auto b = add(600, holder_wait::for_caller);
    BOOST_TEST(budget.held() == 1'200U);
    BOOST_TEST(budget.is_short());
    budget.set_held(a, 100);
    BOOST_TEST(!budget.is_short());
    budget.remove(b);
    BOOST_TEST(budget.held() == 100U);
    BOOST_TEST(budget.count() == 1U);
}

// Guards against charges for a holder that was removed, which nobody would take back.
BOOST_FIXTURE_TEST_CASE(a_removed_holder_is_charged_nothing, fixture) {
    const auto a = add(10, holder_wait::for_caller);
    budget.remove(a);
    budget.set_held(a, 500);
    budget.remove(a);
    BOOST_TEST(budget.held() == 0U);
}

// Guards against ordinary callers that are turned away in favour of one that stopped sending.
BOOST_FIXTURE_TEST_CASE(a_caller_without_progress_goes_before_a_larger_one_with_progress, fixture) {
    const auto stalled = add(300, holder_wait::for_caller);
    const auto moving = add(800, holder_wait::for_caller);
    now += long_time;
    budget.note_moved(moving, 4'096, now);
    BOOST_TEST((budget.holder_to_turn_away(now) == stalled));
}

// Guards against many small callers that are turned away before the large one that fills memory.
BOOST_FIXTURE_TEST_CASE(of_equal_callers_the_one_that_holds_most_goes, fixture) {
    add(300, holder_wait::for_caller);
    const auto large = add(800, holder_wait::for_caller);
    add(200, holder_wait::for_caller);
    BOOST_TEST((budget.holder_to_turn_away(now) == large));
    now += long_time;
    BOOST_TEST((budget.holder_to_turn_away(now) == large));
}

// Guards against callers that keep their memory by sending a byte now and then.
BOOST_FIXTURE_TEST_CASE(single_bytes_are_no_progress, fixture) {
    const auto slow_sender = add(300, holder_wait::for_caller);
    const auto moving = add(800, holder_wait::for_caller);
    for (int i = 0; i < 20; ++i) {
        now += milliseconds(100);
        budget.note_moved(slow_sender, 1, now);
        budget.note_moved(moving, 4'096, now);
    }
    BOOST_TEST((budget.holder_to_turn_away(now) == slow_sender));
}

// Guards against requests that are turned away because their endpoint takes long.
BOOST_FIXTURE_TEST_CASE(a_caller_that_waits_for_an_endpoint_makes_progress, fixture) {
    add(800, holder_wait::for_others);
    const auto stalled = add(300, holder_wait::for_caller);
    now += long_time;
    BOOST_TEST((budget.holder_to_turn_away(now) == stalled));
}

// Guards against a response that counts as stalled at once after a long wait for its endpoint.
BOOST_FIXTURE_TEST_CASE(what_a_caller_waits_for_begins_anew_with_each_change, fixture) {
    const auto a = add(800, holder_wait::for_others);
    now += long_time;
    budget.set_wait(a, holder_wait::for_caller, now);
    BOOST_TEST(!budget.connection_to_close(now).has_value());
}

// Guards against a search that never ends, where nobody holds anything that could be freed.
BOOST_FIXTURE_TEST_CASE(holders_of_nothing_are_not_turned_away, fixture) {
    add(0, holder_wait::for_caller);
    BOOST_TEST(!budget.holder_to_turn_away(now).has_value());
}

// Guards against closing connections in use while others lie idle.
BOOST_FIXTURE_TEST_CASE(the_connection_that_is_idle_longest_is_closed_first, fixture) {
    add(10, holder_wait::for_caller);
    now += milliseconds(100);
    const auto oldest = add(10, holder_wait::idle);
    now += milliseconds(100);
    add(10, holder_wait::idle);
    now += long_time;
    BOOST_TEST((budget.connection_to_close(now) == oldest));
}

// Guards against slow heads that take all connections.
BOOST_FIXTURE_TEST_CASE(without_idle_connections_the_one_longest_without_progress_is_closed,
                        fixture) {
    add(10, holder_wait::for_others);
    const auto stalled = add(10, holder_wait::for_caller);
    now += milliseconds(100);
    add(10, holder_wait::for_caller);
    now += long_time;
    BOOST_TEST((budget.connection_to_close(now) == stalled));
}

// Guards against requests in progress that make room for new connections.
BOOST_FIXTURE_TEST_CASE(connections_with_progress_are_not_closed, fixture) {
    add(10, holder_wait::for_others);
    now += long_time;
    add(10, holder_wait::for_caller);
    BOOST_TEST(!budget.connection_to_close(now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway
