#include <boost/test/unit_test.hpp>

#include "gateway/collection_follower.h"
#include "scripted_store.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(collection_follower_tests)

// Guards against a change that stays unknown for the whole wait of a watch whose connection went
// silent: callers of an added route got 404 for up to 11 s.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_found_and_replaced_within_the_bound) {
    for (const milliseconds bound : {milliseconds(2'500), milliseconds(4'000)}) {
        follower_settings with;
        with.patience = milliseconds(500);
        const follower_settings pace = pace_within(bound, with);
        const milliseconds found = pace.watch_wait + pace.patience;
        BOOST_TEST((found + pace.first_retry + pace.patience + pace.pause <= bound));
        BOOST_TEST((pace.watch_wait >= milliseconds(1'000)));
    }
}

// Guards against a call for each change of a directory that changes all the time: 3.4 calls a
// second and VM where 64 VMs follow 96 endpoints.
BOOST_AUTO_TEST_CASE(a_collection_that_changes_all_the_time_is_read_within_its_bound_and_not_more) {
    for (const milliseconds bound : {milliseconds(2'500), milliseconds(4'000)}) {
        follower_settings with;
        with.patience = milliseconds(500);
        const follower_settings pace = pace_of_busy_within(bound, with);
        const milliseconds found = pace.watch_wait + pace.patience;
        BOOST_TEST((found + pace.first_retry + pace.patience + pace.pause <= bound));
        BOOST_TEST((pace.pause >= pace.watch_wait - milliseconds(1)));
        BOOST_TEST((pace.watch_wait >= milliseconds(500)));
    }
}

BOOST_FIXTURE_TEST_CASE(a_watch_says_when_its_connection_counts_as_silent, scripted_fixture) {
    start(1);
    BOOST_TEST((store.watches.back().terms.wait == settings.watch_wait));
    BOOST_TEST((store.watches.back().terms.patience == settings.patience));
}

// Guards against a store that counts as lost for the whole wait of the watch after it: the other
// followers were asked to begin anew only then.
BOOST_FIXTURE_TEST_CASE(a_store_that_answers_again_is_noticed_at_once, scripted_fixture) {
    start(1);
    store.watches.back().done(read_failure::unavailable);
    BOOST_TEST((reachable == std::vector<bool>{false}));
    run_until_watches(2);
    BOOST_TEST((store.watches.back().terms.wait <= milliseconds(1)));
    store.watches.back().done(object_changes{{}, 1});
    BOOST_TEST((reachable == std::vector<bool>{false, true}));
    run_until_watches(3);
    BOOST_TEST((store.watches.back().terms.wait == settings.watch_wait));
}

// Guards against a change that is lost because a renewal, on a connection that is dead, took the
// place of a watch that was about to tell it.
BOOST_FIXTURE_TEST_CASE(a_renewed_watch_does_not_silence_the_one_before, scripted_fixture) {
    start(1);
    time.advance(settings.longest_retry);
    follower.renew();
    BOOST_REQUIRE(store.watches.size() == 2U);
    tell(0, 2, "new");
    BOOST_TEST((told == std::vector<std::string>{"new"}));
    // What the other one says was told already.
    run_until_watches(3);
    tell(1, 2, "new");
    store.watches[1].done(read_failure::unavailable);
    BOOST_TEST(told.size() == 1U);
    BOOST_TEST(reachable.empty());
    BOOST_TEST(store.watches.back().since == 2U);
}

BOOST_FIXTURE_TEST_CASE(the_failure_of_a_watch_that_was_renewed_does_not_count, scripted_fixture) {
    start(1);
    time.advance(settings.longest_retry);
    follower.renew();
    store.watches[0].done(read_failure::unavailable);
    BOOST_TEST(reachable.empty());
    tell(1, 2, "new");
    BOOST_TEST((told == std::vector<std::string>{"new"}));
}

// Guards against an adapter's version that counts as new when it is heard late: requests went on to
// be run on the older one for the usual time from then.
BOOST_FIXTURE_TEST_CASE(a_change_heard_after_an_interruption_may_be_as_old_as_it,
                        scripted_fixture) {
    start(1);
    time.advance(milliseconds(700));
    tell(0, 2, "at once");
    BOOST_TEST((follower.gap() == duration::zero()));
    run_until_watches(2);
    time.advance(milliseconds(3'000));
    store.watches[1].done(read_failure::unavailable);
    run_until_watches(3);
    time.advance(milliseconds(400));
    tell(2, 3, "late");
    BOOST_TEST((follower.gap() == milliseconds(3'400)));
    run_until_watches(4);
    tell(3, 4, "at once");
    BOOST_TEST((follower.gap() == duration::zero()));
}

// Guards against a connection's silence that counts as an outage of the store: endpoints whose
// entries were taken away then were used for the time that lapsed entries have to return.
BOOST_FIXTURE_TEST_CASE(one_call_without_an_answer_is_no_outage_of_the_store, scripted_fixture) {
    start(1);
    store.watches[0].done(read_failure::unavailable);
    run_until_watches(2);
    store.watches[1].done(object_changes{{}, 1});
    BOOST_TEST((reachable == std::vector<bool>{false, true}));
    BOOST_TEST(outages == 0);
    run_until_watches(3);
    store.watches[2].done(read_failure::unavailable);
    run_until_watches(4);
    store.watches[3].done(read_failure::unavailable);
    run_until_watches(5);
    store.watches[4].done(object_changes{{}, 1});
    BOOST_TEST(outages == 1);
}

// Guards against a VM that says it is not ready because the store forgot its history, though it
// knows every endpoint.
BOOST_FIXTURE_TEST_CASE(a_copy_stays_while_it_is_read_anew, scripted_fixture) {
    start(1);
    store.watches[0].done(read_failure::history_gone);
    BOOST_REQUIRE(store.lists.size() == 2U);
    store.lists[1](read_failure::unavailable);
    BOOST_TEST(follower.has_list());
    run_until_lists(3);
    store.lists[2](object_list{{}, 9});
    BOOST_TEST(store.watches.back().since == 9U);
}

// Guards against denials by the age of a pace that changed settings have asked for and no watch
// keeps.
BOOST_FIXTURE_TEST_CASE(another_pace_holds_from_the_next_watch_on, scripted_fixture) {
    start(1);
    follower_settings other = settings;
    other.watch_wait = milliseconds(700);
    follower.set_pace(other);
    tell(0, 2, "new");
    run_until_watches(2);
    BOOST_TEST((store.watches[1].terms.wait == milliseconds(700)));
}

BOOST_FIXTURE_TEST_CASE(a_start_has_no_gap, scripted_fixture) {
    time.advance(milliseconds(3'000));
    start(1);
    BOOST_TEST((follower.gap() == duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
