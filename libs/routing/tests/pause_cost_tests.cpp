#include <boost/test/unit_test.hpp>

#include "routing/pause_cost.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;

engine_speed speed(double prefill_tokens_per_ms) {
    engine_speed out;
    out.prefill_tokens_per_ms = prefill_tokens_per_ms;
    out.pause_slowdown = milliseconds(2);
    return out;
}

const engine_speed usual = speed(34.5);
const pause_cost_settings settings;

endpoint_work streams(std::uint32_t n, milliseconds gap_target, std::uint64_t unread_tokens = 0) {
    return {n, unread_tokens, 0, paced_stream_counts(gap_target, n)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(pause_cost_tests)

// Guards against long prompts beside chat streams with a target of 300 ms, which became late.
BOOST_AUTO_TEST_CASE(a_long_prompt_costs_each_stream_with_a_short_target) {
    const added_prefill prompt{20'000, 1.25, milliseconds(0)};
    const duration one = pause_cost(prompt, streams(1, milliseconds(300)), usual, settings);
    const duration ten = pause_cost(prompt, streams(10, milliseconds(300)), usual, settings);
    BOOST_TEST((one == settings.late_stream_cost));
    BOOST_TEST((ten == 10 * settings.late_stream_cost));
    BOOST_TEST(
        (pause_cost(prompt, streams(1, milliseconds(1'000)), usual, settings) == duration::zero()));
    BOOST_TEST((pause_cost(prompt, {10, 0, 0}, usual, settings) == duration::zero()));
}

// Guards against short prompts that spread over engines because of a cost that they don't cause.
BOOST_AUTO_TEST_CASE(a_short_prompt_costs_nothing) {
    const added_prefill prompt{3'000, 1.05, milliseconds(0)};
    const endpoint_work busy = streams(20, milliseconds(300));
    BOOST_TEST((pause_cost(prompt, busy, usual, settings) == duration::zero()));
}

// Guards against a wave of prompts of medium length, each of which alone makes no stream late.
BOOST_AUTO_TEST_CASE(a_prompt_costs_streams_that_queued_prompts_bring_near_their_target) {
    const added_prefill prompt{5'000, 1, milliseconds(0)};
    const endpoint_work queued = streams(4, milliseconds(300), 7'000);
    BOOST_TEST((pause_cost(prompt, queued, usual, settings) > 2 * settings.late_stream_cost));
}

// Guards against prompts that avoid an engine whose streams are late already and make those of
// other engines late.
BOOST_AUTO_TEST_CASE(streams_that_are_late_already_cost_nothing_more) {
    const added_prefill prompt{20'000, 1, milliseconds(0)};
    const endpoint_work late = streams(4, milliseconds(250), 40'000);
    BOOST_TEST((pause_cost(prompt, late, usual, settings) == duration::zero()));
}

// Guards against a chat stream with a target of 300 ms beside queued long prompts.
BOOST_AUTO_TEST_CASE(prefill_that_is_queued_costs_a_new_stream) {
    const added_prefill chat{200, 1, milliseconds(300)};
    const endpoint_work queued{2, 30'000, 0, {}};
    BOOST_TEST((pause_cost(chat, queued, usual, settings) > settings.late_stream_cost / 2));
    BOOST_TEST((pause_cost(chat, {2, 0, 0}, usual, settings) == duration::zero()));
    const added_prefill patient{200, 1, milliseconds(1'000)};
    BOOST_TEST((pause_cost(patient, queued, usual, settings) == duration::zero()));
}

// Guards against a prompt that is sent to a slow engine, where it makes streams late that would be
// in time at an engine of the usual speed.
BOOST_AUTO_TEST_CASE(a_slow_engine_makes_more_streams_late) {
    const added_prefill prompt{12'000, 1, milliseconds(0)};
    const endpoint_work work = streams(5, milliseconds(500));
    const engine_speed slow = speed(usual.prefill_tokens_per_ms / 1.6);
    BOOST_TEST((pause_cost(prompt, work, usual, settings) == duration::zero()));
    BOOST_TEST((pause_cost(prompt, work, slow, settings) > settings.late_stream_cost));
}

// Guards against a chat stream at an engine whose pauses exceed its target without any prefill.
BOOST_AUTO_TEST_CASE(observed_pauses_count_towards_the_target) {
    const added_prefill chat{200, 1, milliseconds(300)};
    engine_speed observed = usual;
    observed.pause_base = milliseconds(320);
    BOOST_TEST((pause_cost(chat, {5, 0, 0}, usual, settings) == duration::zero()));
    BOOST_TEST((pause_cost(chat, {5, 0, 0}, observed, settings) > settings.late_stream_cost / 2));
}

// Guards against one stream with a short target that makes many with long ones count as late.
BOOST_AUTO_TEST_CASE(each_stream_counts_by_its_own_target) {
    const added_prefill prompt{20'000, 1, milliseconds(0)};
    endpoint_work work = streams(10, milliseconds(800));
    work += streams(1, milliseconds(200));
    BOOST_TEST((pause_cost(prompt, work, usual, settings) == settings.late_stream_cost));
    work -= streams(1, milliseconds(200));
    BOOST_TEST((pause_cost(prompt, work, usual, settings) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(the_share_of_late_pauses_grows_around_the_target) {
    const milliseconds target(500);
    BOOST_TEST(late_share(milliseconds(0), target, 0.2) == 0);
    BOOST_TEST(late_share(milliseconds(399), target, 0.2) == 0);
    BOOST_TEST(late_share(milliseconds(500), target, 0.2) == 0.5,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(late_share(milliseconds(601), target, 0.2) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
