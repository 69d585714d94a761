#include <algorithm>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "routing/engine_speed.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
const service_id chat("chat");

engine_speed prior() {
    engine_speed out;
    out.prefill_tokens_per_ms = 30;
    out.batch_slowdown = milliseconds(2);
    out.pause_slowdown = milliseconds(2);
    out.request_time = milliseconds(900);
    return out;
}

duration from_ms(double ms) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms));
}

double to_ms(duration it) {
    return std::chrono::duration<double, std::milli>(it).count();
}

double expected_ms(const engine_speed& speed, const engine_load& load) {
    return to_ms(speed.first_event_overhead) +
           static_cast<double>(load.prefill_work) / speed.prefill_tokens_per_ms +
           to_ms(speed.batch_slowdown) * load.requests;
}

// Engines whose times are `slowness` times those of a true common speed, observed at random loads.
struct engines {
    explicit engines(unsigned seed) : random(seed) {}

    endpoint_id id(std::size_t i) const { return endpoint_id("e" + std::to_string(i)); }

    engine_load draw_load() {
        std::uniform_int_distribution<std::uint64_t> tokens(500, 20'000);
        std::uniform_int_distribution<std::uint32_t> requests(0, 30);
        return {tokens(random), requests(random)};
    }

    double true_ms(std::size_t i, const engine_load& load) {
        std::uniform_real_distribution<double> noise(0.9, 1.1);
        return slowness.at(i) * noise(random) *
               (30 + static_cast<double>(load.prefill_work) / 25 + 3.0 * load.requests);
    }

    void observe(std::size_t n, duration interval) {
        std::uniform_int_distribution<std::size_t> any(0, slowness.size() - 1);
        std::bernoulli_distribution is_outlier(outlier_share);
        for (std::size_t k = 0; k < n; ++k) {
            const std::size_t i = any(random);
            const engine_load load = draw_load();
            const double time = true_ms(i, load) * (is_outlier(random) ? 10 : 1);
            now += interval;
            estimator.on_first_event(chat, id(i), load, from_ms(time), now);
        }
    }

    // Returns by how much estimates are too short, the worst first.
    std::vector<double> shortfalls() {
        std::vector<double> out;
        for (std::size_t k = 0; k < 1'000; ++k) {
            const std::size_t i = k % slowness.size();
            const engine_load load = draw_load();
            const engine_speed speed = estimator.of_engine(id(i), estimator.common(chat));
            out.push_back(true_ms(i, load) - expected_ms(speed, load));
        }
        std::sort(out.rbegin(), out.rend());
        return out;
    }

    double factor(std::size_t i) const {
        const engine_speed common = estimator.common(chat);
        return common.prefill_tokens_per_ms /
               estimator.of_engine(id(i), common).prefill_tokens_per_ms;
    }

    std::mt19937 random;
    std::vector<double> slowness;
    double outlier_share = 0;
    time_point now = start;
    engine_speed_estimator estimator{prior()};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_speed_tests)

// Guards against choices that change although nothing was observed.
BOOST_AUTO_TEST_CASE(without_observations_the_prior_holds) {
    const engine_speed_estimator it(prior());
    const engine_speed speed = it.of_engine(endpoint_id("e"), it.common(chat));
    BOOST_TEST(speed.prefill_tokens_per_ms == prior().prefill_tokens_per_ms);
    BOOST_TEST((speed.batch_slowdown == prior().batch_slowdown));
    BOOST_TEST((speed.first_event_overhead == duration::zero()));
    BOOST_TEST((speed.pause_base == duration::zero()));
    BOOST_TEST((speed.pause_slowdown == prior().pause_slowdown));
    BOOST_TEST((speed.request_time == prior().request_time));
}

// Guards against estimates that are too short at slow engines: 90 % have to be less than 0.2 of a
// latency target of 1,000 ms too short, at engines of drawn speeds.
BOOST_AUTO_TEST_CASE(few_estimates_are_too_short_at_engines_of_drawn_speed) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        engines it(seed);
        std::uniform_real_distribution<double> slowness(0.8, 1.4);
        for (int i = 0; i < 20; ++i) {
            it.slowness.push_back(slowness(it.random));
        }
        it.observe(600, milliseconds(100));
        const std::vector<double> shortfalls = it.shortfalls();
        BOOST_TEST(shortfalls[shortfalls.size() / 10] < 200);
    }
}

// Guards against estimates that follow a single stalled response.
BOOST_AUTO_TEST_CASE(single_outliers_hardly_change_the_estimates) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
        engines it(seed);
        it.slowness = {1, 1, 1.3, 1};
        it.outlier_share = 0.03;
        it.observe(400, milliseconds(100));
        const engine_load load{10'000, 10};
        const double estimate = expected_ms(it.estimator.common(chat), load);
        BOOST_TEST(estimate > 400);
        BOOST_TEST(estimate < 600);
        BOOST_TEST(it.factor(2) > it.factor(0));
    }
}

// Guards against one response that turns all requests away from an engine.
BOOST_AUTO_TEST_CASE(one_observation_moves_an_engine_by_a_fraction) {
    engines it(1);
    it.estimator.on_first_event(chat, it.id(0), {3'000, 0}, milliseconds(20'000), start);
    const engine_speed speed = it.estimator.of_engine(it.id(0), it.estimator.common(chat));
    BOOST_TEST(expected_ms(speed, {3'000, 0}) < 500);
}

// Guards against an engine that became slow, or fast again, and is judged by its past.
BOOST_AUTO_TEST_CASE(an_engine_that_changes_its_speed_is_followed) {
    engines it(7);
    it.slowness = {1, 1, 1, 1};
    it.observe(400, milliseconds(250));
    it.slowness[0] = 1.6;
    it.observe(800, milliseconds(250));
    BOOST_TEST(it.factor(0) / it.factor(1) > 1.35);
    it.slowness[0] = 1;
    it.observe(800, milliseconds(250));
    BOOST_TEST(it.factor(0) / it.factor(1) < 1.2);
}

// Guards against an engine that is avoided as slow for ever, because nothing is observed there.
BOOST_AUTO_TEST_CASE(an_engine_without_recent_observations_has_the_common_speed) {
    engines it(3);
    it.slowness = {1, 1.4};
    it.observe(200, milliseconds(100));
    BOOST_TEST(it.factor(1) > it.factor(0));
    it.estimator.drop_expired(it.now + seconds(60));
    BOOST_TEST(it.estimator.engines() == 2U);
    it.estimator.drop_expired(it.now + seconds(200));
    BOOST_TEST(it.estimator.engines() == 0U);
    BOOST_TEST(it.factor(1) == 1);
}

// Guards against an estimator that takes pauses which a prefill caused for those of decoding.
BOOST_AUTO_TEST_CASE(pauses_are_related_to_the_load) {
    engines it(5);
    std::uniform_int_distribution<std::uint32_t> requests(1, 40);
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    for (int k = 0; k < 1'000; ++k) {
        const std::uint32_t n = requests(it.random);
        const double pause = (60 + 3.0 * n) * noise(it.random);
        it.now += milliseconds(20);
        it.estimator.on_pause(chat, it.id(0), n, 0, from_ms(pause), it.now);
        it.estimator.on_pause(chat, it.id(0), n, 30'000, from_ms(pause + 350), it.now);
    }
    const engine_speed speed = it.estimator.of_engine(it.id(0), it.estimator.common(chat));
    const double at_20 = to_ms(speed.pause_base + speed.pause_slowdown * 20);
    BOOST_TEST(at_20 > 108);
    BOOST_TEST(at_20 < 132);
}

// Guards against a slow service that makes the engines of another look slow.
BOOST_AUTO_TEST_CASE(services_are_estimated_apart) {
    engines it(2);
    it.slowness = {2, 2};
    it.observe(100, milliseconds(100));
    it.estimator.on_request_end(chat, seconds(3), it.now);
    const engine_speed other = it.estimator.common(service_id("other"));
    BOOST_TEST(other.prefill_tokens_per_ms == prior().prefill_tokens_per_ms);
    BOOST_TEST((other.request_time == prior().request_time));
    BOOST_TEST((it.estimator.common(chat).request_time > prior().request_time));
}

// Guards against state that grows with names of engines that come and go.
BOOST_AUTO_TEST_CASE(the_number_of_engines_is_bounded) {
    engine_speed_settings settings;
    settings.max_engines = 3;
    settings.max_services = 1;
    engine_speed_estimator it(prior(), settings);
    for (int i = 0; i < 10; ++i) {
        it.on_first_event(chat, endpoint_id("e" + std::to_string(i)), {900, 1}, seconds(1), start);
    }
    it.on_first_event(service_id("other"), endpoint_id("f"), {900, 1}, seconds(1), start);
    BOOST_TEST(it.engines() == 3U);
    BOOST_TEST(it.common(service_id("other")).prefill_tokens_per_ms ==
               prior().prefill_tokens_per_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
