#include "telemetry/event_log.h"

#include <glog/logging.h>

#include <boost/test/unit_test.hpp>
#include <limits>
#include <sstream>

using namespace radishpulley;
using namespace radishpulley::telemetry;

BOOST_AUTO_TEST_CASE(values_are_typed_and_quoted_where_needed) {
    const request_id request("r-1");
    struct row {
        field_value value;
        const char* expected;
    };
    const row rows[] = {
        {"plain", "plain"},
        {std::string_view(""), "\"\""},
        {"two words", "\"two words\""},
        {"a=b", "\"a=b\""},
        {"say \"no\"\\", "\"say \\\"no\\\"\\\\\""},
        {"line\nbreak\r", "\"line\\nbreak\\x0d\""},
        {true, "true"},
        {-3, "-3"},
        {std::numeric_limits<std::uint64_t>::max(), "18446744073709551615"},
        {0.25, "0.25"},
        {duration(std::chrono::milliseconds(1500)), "1.5s"},
        {request, "r-1"},
        {secret("sk-123"), "[redacted]"},
    };
    for (const row& it : rows) {
        BOOST_TEST(format_event("e", {{"k", it.value}}) == std::string("event=e k=") + it.expected);
    }
}

BOOST_AUTO_TEST_CASE(a_long_value_is_cut) {
    const std::string line = format_event("e", {{"k", std::string(100'000, 'x')}});
    BOOST_TEST(line == "event=e k=" + std::string(max_field_length, 'x') + "...");
}

BOOST_AUTO_TEST_CASE(a_secret_never_prints_itself) {
    std::ostringstream out;
    out << secret("sk-123");
    BOOST_TEST(out.str() == "[redacted]");
    BOOST_TEST(secret("sk-123").reveal() == "sk-123");
}

namespace {

struct line_collector final : google::LogSink {
    void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&,
              const char* message, std::size_t n) override {
        lines.emplace_back(message, n);
    }
    std::vector<std::string> lines;
};

}  // namespace

BOOST_AUTO_TEST_CASE(an_event_is_one_line_with_time_and_level) {
    start_log("telemetry_tests", severity::warning, log_target::standard_error);
    line_collector collector;
    google::AddLogSink(&collector);
    log_event(severity::info, "hidden", {});
    log_event(severity::warning, "shown", {{"cause", "a\nb"}});
    google::RemoveLogSink(&collector);
    BOOST_REQUIRE_EQUAL(collector.lines.size(), 1);
    const std::string& line = collector.lines[0];
    BOOST_TEST(line.compare(0, 5, "time=") == 0, line);
    BOOST_TEST(line.find("Z level=warning event=shown cause=\"a\\nb\"") != std::string::npos, line);
}

BOOST_AUTO_TEST_CASE(lines_beyond_the_bound_are_counted) {
    line_budget budget(3);
    const radishpulley::time_point start{std::chrono::hours(1)};
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(budget.take(start).allowed);
    }
    BOOST_TEST(!budget.take(start).allowed);
    BOOST_TEST(!budget.take(start + std::chrono::milliseconds(999)).allowed);
    const auto next = budget.take(start + std::chrono::seconds(1));
    BOOST_TEST(next.allowed);
    BOOST_TEST(next.left_out == 2U);
    BOOST_TEST(budget.take(start + std::chrono::seconds(1)).left_out == 0U);
}
