#include <boost/test/unit_test.hpp>

#include <random>

#include "routing/load_capacity_estimator.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};
constexpr milliseconds full_speed_time{265};

// A weight store that delivers `capacity` adapters concurrently at full speed, and a fleet that
// keeps `wanted` loads running and uses each at its expected time.
class simulated_weight_store {
public:
    explicit simulated_weight_store(std::size_t capacity) : capacity_(capacity) {}

    void run(load_capacity_estimator& estimator, std::size_t wanted, int rounds) {
        for (int i = 0; i < rounds; ++i) {
            run_round(estimator, wanted);
        }
    }

    std::size_t late = 0;

private:
    void run_round(load_capacity_estimator& estimator, std::size_t wanted) {
        const double expected_slowdown =
            std::max(1.0, slowdown(wanted, estimator.full_speed_loads()));
        const double actual_slowdown = std::max(1.0, slowdown(wanted, capacity_));
        const endpoint_id engine("e");
        for (std::size_t i = 0; i < wanted; ++i) {
            estimator.on_ordered(engine, name(i), wanted - 1, now_ + after(expected_slowdown));
        }
        const time_point used_at = now_ + after(expected_slowdown);
        for (std::size_t i = 0; i < wanted; ++i) {
            estimator.on_use(engine, name(i), used_at);
            if (expected_slowdown < actual_slowdown) {
                ++late;
                estimator.on_missing(engine, name(i), used_at + milliseconds(4));
            }
        }
        now_ = used_at + std::chrono::seconds(1);
        estimator.advance(now_);
    }

    static double slowdown(std::size_t loads, std::size_t capacity) {
        return static_cast<double>(loads) / static_cast<double>(capacity);
    }
    static duration after(double slowdown) {
        return std::chrono::duration_cast<duration>(full_speed_time * slowdown);
    }
    static model_ref name(std::size_t i) { return {"m", "a" + std::to_string(i)}; }

    std::size_t capacity_;
    time_point now_ = start;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(load_capacity_estimator_tests)

// Guards against expecting three times the actual load time: with a fixed estimate of eight, a
// burst of rare adapters at a store that delivers 24 concurrently was assumed to be that slow.
BOOST_AUTO_TEST_CASE(a_fast_weight_store_is_detected_while_rare_adapters_are_requested) {
    load_capacity_estimator estimator;
    simulated_weight_store store(24);
    store.run(estimator, 24, 4);
    BOOST_TEST(estimator.full_speed_loads() >= 24U);
    BOOST_TEST(store.late == 0U);
}

// The same burst at a store that delivers only eight concurrently: the estimate stays close to
// eight, and few requests find their adapter missing.
BOOST_AUTO_TEST_CASE(a_slow_weight_store_is_not_overestimated) {
    load_capacity_estimator estimator;
    simulated_weight_store store(8);
    store.run(estimator, 24, 50);
    BOOST_TEST(estimator.full_speed_loads() <= 9U);
    BOOST_TEST(store.late <= 24U * 50 / 4);
}

BOOST_AUTO_TEST_CASE(loads_below_the_estimate_do_not_change_it) {
    load_capacity_estimator estimator;
    simulated_weight_store store(24);
    store.run(estimator, 2, 100);
    BOOST_TEST(estimator.full_speed_loads() == 8U);
}

// Guards against requests that wait three times as long as their adapter needs: with hundreds of
// engines, each holder sees few loads, so an estimate that starts low stays low.
BOOST_AUTO_TEST_CASE(a_large_fleet_starts_at_its_engine_count_and_adapts_to_the_first_late_load) {
    load_capacity_estimator estimator;
    estimator.set_engines(117);
    BOOST_TEST(estimator.full_speed_loads() == 117U);
    simulated_weight_store store(40);
    store.run(estimator, 60, 1);
    BOOST_TEST(estimator.full_speed_loads() <= 60U);
    estimator.set_engines(117);
    BOOST_TEST(estimator.full_speed_loads() <= 60U);
}

// Concurrent loads are late together and count as one signal.
BOOST_AUTO_TEST_CASE(concurrent_late_loads_lower_the_estimate_once) {
    load_capacity_settings settings;
    settings.min_loads = 1;
    load_capacity_estimator estimator(settings);
    const auto name = [](int i) { return model_ref{"m", std::to_string(i)}; };
    for (int i = 0; i < 40; ++i) {
        estimator.on_ordered(endpoint_id("e"), name(i), 39, start);
        estimator.on_use(endpoint_id("e"), name(i), start);
    }
    estimator.advance(start + milliseconds(500));
    const std::size_t before = estimator.full_speed_loads();
    BOOST_TEST(before > 10U);
    for (int i = 0; i < 10; ++i) {
        estimator.on_ordered(endpoint_id("e"), name(i), 39, start + milliseconds(500));
        estimator.on_missing(endpoint_id("e"), name(i), start + milliseconds(510));
    }
    BOOST_TEST(estimator.full_speed_loads() >= before / 2);
    BOOST_TEST(estimator.full_speed_loads() < before);
}

// A request that finds an adapter missing long after its load indicates an eviction.
BOOST_AUTO_TEST_CASE(an_evicted_adapter_is_not_a_late_load) {
    load_capacity_settings settings;
    settings.min_loads = 1;
    load_capacity_estimator estimator(settings);
    estimator.on_ordered(endpoint_id("e"), {"m", "a"}, 3, start);
    estimator.on_use(endpoint_id("e"), {"m", "a"}, start);
    estimator.advance(start + milliseconds(500));
    const std::size_t before = estimator.full_speed_loads();
    estimator.on_missing(endpoint_id("e"), {"m", "a"}, start + std::chrono::seconds(3));
    BOOST_TEST(estimator.full_speed_loads() == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
