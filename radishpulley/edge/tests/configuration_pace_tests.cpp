#include <boost/test/unit_test.hpp>

#include "../src/catch_up_schedule.h"
#include "../src/configuration_lag.h"
#include "../src/paced_call.h"

namespace radishpulley::edge::testing {
namespace {

using std::chrono::milliseconds;

struct fixture {
    boost::asio::io_context loop;
    virtual_clock time;
    duration task_length{0};
    int runs = 0;
    paced_call call{loop, time, {4, milliseconds(40)}, [this] {
                        ++runs;
                        time.advance(task_length);
                    }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_pace_tests)

// Guards against a storm of changes of a large configuration that takes the whole processor: each
// change of one route decoded all of them.
BOOST_FIXTURE_TEST_CASE(requests_during_the_pause_after_a_long_run_become_one, fixture) {
    task_length = milliseconds(5);
    for (int i = 0; i < 25; ++i) {
        call.request();
    }
    BOOST_TEST(runs == 1);
    time.advance(milliseconds(20));
    loop.run();
    BOOST_TEST(runs == 2);
}

BOOST_FIXTURE_TEST_CASE(a_request_after_the_pause_runs_at_once, fixture) {
    task_length = milliseconds(5);
    call.request();
    time.advance(milliseconds(20));
    call.request();
    BOOST_TEST(runs == 2);
    // However long a run took, the pause after it is bounded.
    task_length = milliseconds(900);
    time.advance(milliseconds(20));
    call.request();
    time.advance(milliseconds(40));
    call.request();
    BOOST_TEST(runs == 4);
}

BOOST_FIXTURE_TEST_CASE(a_pause_can_be_cut_short, fixture) {
    task_length = milliseconds(5);
    call.request();
    call.finish_pause();
    BOOST_TEST(runs == 1);
    call.request();
    call.finish_pause();
    BOOST_TEST(runs == 2);
    loop.run();
    BOOST_TEST(runs == 2);
}

BOOST_FIXTURE_TEST_CASE(short_runs_are_not_delayed, fixture) {
    for (int i = 0; i < 25; ++i) {
        call.request();
    }
    BOOST_TEST(runs == 25);
}

BOOST_AUTO_TEST_CASE(the_lag_begins_when_a_newer_version_is_first_heard_of) {
    virtual_clock time;
    configuration_lag it;
    BOOST_TEST((it.on_in_force(4, time.now()) == duration::zero()));
    it.on_heard(4, time.now());
    time.advance(milliseconds(100));
    BOOST_TEST((it.lag(time.now()) == duration::zero()));
    it.on_heard(6, time.now());
    time.advance(milliseconds(100));
    it.on_heard(7, time.now());
    BOOST_TEST((it.lag(time.now()) == milliseconds(100)));
    BOOST_TEST((it.on_in_force(6, time.now()) == milliseconds(100)));
    time.advance(milliseconds(30));
    BOOST_TEST((it.on_in_force(7, time.now()) == milliseconds(30)));
    BOOST_TEST((it.lag(time.now()) == duration::zero()));
}

// Guards against hundreds of VMs that all send their configuration to one that is behind.
BOOST_AUTO_TEST_CASE(two_vms_send_to_one_that_is_behind_once_a_second) {
    virtual_clock time;
    std::vector<vm_id> serving;
    for (int i = 0; i < 100; ++i) {
        serving.emplace_back("v" + std::to_string(i));
    }
    std::map<vm_id, catch_up_schedule> schedules;
    for (const vm_id& it : serving) {
        schedules[it].set_vms(it, serving);
    }
    const auto count_senders = [&] {
        return std::count_if(serving.begin(), serving.end(), [&](const vm_id& it) {
            return schedules[it].try_send(vm_id("behind"), time.now());
        });
    };
    BOOST_TEST(count_senders() == 2);
    time.advance(milliseconds(999));
    BOOST_TEST(count_senders() == 0);
    time.advance(milliseconds(1));
    BOOST_TEST(count_senders() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
