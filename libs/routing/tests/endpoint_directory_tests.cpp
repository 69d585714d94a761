#include <boost/test/unit_test.hpp>

#include "routing/endpoint_directory.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};

endpoint entry(const std::string& id, std::uint64_t heartbeat = 1, bool draining = false) {
    endpoint out;
    out.id = endpoint_id(id);
    out.service = service_id("s");
    out.address = "127.0.0.1:1";
    out.started_at_ms = 1'000;
    out.heartbeat = heartbeat;
    out.draining = draining;
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_directory_tests)

BOOST_AUTO_TEST_CASE(draining_endpoints_get_no_new_requests) {
    endpoint_directory it;
    it.on_entry(entry("a"), start);
    it.on_entry(entry("b"), start);
    it.on_entry(entry("b", 2, true), start);
    BOOST_REQUIRE_EQUAL(it.usable(service_id("s")).size(), 1U);
    BOOST_TEST(it.usable(service_id("s")).front()->id.str() == "a");
}

BOOST_AUTO_TEST_CASE(an_older_heartbeat_or_start_is_ignored) {
    endpoint_directory it;
    it.on_entry(entry("a", 5, true), start);
    BOOST_TEST((it.on_entry(entry("a", 4), start) == directory_change::none));
    BOOST_TEST(it.find(endpoint_id("a"))->draining);
    endpoint earlier = entry("a", 9);
    earlier.started_at_ms = 900;
    BOOST_TEST((it.on_entry(earlier, start) == directory_change::none));
    endpoint later = entry("a", 1);
    later.started_at_ms = 2'000;
    BOOST_TEST((it.on_entry(later, start) == directory_change::restarted));
    BOOST_TEST(!it.find(endpoint_id("a"))->draining);
}

BOOST_AUTO_TEST_CASE(entries_that_expired_in_an_outage_stay_for_the_grace_period) {
    endpoint_directory it;
    it.on_entry(entry("a"), start);
    it.on_entry(entry("b"), start);
    it.on_entry(entry("leaving", 1, true), start);
    it.on_store_recovered(start + seconds(10));
    const time_point after = start + seconds(10) + milliseconds(100);
    BOOST_TEST((it.on_removed(endpoint_id("a"), after) == directory_change::none));
    BOOST_TEST((it.on_removed(endpoint_id("b"), after) == directory_change::none));
    // An endpoint that was draining is removed at once.
    BOOST_TEST((it.on_removed(endpoint_id("leaving"), after) == directory_change::removed));
    // The entry is published again.
    it.on_entry(entry("b", 2), after + milliseconds(500));
    BOOST_TEST(it.advance(start + seconds(11)).empty());
    const auto removed = it.advance(start + seconds(12));
    BOOST_REQUIRE_EQUAL(removed.size(), 1U);
    BOOST_TEST(removed.front().str() == "a");
    BOOST_TEST(it.find(endpoint_id("b")) != nullptr);
}

// Guards against requests that prefer an endpoint whose entry disappeared during an outage of the
// store over endpoints whose entries are present.
BOOST_AUTO_TEST_CASE(an_entry_missing_after_an_outage_is_deprioritized) {
    endpoint_directory it;
    it.on_entry(entry("a"), start);
    it.on_entry(entry("b"), start);
    it.on_store_recovered(start + seconds(10));
    it.on_removed(endpoint_id("a"), start + seconds(10));
    BOOST_TEST(it.is_deprioritized(endpoint_id("a"), start + seconds(10)));
    BOOST_TEST(!it.is_deprioritized(endpoint_id("b"), start + seconds(10)));
    it.on_entry(entry("a"), start + seconds(11));
    BOOST_TEST(!it.is_deprioritized(endpoint_id("a"), start + seconds(11)));
}

BOOST_AUTO_TEST_CASE(without_an_outage_an_entry_is_removed_at_once) {
    endpoint_directory it;
    it.on_entry(entry("a"), start);
    BOOST_TEST((it.on_removed(endpoint_id("a"), start) == directory_change::removed));
    BOOST_TEST(it.find(endpoint_id("a")) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_list_removes_missing_entries) {
    endpoint_directory it;
    it.on_entry(entry("a"), start);
    it.on_entry(entry("b"), start);
    const auto removed = it.on_list({entry("b", 2), entry("c")}, start);
    BOOST_REQUIRE_EQUAL(removed.size(), 1U);
    BOOST_TEST(removed.front().str() == "a");
    BOOST_TEST(it.usable(service_id("s")).size() == 2U);
}

BOOST_AUTO_TEST_CASE(the_backoff_of_an_unreachable_endpoint_grows_until_it_answers) {
    endpoint_directory it;
    const endpoint_id a("a");
    it.on_entry(entry("a"), start);
    it.on_call(a, call_outcome::unreachable, start);
    BOOST_TEST(it.is_deprioritized(a, start + milliseconds(200)));
    BOOST_TEST(!it.is_deprioritized(a, start + milliseconds(300)));
    it.on_call(a, call_outcome::unreachable, start + milliseconds(300));
    BOOST_TEST(it.is_deprioritized(a, start + milliseconds(700)));
    it.on_call(a, call_outcome::answered, start + milliseconds(750));
    BOOST_TEST(!it.is_deprioritized(a, start + milliseconds(751)));
}

BOOST_AUTO_TEST_CASE(the_failure_rate_decays_with_time) {
    endpoint_directory it;
    const endpoint_id a("a");
    it.on_entry(entry("a"), start);
    for (int i = 0; i < 10; ++i) {
        it.on_call(a, call_outcome::failed, start);
    }
    BOOST_TEST(it.is_deprioritized(a, start));
    BOOST_TEST(!it.is_deprioritized(a, start + seconds(20)));
}

BOOST_AUTO_TEST_CASE(a_notice_outlives_entries_of_the_same_start) {
    endpoint_directory it;
    endpoint_notice leaves;
    leaves.leaving = true;
    it.on_entry(entry("a"), start);
    BOOST_TEST(it.on_notice(incarnation_of(entry("a")), leaves, start));
    BOOST_TEST(!it.on_notice(incarnation_of(entry("a")), leaves, start));
    BOOST_TEST(!it.on_notice(incarnation_of(entry("a")), {}, start));
    it.on_entry(entry("a", 2), start);
    BOOST_TEST(it.usable(service_id("s")).empty());
    it.on_removed(endpoint_id("a"), start);
    it.on_entry(entry("a", 3), start + seconds(20));
    BOOST_TEST(it.usable(service_id("s")).empty());
    endpoint next = entry("a");
    next.started_at_ms = 2'000;
    it.on_entry(next, start + seconds(21));
    BOOST_TEST(it.usable(service_id("s")).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_notice_of_an_earlier_start_is_ignored) {
    endpoint_directory it;
    endpoint_notice leaves;
    leaves.leaving = true;
    leaves.pause = seconds(5);
    it.on_entry(entry("a"), start);
    BOOST_TEST(!it.on_notice({endpoint_id("a"), 999}, leaves, start));
    BOOST_TEST(it.usable(service_id("s")).size() == 1U);
    BOOST_TEST((it.pause_left(endpoint_id("a"), start) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(the_longest_of_several_pauses_applies) {
    endpoint_directory it;
    it.on_entry(entry("a"), start);
    endpoint_notice busy;
    busy.pause = seconds(3);
    it.on_notice(incarnation_of(entry("a")), busy, start);
    busy.pause = milliseconds(100);
    it.on_notice(incarnation_of(entry("a")), busy, start + seconds(1));
    BOOST_TEST((it.pause_left(endpoint_id("a"), start + seconds(2)) == seconds(1)));
    BOOST_TEST((it.pause_left(endpoint_id("a"), start + seconds(3)) == duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
