#include <boost/test/unit_test.hpp>

#include <sstream>

#include "cli/losses.h"

namespace radishpulley::cli {
namespace {

std::string end_line(const std::string& fields) {
    return "edge-1 time=2026-01-01T00:00:01.250Z level=info event=request_finished request=r " +
           fields;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(losses_tests)

BOOST_AUTO_TEST_CASE(ends_are_counted_by_what_callers_got) {
    loss_account it;
    const std::string late =
        "status=200 reason=answered account=a route=plans endpoint=e1 target_ms=1000 ";
    it.add(parse_log_line(end_line(late + "first_byte_ms=900 load_wait_ms=0 sent_after_ms=1")));
    it.add(
        parse_log_line(end_line(late + "first_byte_ms=1500 load_wait_ms=300 sent_after_ms=320")));
    it.add(parse_log_line(end_line("status=429 reason=over_limit account=a route=plans")));
    it.add(parse_log_line(end_line("status=502 reason=connection_broken account=b route=plans")));
    it.add(parse_log_line(end_line("status=200 reason=deadline account=b route=plans")));
    it.add(parse_log_line(end_line("status=499 reason=caller_left account=b route=plans")));
    it.add(parse_log_line("time=T level=info event=request_placed request=r"));
    const outcome_counts& plans = it.by_route().at("plans");
    BOOST_TEST(plans.in_time == 1U);
    BOOST_TEST(plans.late == 1U);
    BOOST_TEST(plans.refused == 1U);
    BOOST_TEST(plans.failed == 2U);
    BOOST_TEST(it.late_time().at("plans").load_wait == 300);
    BOOST_TEST(it.late_time().at("plans").before_sending == 20);
    BOOST_TEST(it.late_time().at("plans").at_endpoint == 1180);
    BOOST_TEST(it.by_reason().at("plans 429 over_limit") == 1U);
}

BOOST_AUTO_TEST_CASE(a_route_without_a_target_has_no_late_answers) {
    loss_account it;
    it.add(parse_log_line(end_line("status=200 reason=answered route=plans first_byte_ms=9000")));
    BOOST_TEST(it.by_route().at("plans").in_time == 1U);
}

BOOST_AUTO_TEST_CASE(the_worst_groups_come_first) {
    std::stringstream log;
    log << end_line("status=503 reason=no_endpoint account=small route=plans") << '\n';
    for (int i = 0; i < 3; ++i) {
        log << end_line("status=503 reason=no_endpoint account=large route=plans") << '\n';
    }
    std::ostringstream out;
    BOOST_TEST(print_losses(log, out));
    BOOST_TEST(out.str().find("large") < out.str().find("small"));
    BOOST_TEST(out.str().find("2026-01-01T00:00:01 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_log_without_requests_has_no_account) {
    std::istringstream log("time=T level=info event=started vm=v\n");
    std::ostringstream out;
    BOOST_TEST(!print_losses(log, out));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::cli
