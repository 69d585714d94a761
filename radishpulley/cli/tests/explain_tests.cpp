#include <boost/test/unit_test.hpp>

#include <sstream>

#include "cli/explain.h"

namespace radishpulley::cli {
namespace {

const char* const log_text =
    "edge-1 time=2026-01-01T00:00:01.000Z level=info event=started vm=edge-1\n"
    "edge-2 time=2026-01-01T00:00:01.500Z level=info event=started vm=edge-2\n"
    "edge-2 time=2026-01-01T00:00:02.000Z level=info event=engine_order engine=e1 kind=load "
    "adapter=a7 outcome=accepted\n"
    "edge-2 time=2026-01-01T00:00:02.100Z level=info event=engine_order engine=e1 kind=load "
    "adapter=a9 outcome=accepted\n"
    "not a line of ours\n"
    "edge-1 time=2026-01-01T00:00:02.300Z level=warning event=endpoint_unreached endpoint=e1 "
    "by=connection_broken\n"
    "edge-1 time=2026-01-01T00:00:02.350Z level=warning event=service_unreached service=s "
    "evidence=e1:connection_broken:0.050s\n"
    "edge-1 time=2026-01-01T00:00:02.360Z level=warning event=service_unreached service=t\n"
    "edge-2 time=2026-01-01T00:00:02.370Z level=warning event=service_reached service=s\n"
    "edge-1 time=2026-01-01T00:00:02.400Z level=warning event=request_finished request=r1 "
    "status=502 reason=connection_broken account=acme service=s endpoint=e1 adapter=a7\n"
    "edge-1 time=2026-01-01T00:00:02.200Z level=info event=request_placed request=r1 endpoint=e1\n"
    "edge-1 time=2026-01-01T00:00:02.500Z level=info event=request_finished request=r2 status=200 "
    "reason=answered endpoint=e1 adapter=a7 load_wait_ms=265 first_byte_ms=400\n"
    "edge-1 time=2026-01-01T00:00:02.600Z level=warning event=request_finished request=r4 "
    "status=503 reason=stream_software_gone endpoint=\"\"\n"
    "edge-1 time=2026-01-01T00:00:09.000Z level=info event=endpoint_gone endpoint=e1\n";

std::string explain(const std::string& id) {
    std::istringstream in(log_text);
    std::ostringstream out;
    return explain_request(id, in, out) ? out.str() : "";
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(explain_tests)

BOOST_AUTO_TEST_CASE(lines_are_read_with_quoted_values) {
    const log_line it = parse_log_line("x time=T event=e reason=\"two words\" n=3 empty=\"\"");
    BOOST_TEST(it.event == "e");
    BOOST_TEST(it.field("reason") == "two words");
    BOOST_TEST(it.field("n") == "3");
    BOOST_TEST(it.field("empty").empty());
    BOOST_TEST(it.field("missing").empty());
}

BOOST_AUTO_TEST_CASE(a_failed_request_is_explained_in_order) {
    const std::string out = explain("r1");
    BOOST_TEST(out.find("request_placed") < out.find("request_finished"));
    BOOST_TEST(contains(out, "adapter=a7 outcome=accepted"));
    BOOST_TEST(contains(out, "vm=edge-1"));
    BOOST_TEST(contains(out, "endpoint_unreached"));
    BOOST_TEST(contains(out, "service_unreached service=s"));
    BOOST_TEST(!contains(out, "service_unreached service=t"));
    BOOST_TEST(!contains(out, "service_reached"));
    BOOST_TEST(!contains(out, "adapter=a9"));
    BOOST_TEST(!contains(out, "vm=edge-2"));
    BOOST_TEST(!contains(out, "endpoint_gone"));
    BOOST_TEST(contains(out, "Cause: The endpoint broke the connection"));
}

BOOST_AUTO_TEST_CASE(a_late_request_names_its_waits) {
    BOOST_TEST(contains(explain("r2"), "waited 265 ms for its adapter"));
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_not_resumed_names_why) {
    BOOST_TEST(contains(explain("r4"), "Cause: It resumes a stream, and no endpoint"));
}

BOOST_AUTO_TEST_CASE(an_unknown_request_has_no_explanation) {
    BOOST_TEST(explain("r3").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::cli
