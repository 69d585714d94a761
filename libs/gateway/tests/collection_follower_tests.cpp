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
        with.response_timeout = milliseconds(500);
        const follower_settings pace = pace_for_staleness(bound, with);
        const milliseconds found = pace.watch_wait + pace.response_timeout;
        BOOST_TEST((found + pace.initial_backoff + pace.response_timeout + pace.pause <= bound));
        BOOST_TEST((pace.watch_wait >= milliseconds(1'000)));
    }
}

// Guards against a call for each change of a directory that changes all the time: 3.4 calls a
// second and VM where 64 VMs follow 96 endpoints.
BOOST_AUTO_TEST_CASE(a_collection_that_changes_all_the_time_is_read_within_its_bound_and_not_more) {
    for (const milliseconds bound : {milliseconds(2'500), milliseconds(4'000)}) {
        follower_settings with;
        with.response_timeout = milliseconds(500);
        const follower_settings pace = pace_for_staleness_when_busy(bound, with);
        const milliseconds found = pace.watch_wait + pace.response_timeout;
        BOOST_TEST((found + pace.initial_backoff + pace.response_timeout + pace.pause <= bound));
        BOOST_TEST((pace.pause >= pace.watch_wait - milliseconds(1)));
        BOOST_TEST((pace.watch_wait >= milliseconds(500)));
    }
}

BOOST_FIXTURE_TEST_CASE(a_watch_says_when_its_connection_counts_as_silent, scripted_fixture) {
    start(1);
    BOOST_TEST((store.watches.back().terms.wait == settings.watch_wait));
    BOOST_TEST((store.watches.back().terms.response_timeout == settings.response_timeout));
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
    time.advance(settings.max_backoff);
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
    time.advance(settings.max_backoff);
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
    BOOST_TEST((follower.max_change_age() == duration::zero()));
    run_until_watches(2);
    time.advance(milliseconds(3'000));
    store.watches[1].done(read_failure::unavailable);
    run_until_watches(3);
    time.advance(milliseconds(400));
    tell(2, 3, "late");
    BOOST_TEST((follower.max_change_age() == milliseconds(3'400)));
    run_until_watches(4);
    tell(3, 4, "at once");
    BOOST_TEST((follower.max_change_age() == duration::zero()));
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
    BOOST_TEST((follower.max_change_age() == duration::zero()));
}

// A report of another VM: `changes` have the revisions from `first` on.
relay::copy_report report(relay::revision_number as_of, relay::revision_number complete_after,
                          const std::vector<relay::reported_change>& changes = {},
                          std::uint32_t age_ms = 0) {
    return {"things", as_of, complete_after, age_ms, changes};
}

// Guards against calls to the store that grow with the VMs: a VM whose copy others confirm asks for
// nothing.
BOOST_FIXTURE_TEST_CASE(a_reader_asks_nothing_while_its_copy_is_confirmed, scripted_fixture) {
    follower.set_rank(5, 32);
    start(1);
    for (int i = 0; i < 40; ++i) {
        time.advance(milliseconds(500));
        follower.on_report(report(10 + i, 1));
        loop.restart();
        loop.run_for(milliseconds(5));
    }
    BOOST_TEST(store.watches.empty());
    BOOST_TEST((follower.age() == duration::zero()));
    BOOST_TEST(follower.revision() == 49U);
}

BOOST_FIXTURE_TEST_CASE(a_reader_takes_the_changes_of_a_report_once, scripted_fixture) {
    follower.set_rank(5, 32);
    start(1);
    const std::vector<relay::reported_change> changes{{3, "a", false, "x"}, {4, "b", false, "y"}};
    follower.on_report(report(6, 1, changes));
    follower.on_report(report(7, 1, changes));
    BOOST_TEST((told == std::vector<std::string>{"x", "y"}));
}

// Guards against changes that fell out of the reporting VM's log: they are asked of the store.
BOOST_FIXTURE_TEST_CASE(a_reader_asks_for_changes_that_a_report_does_not_list, scripted_fixture) {
    follower.set_rank(5, 32);
    start(1);
    follower.on_report(report(9, 8));
    BOOST_TEST(follower.revision() == 1U);
    run_until_watches(1);
    BOOST_TEST(store.watches[0].since == 1U);
    BOOST_TEST((store.watches[0].terms.wait <= milliseconds(1)));
    tell(0, 9, "z");
    BOOST_TEST((told == std::vector<std::string>{"z"}));
}

// Guards against relying on VMs that are frozen, cut off or killed: without a report the reader
// asks the store before its copy is too old.
BOOST_FIXTURE_TEST_CASE(a_reader_that_hears_no_report_asks_the_store, scripted_fixture) {
    settings.watch_wait = milliseconds(60);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    time.advance(milliseconds(60));
    run_until_watches(1);
}

// Guards against a VM that reports what it itself has not confirmed for long.
BOOST_FIXTURE_TEST_CASE(an_old_report_confirms_nothing_new, scripted_fixture) {
    settings.watch_wait = milliseconds(60);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    time.advance(milliseconds(60));
    follower.on_report(report(5, 1, {}, 59));
    BOOST_TEST((follower.age() == milliseconds(59)));
    time.advance(milliseconds(1));
    run_until_watches(1);
}

// Guards against an answer that was under way while a report told something newer.
BOOST_FIXTURE_TEST_CASE(an_answer_older_than_the_reports_is_not_applied, scripted_fixture) {
    follower.set_rank(0, 32);
    start(1);
    follower.on_report(report(9, 1, {{8, "main", false, "new"}}));
    tell(0, 5, "old");
    BOOST_TEST((told == std::vector<std::string>{"new"}));
    BOOST_TEST(follower.revision() == 9U);
}

// Guards against a watcher that waits so long that its readers ask for themselves.
BOOST_FIXTURE_TEST_CASE(a_watcher_is_confirmed_in_time_for_its_readers, scripted_fixture) {
    follower.set_rank(0, 32);
    start(1);
    BOOST_TEST((store.watches[0].terms.wait * 2 == settings.watch_wait));
}

BOOST_FIXTURE_TEST_CASE(a_reader_that_becomes_a_watcher_watches_at_once, scripted_fixture) {
    follower.set_rank(5, 32);
    start(1);
    BOOST_TEST(store.watches.empty());
    follower.set_rank(1, 32);
    BOOST_TEST(store.watches.size() == 1U);
}

// Guards against a report that hides a change: what another VM told is listed again, what the store
// told too, and what was read whole counts as not listed.
BOOST_FIXTURE_TEST_CASE(a_report_lists_all_changes_since_the_revision_that_it_names,
                        scripted_fixture) {
    start(5);
    follower.on_report(report(7, 5, {{6, "a", false, "x"}}));
    tell(0, 9, "y");
    const auto it = follower.report();
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->as_of == 9U);
    BOOST_TEST(it->complete_after == 5U);
    BOOST_REQUIRE(it->changes.size() == 2U);
    BOOST_TEST(it->changes[0].contents == "x");
    BOOST_TEST(it->changes[1].contents == "y");
}

BOOST_FIXTURE_TEST_CASE(a_vm_without_a_copy_reports_nothing, scripted_fixture) {
    BOOST_TEST(!follower.report().has_value());
    follower.on_report(report(7, 0));
    BOOST_TEST(follower.revision() == 0U);
}

// Guards against a VM that is turned away by the store and asks again and again for what others
// confirm.
BOOST_FIXTURE_TEST_CASE(a_reader_that_is_turned_away_relies_on_reports, scripted_fixture) {
    settings.watch_wait = milliseconds(60);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    time.advance(milliseconds(60));
    run_until_watches(1);
    store.watches[0].done(read_failure::unavailable);
    follower.on_report(report(5, 1));
    loop.restart();
    loop.run_for(milliseconds(250));
    BOOST_TEST(store.watches.size() == 1U);
    BOOST_TEST((follower.age() == duration::zero()));
}

// Guards against a VM that is turned away by the store and asks it at every hint of something
// newer: hundreds of hints come in a second.
BOOST_FIXTURE_TEST_CASE(a_reader_that_is_turned_away_does_not_ask_at_every_hint, scripted_fixture) {
    follower.set_rank(31, 32);
    start(1);
    time.advance(settings.max_backoff);
    follower.renew();
    BOOST_REQUIRE(store.watches.size() == 1U);
    for (int i = 0; i < 50; ++i) {
        store.watches.back().done(read_failure::unavailable);
        follower.renew();
    }
    BOOST_TEST(store.watches.size() == 1U);
}

// Guards against hundreds of VMs that ask a store that is away as often as their watchers do.
BOOST_FIXTURE_TEST_CASE(a_reader_asks_a_store_that_is_away_as_rarely_as_one_that_answers,
                        scripted_fixture) {
    settings.watch_wait = milliseconds(400);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    time.advance(milliseconds(400));
    run_until_watches(1);
    // One failure may be its connection's.
    store.watches[0].done(read_failure::unavailable);
    run_until_watches(2);
    store.watches[1].done(read_failure::unavailable);
    loop.restart();
    loop.run_for(milliseconds(250));
    BOOST_TEST(store.watches.size() == 2U);
    run_until_watches(3);
}

// Guards against a call for each report while this VM is turned away.
BOOST_FIXTURE_TEST_CASE(a_reader_that_is_turned_away_does_not_ask_at_every_report,
                        scripted_fixture) {
    settings.unlisted_fetch_delay = milliseconds(1);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    follower.on_report(report(9, 8));
    run_until_watches(1);
    store.watches[0].done(read_failure::unavailable);
    run_until_watches(2);
    store.watches[1].done(read_failure::unavailable);
    for (int i = 0; i < 20; ++i) {
        follower.on_report(report(10 + i, 8));
        loop.restart();
        loop.run_for(milliseconds(5));
    }
    BOOST_TEST(store.watches.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
