#include <boost/test/unit_test.hpp>

#include "routing/adapter_usage_tracker.h"

namespace radishpulley::routing {
namespace {

const endpoint_id engine("e");
const model_ref plans{"m", "plans"};
const model_ref briefs{"m", "briefs"};

}  // namespace

BOOST_AUTO_TEST_SUITE(adapter_usage_tracker_tests)

BOOST_AUTO_TEST_CASE(an_unreported_use_needs_a_report_at_once) {
    adapter_usage_tracker it;
    BOOST_TEST(it.start(engine, plans));
    it.take_report(engine);
    BOOST_TEST(!it.start(engine, plans));
    BOOST_TEST(it.start(engine, briefs));
}

BOOST_AUTO_TEST_CASE(a_report_lists_sent_requests_and_running_adapters) {
    adapter_usage_tracker it;
    it.start(engine, plans);
    it.start(engine, plans);
    it.start(engine, briefs);
    it.end(engine, briefs);
    const adapter_usage report = it.take_report(engine);
    BOOST_TEST(report.sent.size() == 3U);
    BOOST_REQUIRE_EQUAL(report.running.size(), 1U);
    BOOST_TEST(report.running[0].adapter == "plans");
    BOOST_TEST(it.take_report(engine).sent.empty());
}

BOOST_AUTO_TEST_CASE(the_end_of_all_uses_is_reported_once) {
    adapter_usage_tracker it;
    it.start(engine, plans);
    it.take_report(engine);
    it.end(engine, plans);
    it.end(engine, plans);
    BOOST_TEST(it.engines().size() == 1U);
    BOOST_TEST(it.take_report(engine).running.empty());
    BOOST_TEST(it.engines().empty());
}

BOOST_AUTO_TEST_CASE(a_new_holder_receives_a_report_at_once) {
    adapter_usage_tracker it;
    it.start(engine, plans);
    it.take_report(engine);
    it.forget_reported(engine);
    BOOST_TEST(it.start(engine, plans));
    BOOST_TEST(it.running(engine).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
