#include <boost/test/unit_test.hpp>

#include "relay/change_log.h"
#include "relay/copy_schedule.h"

namespace radishpulley::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
constexpr milliseconds longest_age{2'800};

copy_schedule schedule(std::size_t rank, std::size_t vms) {
    copy_schedule out;
    out.set_rank(rank, vms);
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_tests)

// Guards against calls to the store that grow with the number of VMs, which happens when hundreds
// of VMs each watch every collection. Two VMs of a zone watch.
BOOST_AUTO_TEST_CASE(number_of_watchers_does_not_grow_with_the_vms_of_a_zone) {
    for (const std::size_t vms : {4U, 32U, 130U}) {
        std::size_t watchers = 0;
        for (std::size_t rank = 0; rank < vms; ++rank) {
            watchers += schedule(rank, vms).role() == copy_role::watcher ? 1 : 0;
        }
        BOOST_TEST(watchers == 2U);
    }
}

BOOST_AUTO_TEST_CASE(vms_of_a_small_zone_are_standalone) {
    for (const std::size_t vms : {1U, 2U, 3U}) {
        BOOST_TEST((schedule(vms - 1, vms).role() == copy_role::standalone));
        BOOST_TEST((schedule(0, vms).watch_wait(longest_age) == longest_age));
    }
}

// When all watchers are frozen, partitioned or rejected, readers query the store one after the
// other, none of them too late.
BOOST_AUTO_TEST_CASE(readers_query_in_turn_and_none_later_than_the_longest_age) {
    constexpr std::size_t vms = 32;
    duration previous{};
    for (std::size_t rank = 2; rank < vms; ++rank) {
        const duration after = schedule(rank, vms).direct_read_age(longest_age);
        BOOST_TEST((after > previous));
        BOOST_TEST((after <= longest_age));
        previous = after;
    }
    BOOST_TEST((previous == longest_age));
}

// A watch that waited for the longest age would confirm the copy too late for the readers.
BOOST_AUTO_TEST_CASE(a_watch_confirms_before_the_first_reader_queries) {
    const copy_schedule it = schedule(0, 32);
    BOOST_TEST((it.watch_wait(longest_age) < schedule(2, 32).direct_read_age(longest_age)));
}

BOOST_AUTO_TEST_CASE(a_log_lists_the_changes_after_a_full_read) {
    change_log log;
    log.restart(10);
    log.add({12, "a", false, "{}"}, start);
    log.add({15, "b", true, ""}, start);
    BOOST_TEST(log.complete_after() == 10U);
    BOOST_REQUIRE(log.changes().size() == 2U);
    BOOST_TEST(log.changes()[1].name == "b");
}

// A dropped change must not count as reported.
BOOST_AUTO_TEST_CASE(a_log_reports_the_revision_after_which_it_is_complete) {
    change_log_settings settings;
    settings.max_changes = 2;
    change_log log(settings);
    log.restart(10);
    for (const revision_number revision : {11U, 12U, 13U}) {
        log.add({revision, "a", false, "{}"}, start);
    }
    BOOST_TEST(log.complete_after() == 11U);
    log.advance(start + seconds(10));
    BOOST_TEST(log.complete_after() == 13U);
    BOOST_TEST(log.changes().empty());
}

BOOST_AUTO_TEST_CASE(a_change_larger_than_a_datagram_is_not_listed) {
    change_log log;
    log.restart(10);
    log.add({11, "a", false, std::string(100'000, 'x')}, start);
    BOOST_TEST(log.changes().empty());
    BOOST_TEST(log.complete_after() == 11U);
    log.add({12, "b", false, "{}"}, start);
    BOOST_TEST(log.changes().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::relay
