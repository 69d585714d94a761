#include <boost/test/unit_test.hpp>

#include <random>

#include "routing/load_capacity_estimator.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};
constexpr milliseconds full_speed_time{265};

// A weight store that delivers `capacity` adapters at once at full speed, and a fleet that keeps
// `wanted` loads under way, each used at the moment when it was expected.
class store_of_weights {
public:
    explicit store_of_weights(std::size_t capacity) : capacity_(capacity) {}

    void run(load_capacity_estimator& speed, std::size_t wanted, int rounds) {
        for (int i = 0; i < rounds; ++i) {
            one_round(speed, wanted);
        }
    }

    std::size_t late = 0;

private:
    void one_round(load_capacity_estimator& speed, std::size_t wanted) {
        const double expected = std::max(1.0, slowing(wanted, speed.full_speed_loads()));
        const double real = std::max(1.0, slowing(wanted, capacity_));
        const endpoint_id engine("e");
        for (std::size_t i = 0; i < wanted; ++i) {
            speed.on_ordered(engine, name(i), wanted - 1, now_ + after(expected));
        }
        const time_point used = now_ + after(expected);
        for (std::size_t i = 0; i < wanted; ++i) {
            speed.on_use(engine, name(i), used);
            if (expected < real) {
                ++late;
                speed.on_missing(engine, name(i), used + milliseconds(4));
            }
        }
        now_ = used + std::chrono::seconds(1);
        speed.advance(now_);
    }

    static double slowing(std::size_t loads, std::size_t capacity) {
        return static_cast<double>(loads) / static_cast<double>(capacity);
    }
    static duration after(double slowing) {
        return std::chrono::duration_cast<duration>(full_speed_time * slowing);
    }
    static model_ref name(std::size_t i) { return {"m", "a" + std::to_string(i)}; }

    std::size_t capacity_;
    time_point now_ = start;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(load_speed_tests)

// Rare adapters asked for all at once, before a store that delivers 24 of them at full speed: with
// a fixed figure of eight each load was taken to last three times as long as it does.
BOOST_AUTO_TEST_CASE(a_fast_weight_store_is_found_out_while_rare_adapters_are_asked_for) {
    load_capacity_estimator speed;
    store_of_weights store(24);
    store.run(speed, 24, 4);
    BOOST_TEST(speed.full_speed_loads() >= 24U);
    BOOST_TEST(store.late == 0U);
}

// The same burst before a store that delivers only eight at full speed: the figure stays near it,
// and few requests find their adapter missing.
BOOST_AUTO_TEST_CASE(a_slow_weight_store_is_not_taken_for_a_fast_one) {
    load_capacity_estimator speed;
    store_of_weights store(8);
    store.run(speed, 24, 50);
    BOOST_TEST(speed.full_speed_loads() <= 9U);
    BOOST_TEST(store.late <= 24U * 50 / 4);
}

BOOST_AUTO_TEST_CASE(loads_that_ran_alone_teach_nothing) {
    load_capacity_estimator speed;
    store_of_weights store(24);
    store.run(speed, 2, 100);
    BOOST_TEST(speed.full_speed_loads() == 8U);
}

// Hundreds of engines, each with a holder of its own that sees few loads: a figure that begins low
// made every request wait three times as long as its adapter took.
BOOST_AUTO_TEST_CASE(a_large_fleet_begins_with_its_engines_and_learns_from_the_first_late_load) {
    load_capacity_estimator speed;
    speed.set_engines(117);
    BOOST_TEST(speed.full_speed_loads() == 117U);
    store_of_weights store(40);
    store.run(speed, 60, 1);
    BOOST_TEST(speed.full_speed_loads() <= 60U);
    speed.set_engines(117);
    BOOST_TEST(speed.full_speed_loads() <= 60U);
}

// Loads that run together are late together: one crowd is one sign.
BOOST_AUTO_TEST_CASE(one_crowd_of_late_loads_lowers_the_figure_once) {
    load_speed_settings settings;
    settings.least = 1;
    load_capacity_estimator speed(settings);
    const auto name = [](int i) { return model_ref{"m", std::to_string(i)}; };
    for (int i = 0; i < 40; ++i) {
        speed.on_ordered(endpoint_id("e"), name(i), 39, start);
        speed.on_use(endpoint_id("e"), name(i), start);
    }
    speed.advance(start + milliseconds(500));
    const std::size_t before = speed.full_speed_loads();
    BOOST_TEST(before > 10U);
    for (int i = 0; i < 10; ++i) {
        speed.on_ordered(endpoint_id("e"), name(i), 39, start + milliseconds(500));
        speed.on_missing(endpoint_id("e"), name(i), start + milliseconds(510));
    }
    BOOST_TEST(speed.full_speed_loads() >= before / 2);
    BOOST_TEST(speed.full_speed_loads() < before);
}

// A request that finds an adapter missing long after its load tells of an eviction.
BOOST_AUTO_TEST_CASE(an_adapter_that_left_again_is_no_late_load) {
    load_speed_settings settings;
    settings.least = 1;
    load_capacity_estimator speed(settings);
    speed.on_ordered(endpoint_id("e"), {"m", "a"}, 3, start);
    speed.on_use(endpoint_id("e"), {"m", "a"}, start);
    speed.advance(start + milliseconds(500));
    const std::size_t before = speed.full_speed_loads();
    speed.on_missing(endpoint_id("e"), {"m", "a"}, start + std::chrono::seconds(3));
    BOOST_TEST(speed.full_speed_loads() == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
