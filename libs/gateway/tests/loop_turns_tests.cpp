#include <boost/test/unit_test.hpp>

#include <vector>

#include <boost/asio/post.hpp>

#include "gateway/loop_turns.h"

namespace radishpulley::gateway::testing {
namespace {

using namespace std::chrono_literals;

struct fixture {
    void run() {
        loop.restart();
        loop.run();
    }
    // Handles input at once, and then does something that takes `work`.
    void handle_input(duration work) {
        boost::asio::post(loop, [this, work] {
            turns.note_input();
            unread.push_back(turns.max_unread());
            time.advance(work);
        });
    }

    boost::asio::io_context loop;
    virtual_clock time;
    std::vector<duration> lengths;
    std::vector<duration> unread;
    loop_turns turns{loop, time, [this](duration it) { lengths.push_back(it); }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(loop_turns_tests)

// Guards against input that counts as new though it waited for the input handled before it.
BOOST_FIXTURE_TEST_CASE(input_of_a_busy_turn_may_have_lain_unread_since_it_began, fixture) {
    handle_input(100ms);
    handle_input(100ms);
    handle_input(100ms);
    run();
    const std::vector<duration> expected = {0ms, 100ms, 200ms};
    BOOST_TEST((unread == expected));
    BOOST_TEST((lengths.front() == duration(300ms)));
}

BOOST_FIXTURE_TEST_CASE(input_may_have_lain_unread_since_the_turn_before, fixture) {
    handle_input(100ms);
    boost::asio::post(loop, [this] { handle_input(50ms); });
    run();
    BOOST_TEST((unread.back() == duration(100ms)));
}

BOOST_FIXTURE_TEST_CASE(an_idle_loop_ends_its_turns_and_forgets_them, fixture) {
    handle_input(100ms);
    run();
    time.advance(1h);
    BOOST_TEST((turns.max_unread() == duration::zero()));
    handle_input(1ms);
    run();
    BOOST_TEST((unread.back() == duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
