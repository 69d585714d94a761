#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "routing/load_time_estimator.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
constexpr milliseconds network_delay{4};
constexpr milliseconds load_interval{100};

// A weight store that loads `capacity` adapters at full speed and is slower in proportion beyond,
// and callers that use each adapter when it is expected.
struct simulated_store {
    duration load_time;
    std::size_t capacity = 64;

    duration actual(std::size_t loads) const {
        const double slowdown = static_cast<double>(loads) / static_cast<double>(capacity);
        return std::chrono::duration_cast<duration>(load_time * std::max(1.0, slowdown));
    }

    // Runs `rounds` times `loads` concurrent loads.
    void run(load_time_estimator& estimator, std::size_t loads, int rounds) {
        for (int i = 0; i < rounds; ++i) {
            run_round(estimator, loads);
            now += load_interval;
        }
    }

    void run_round(load_time_estimator& estimator, std::size_t loads) {
        duration elapsed = estimator.plan(loads, now);
        while (elapsed < actual(loads)) {
            ++missing;
            estimator.on_missing(loads, elapsed + network_delay, now + elapsed);
            elapsed = std::max(elapsed + milliseconds(10), estimator.expected(loads));
        }
        estimator.on_present(loads, elapsed, now + elapsed);
        now += elapsed;
    }

    time_point now = start;
    int missing = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(load_time_estimator_tests)

// Guards against loads that take far longer than assumed: each request was sent too early several
// times and then refused.
BOOST_AUTO_TEST_CASE(slow_loads_are_learned_from_a_few_missing_adapters) {
    load_time_estimator estimator;
    simulated_store store{milliseconds(900)};
    store.run(estimator, 4, 3);
    BOOST_TEST(store.missing <= 8);
    BOOST_TEST((estimator.expected(4) >= milliseconds(900)));
    store.run(estimator, 4, 40);
    BOOST_TEST(store.missing <= 12);
    BOOST_TEST((estimator.expected(4) <= milliseconds(1'000)));
}

BOOST_AUTO_TEST_CASE(fast_loads_shorten_the_estimate) {
    load_time_estimator estimator;
    simulated_store store{milliseconds(80)};
    // About half a minute.
    store.run(estimator, 2, 120);
    BOOST_TEST((estimator.expected(2) >= milliseconds(80)));
    BOOST_TEST((estimator.expected(2) <= milliseconds(100)));
}

// Guards against an estimate that is lowered until it fails, over and over: each failure costs a
// caller a rejected request.
BOOST_AUTO_TEST_CASE(adapters_are_rarely_missing_in_the_steady_state) {
    load_time_estimator estimator;
    simulated_store store{milliseconds(250)};
    store.run(estimator, 3, 100);
    store.missing = 0;
    // About seven minutes.
    store.run(estimator, 3, 1'200);
    BOOST_TEST(store.missing <= 6);
}

BOOST_AUTO_TEST_CASE(loads_that_become_slower_are_followed) {
    load_time_estimator estimator;
    simulated_store store{milliseconds(250)};
    store.run(estimator, 3, 100);
    store.load_time = milliseconds(700);
    store.missing = 0;
    store.run(estimator, 3, 20);
    BOOST_TEST(store.missing <= 7);
    BOOST_TEST((estimator.expected(3) >= milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(a_store_of_any_width_is_learned) {
    load_time_estimator estimator;
    simulated_store store{milliseconds(250), 24};
    store.run(estimator, 24, 40);
    BOOST_TEST((estimator.expected(24) <= milliseconds(300)));
    BOOST_TEST(store.missing <= 4);
}

BOOST_AUTO_TEST_CASE(a_narrow_store_slows_only_concurrent_loads) {
    load_time_estimator estimator;
    simulated_store store{milliseconds(250), 8};
    store.run(estimator, 4, 20);
    store.run(estimator, 32, 20);
    BOOST_TEST((estimator.expected(32) >= milliseconds(1'000)));
    BOOST_TEST((estimator.expected(32) <= milliseconds(1'250)));
    BOOST_TEST((estimator.expected(4) <= milliseconds(300)));
    // Beyond what was observed, a saturated store is slower in proportion.
    BOOST_TEST((estimator.expected(64) >= milliseconds(1'900)));
}

BOOST_AUTO_TEST_CASE(an_adapter_missing_at_few_loads_raises_the_estimate_for_more) {
    load_time_estimator estimator;
    estimator.on_present(16, milliseconds(240), start);
    estimator.on_missing(2, milliseconds(400), start);
    BOOST_TEST((estimator.expected(16) > milliseconds(400)));
    BOOST_TEST((estimator.expected(2) > milliseconds(400)));
}

// Guards against an estimate that multiplies because many loads of one moment are late together.
BOOST_AUTO_TEST_CASE(loads_that_are_late_together_raise_the_estimate_once) {
    load_time_estimator estimator;
    for (int i = 0; i < 50; ++i) {
        estimator.on_missing(8, milliseconds(260 + i / 10), start);
    }
    BOOST_TEST((estimator.expected(8) <=
                std::chrono::duration<double>(0.265) * load_time_settings().growth));
}

BOOST_AUTO_TEST_CASE(a_request_that_came_late_tells_nothing) {
    load_time_estimator estimator;
    const duration before = estimator.expected(1);
    estimator.on_present(1, seconds(5), start);
    BOOST_TEST((estimator.expected(1) == before));
}

BOOST_AUTO_TEST_CASE(estimates_of_peers_are_used_without_recent_observations) {
    load_time_estimator estimator;
    estimator.on_peer_estimate(4, milliseconds(900), start);
    BOOST_TEST((estimator.expected(4) == milliseconds(900)));
    estimator.on_present(4, milliseconds(500), start);
    const duration own = estimator.expected(4);
    estimator.on_peer_estimate(4, milliseconds(2'000), start);
    BOOST_TEST((estimator.expected(4) == own));
    estimator.on_peer_estimate(4, milliseconds(2'000), start + seconds(60));
    BOOST_TEST((estimator.expected(4) == milliseconds(2'000)));
}

// Guards against a clock that jumps or a load that never ends.
BOOST_AUTO_TEST_CASE(observations_outside_of_the_bounds_are_ignored) {
    load_time_estimator estimator;
    const duration before = estimator.expected(1);
    estimator.on_missing(1, std::chrono::hours(20), start);
    estimator.on_missing(1, milliseconds(-5), start);
    estimator.on_present(1, duration::zero(), start);
    estimator.on_present(0, milliseconds(-1), start);
    estimator.on_peer_estimate(1, duration::max(), start);
    BOOST_TEST((estimator.expected(1) == before));
    BOOST_TEST(estimator.ignored() == 5U);
    for (int i = 0; i < 100; ++i) {
        estimator.on_missing(100'000, estimator.expected(100'000), start);
    }
    BOOST_TEST((estimator.expected(100'000) <= seconds(20)));
    for (int i = 0; i < 1'000; ++i) {
        estimator.on_present(1, milliseconds(1), start);
    }
    BOOST_TEST((estimator.expected(1) >= milliseconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
