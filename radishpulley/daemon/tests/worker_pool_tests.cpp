#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <vector>

#include "daemon/worker_pool.h"

using namespace radishpulley::daemon;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(worker_pool_suite)

// Each blocked task waits for the next one, so all threads must take one.
BOOST_AUTO_TEST_CASE(blocked_tasks_do_not_keep_others_from_running) {
    constexpr std::size_t threads = 4;
    worker_pool pool(threads);
    std::vector<std::promise<void>> steps(threads);
    for (std::size_t i = 0; i + 1 < threads; ++i) {
        pool.post([&, i] {
            steps[i + 1].get_future().wait();
            steps[i].set_value();
        });
    }
    pool.post([&] { steps[threads - 1].set_value(); });
    steps[0].get_future().wait();
}

BOOST_AUTO_TEST_CASE(task_for_now_passes_one_for_later) {
    worker_pool pool(2);
    std::atomic<bool> later_ran{false};
    pool.post_after(1h, [&] { later_ran = true; });
    std::promise<void> ran;
    pool.post([&] { ran.set_value(); });
    ran.get_future().wait();
    BOOST_TEST(!later_ran);
}

BOOST_AUTO_TEST_CASE(every_posted_task_runs_once) {
    std::atomic<int> n{0};
    std::promise<void> all;
    worker_pool pool(4);
    for (int i = 0; i < 1000; ++i) {
        pool.post_after(std::chrono::microseconds(i % 7), [&] {
            if (++n == 1000) {
                all.set_value();
            }
        });
    }
    all.get_future().wait();
    BOOST_TEST(n == 1000);
}

BOOST_AUTO_TEST_CASE(stop_drops_what_has_not_begun) {
    std::atomic<int> n{0};
    worker_pool pool(2);
    pool.post_after(1h, [&] { ++n; });
    pool.repeat(1h, [&] { ++n; });
    pool.stop();
    BOOST_TEST(n == 0);
}

BOOST_AUTO_TEST_SUITE_END()
