#include <boost/test/unit_test.hpp>

#include "routing/adapter_usage_tracker.h"

namespace radishpulley::routing {
namespace {

using namespace std::chrono_literals;

const endpoint_id engine("e");
const model_ref plans{"m", "plans"};
const model_ref briefs{"m", "briefs"};
const time_point now{std::chrono::hours(1)};

// Starts a request that does not tell how long it runs.
bool start(adapter_usage_tracker& it, const model_ref& adapter, request_number request) {
    return it.start(engine, adapter, {request}, now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(adapter_usage_tracker_tests)

BOOST_AUTO_TEST_CASE(an_unreported_use_needs_a_report_at_once) {
    adapter_usage_tracker it;
    BOOST_TEST(start(it, plans, 1));
    it.take_report(engine, now);
    BOOST_TEST(!start(it, plans, 2));
    BOOST_TEST(start(it, briefs, 3));
}

BOOST_AUTO_TEST_CASE(a_report_lists_sent_requests_and_running_adapters) {
    adapter_usage_tracker it;
    start(it, plans, 1);
    start(it, plans, 2);
    start(it, briefs, 3);
    it.end(engine, briefs, 3, now);
    const adapter_usage report = it.take_report(engine, now);
    BOOST_TEST(report.sent.size() == 3U);
    BOOST_REQUIRE_EQUAL(report.running.size(), 1U);
    BOOST_TEST(report.running[0].adapter.adapter == "plans");
    BOOST_TEST(it.take_report(engine, now).sent.empty());
}

BOOST_AUTO_TEST_CASE(the_end_of_all_uses_is_reported_once) {
    adapter_usage_tracker it;
    start(it, plans, 1);
    it.take_report(engine, now);
    it.end(engine, plans, 1, now);
    it.end(engine, plans, 1, now);
    BOOST_TEST(it.engines().size() == 1U);
    BOOST_TEST(it.take_report(engine, now).running.empty());
    BOOST_TEST(it.engines().empty());
}

BOOST_AUTO_TEST_CASE(a_new_holder_receives_a_report_at_once) {
    adapter_usage_tracker it;
    start(it, plans, 1);
    it.take_report(engine, now);
    it.forget_reported(engine);
    BOOST_TEST(start(it, plans, 2));
    BOOST_TEST(it.running(engine, now).size() == 1U);
}

// Guards against a place that is predicted to become free when the first of several requests ends.
BOOST_AUTO_TEST_CASE(three_requests_on_one_adapter_keep_it_in_use_until_the_last_one_ends) {
    adapter_usage_tracker it;
    it.start(engine, plans, {1, 200ms, 50}, now);
    it.start(engine, plans, {2, 200ms, 400}, now);
    it.start(engine, plans, {3, 200ms, 100}, now);
    const auto ends_in = [&](time_point at) { return it.running(engine, at).at(0).ends_in; };
    BOOST_TEST((ends_in(now) == 4'200ms));
    BOOST_TEST((ends_in(now + 1s) == 3'200ms));
    BOOST_TEST((ends_in(now + 9s) == 0ms));
    it.end(engine, plans, 2, now + 100ms);
    BOOST_TEST((ends_in(now) == 1'200ms));
}

BOOST_AUTO_TEST_CASE(a_request_ends_at_its_deadline_at_the_latest) {
    adapter_usage_tracker it;
    it.start(engine, plans, {1, 200ms, 4'000, 3s}, now);
    BOOST_TEST((it.running(engine, now).at(0).ends_in == duration(3s)));
}

BOOST_AUTO_TEST_CASE(one_request_of_unknown_length_leaves_the_end_unknown) {
    adapter_usage_tracker it;
    it.start(engine, plans, {1, 200ms, 50}, now);
    it.start(engine, plans, {2}, now);
    BOOST_TEST(!it.running(engine, now).at(0).ends_in.has_value());
}

// Guards against predictions that stay wrong on engines that are faster than assumed, and against
// those that a few stalled requests make useless.
BOOST_AUTO_TEST_CASE(a_hundred_requests_teach_the_time_per_token_despite_outliers) {
    adapter_usage_tracker it;
    for (request_number i = 1; i <= 100; ++i) {
        const duration took = i % 10 == 0 ? duration(60s) : duration(200ms + 100 * 4ms);
        it.start(engine, plans, {i, 200ms, 100}, now);
        it.end(engine, plans, i, now + took);
    }
    it.start(engine, plans, {101, 200ms, 100}, now);
    const duration ends_in = it.running(engine, now).at(0).ends_in.value();
    BOOST_TEST((ends_in > 500ms && ends_in < 700ms));
}

BOOST_AUTO_TEST_CASE(refused_requests_do_not_shorten_the_expected_time) {
    adapter_usage_tracker it;
    for (request_number i = 1; i <= 50; ++i) {
        it.start(engine, plans, {i, 200ms, 100}, now);
        it.end(engine, plans, i, now + 5ms);
    }
    it.start(engine, plans, {51, 200ms, 100}, now);
    BOOST_TEST((it.running(engine, now).at(0).ends_in == duration(1'200ms)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
