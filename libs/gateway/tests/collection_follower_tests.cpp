#include <boost/test/unit_test.hpp>

#include "gateway/collection_follower.h"
#include "scripted_store.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(collection_follower_tests)

// Guards against a change that goes unnoticed for the whole wait of a watch whose connection failed
// silently: callers of an added route got 404 for up to 11 s.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_within_the_staleness_bound) {
    for (const milliseconds bound : {milliseconds(2'500), milliseconds(4'000)}) {
        follower_settings base_settings;
        base_settings.response_timeout = milliseconds(500);
        const follower_settings pace = pace_for_staleness(bound, base_settings);
        const milliseconds detected_after = pace.watch_wait + pace.response_timeout;
        BOOST_TEST(
            (detected_after + pace.initial_backoff + pace.response_timeout + pace.pause <= bound));
        BOOST_TEST((pace.watch_wait >= milliseconds(1'000)));
    }
}

// Guards against one store call per change of a collection that changes all the time: 64 VMs that
// follow 96 endpoints made 3.4 calls per second and VM.
BOOST_AUTO_TEST_CASE(a_busy_collection_is_read_in_batches_within_the_staleness_bound) {
    for (const milliseconds bound : {milliseconds(2'500), milliseconds(4'000)}) {
        follower_settings base_settings;
        base_settings.response_timeout = milliseconds(500);
        const follower_settings pace = pace_for_staleness_when_busy(bound, base_settings);
        const milliseconds detected_after = pace.watch_wait + pace.response_timeout;
        BOOST_TEST(
            (detected_after + pace.initial_backoff + pace.response_timeout + pace.pause <= bound));
        BOOST_TEST((pace.pause >= pace.watch_wait - milliseconds(1)));
        BOOST_TEST((pace.watch_wait >= milliseconds(500)));
    }
}

BOOST_FIXTURE_TEST_CASE(a_watch_passes_on_its_response_timeout, scripted_fixture) {
    start(1);
    BOOST_TEST((store.watches.back().terms.wait == settings.watch_wait));
    BOOST_TEST((store.watches.back().terms.response_timeout == settings.response_timeout));
}

// Guards against a store that counts as unreachable until the next watch's whole wait is over: the
// other followers were renewed only then.
BOOST_FIXTURE_TEST_CASE(a_recovered_store_is_detected_at_once, scripted_fixture) {
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

// Guards against losing a change because a renewed watch on a dead connection replaced the watch
// that was about to return the change.
BOOST_FIXTURE_TEST_CASE(a_renewed_watch_does_not_discard_the_previous_one, scripted_fixture) {
    start(1);
    time.advance(settings.max_backoff);
    follower.renew();
    BOOST_REQUIRE(store.watches.size() == 2U);
    send_change(0, 2, "new");
    BOOST_TEST((received_changes == std::vector<std::string>{"new"}));
    // The response to the second watch contains only a change that was reported already.
    run_until_watches(3);
    send_change(1, 2, "new");
    store.watches[1].done(read_failure::unavailable);
    BOOST_TEST(received_changes.size() == 1U);
    BOOST_TEST(reachable.empty());
    BOOST_TEST(store.watches.back().since == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_failure_of_a_renewed_watch_is_ignored, scripted_fixture) {
    start(1);
    time.advance(settings.max_backoff);
    follower.renew();
    store.watches[0].done(read_failure::unavailable);
    BOOST_TEST(reachable.empty());
    send_change(1, 2, "new");
    BOOST_TEST((received_changes == std::vector<std::string>{"new"}));
}

// Guards against an adapter version that counts as new when its change arrives late: requests kept
// running on the old version for the full grace time from then on.
BOOST_FIXTURE_TEST_CASE(the_age_of_a_change_after_an_interruption_is_bounded_by_its_length,
                        scripted_fixture) {
    start(1);
    time.advance(milliseconds(700));
    send_change(0, 2, "at once");
    BOOST_TEST((follower.max_change_age() == duration::zero()));
    run_until_watches(2);
    time.advance(milliseconds(3'000));
    store.watches[1].done(read_failure::unavailable);
    run_until_watches(3);
    time.advance(milliseconds(400));
    send_change(2, 3, "late");
    BOOST_TEST((follower.max_change_age() == milliseconds(3'400)));
    run_until_watches(4);
    send_change(3, 4, "at once");
    BOOST_TEST((follower.max_change_age() == duration::zero()));
}

// Guards against a silent connection that counts as a store outage: endpoints whose entries were
// then removed stayed in use for the grace time of lapsed entries.
BOOST_FIXTURE_TEST_CASE(a_single_failed_call_is_no_store_outage, scripted_fixture) {
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

// Guards against a VM that reports itself not ready because the store dropped its history, though
// the VM has all endpoints.
BOOST_FIXTURE_TEST_CASE(a_copy_stays_available_while_it_is_listed_again, scripted_fixture) {
    start(1);
    store.watches[0].done(read_failure::history_gone);
    BOOST_REQUIRE(store.lists.size() == 2U);
    store.lists[1](read_failure::unavailable);
    BOOST_TEST(follower.has_list());
    run_until_lists(3);
    store.lists[2](object_list{{}, 9});
    BOOST_TEST(store.watches.back().since == 9U);
}

// Guards against a freshness limit derived from new settings that the watches do not follow yet.
BOOST_FIXTURE_TEST_CASE(new_settings_apply_from_the_next_watch, scripted_fixture) {
    start(1);
    follower_settings other = settings;
    other.watch_wait = milliseconds(700);
    follower.set_pace(other);
    send_change(0, 2, "new");
    run_until_watches(2);
    BOOST_TEST((store.watches[1].terms.wait == milliseconds(700)));
}

BOOST_FIXTURE_TEST_CASE(the_first_list_has_no_change_age, scripted_fixture) {
    time.advance(milliseconds(3'000));
    start(1);
    BOOST_TEST((follower.max_change_age() == duration::zero()));
}

// Returns a report of another VM.
relay::copy_report report(relay::revision_number as_of, relay::revision_number complete_after,
                          const std::vector<relay::reported_change>& changes = {},
                          std::uint32_t age_ms = 0) {
    return {"things", as_of, complete_after, age_ms, changes};
}

// Guards against store calls that grow with the number of VMs: a VM whose copy is confirmed by
// reports makes none.
BOOST_FIXTURE_TEST_CASE(a_reader_makes_no_calls_while_its_copy_is_confirmed, scripted_fixture) {
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

BOOST_FIXTURE_TEST_CASE(a_reader_applies_the_changes_of_a_report_once, scripted_fixture) {
    follower.set_rank(5, 32);
    start(1);
    const std::vector<relay::reported_change> changes{{3, "a", false, "x"}, {4, "b", false, "y"}};
    follower.on_report(report(6, 1, changes));
    follower.on_report(report(7, 1, changes));
    BOOST_TEST((received_changes == std::vector<std::string>{"x", "y"}));
}

// Guards against changes that are no longer in the reporting VM's log: the reader fetches them from
// the store.
BOOST_FIXTURE_TEST_CASE(a_reader_fetches_changes_that_a_report_does_not_list, scripted_fixture) {
    follower.set_rank(5, 32);
    start(1);
    follower.on_report(report(9, 8));
    BOOST_TEST(follower.revision() == 1U);
    run_until_watches(1);
    BOOST_TEST(store.watches[0].since == 1U);
    BOOST_TEST((store.watches[0].terms.wait <= milliseconds(1)));
    send_change(0, 9, "z");
    BOOST_TEST((received_changes == std::vector<std::string>{"z"}));
}

// Guards against depending on VMs that are frozen, partitioned or killed: without reports, a reader
// calls the store before its copy is too old.
BOOST_FIXTURE_TEST_CASE(a_reader_without_reports_calls_the_store, scripted_fixture) {
    settings.watch_wait = milliseconds(60);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    time.advance(milliseconds(60));
    run_until_watches(1);
}

// Guards against a VM that reports a copy which it has not confirmed for a long time.
BOOST_FIXTURE_TEST_CASE(an_old_report_does_not_refresh_the_copy, scripted_fixture) {
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

// Guards against a response that was in flight while a report delivered a newer state.
BOOST_FIXTURE_TEST_CASE(a_response_older_than_the_reports_is_not_applied, scripted_fixture) {
    follower.set_rank(0, 32);
    start(1);
    follower.on_report(report(9, 1, {{8, "main", false, "new"}}));
    send_change(0, 5, "old");
    BOOST_TEST((received_changes == std::vector<std::string>{"new"}));
    BOOST_TEST(follower.revision() == 9U);
}

// Guards against a watcher that waits so long that its readers call the store themselves.
BOOST_FIXTURE_TEST_CASE(a_watcher_waits_short_enough_for_its_readers, scripted_fixture) {
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

// Guards against a report that omits a change: it lists changes from both other reports and the
// store, and it declares what was listed as a whole as not included.
BOOST_FIXTURE_TEST_CASE(a_report_lists_all_changes_since_its_base_revision, scripted_fixture) {
    start(5);
    follower.on_report(report(7, 5, {{6, "a", false, "x"}}));
    send_change(0, 9, "y");
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

// Guards against a VM that the store refuses and that keeps calling it for what reports confirm.
BOOST_FIXTURE_TEST_CASE(a_reader_refused_by_the_store_relies_on_reports, scripted_fixture) {
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

// Guards against a VM that the store refuses and that calls it on every hint of a newer revision:
// hundreds of hints arrive per second.
BOOST_FIXTURE_TEST_CASE(a_reader_refused_by_the_store_does_not_call_on_every_hint,
                        scripted_fixture) {
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

// Guards against hundreds of readers that call an unavailable store as often as the watchers do.
BOOST_FIXTURE_TEST_CASE(readers_call_an_unavailable_store_as_rarely_as_a_healthy_one,
                        scripted_fixture) {
    settings.watch_wait = milliseconds(400);
    follower.set_pace(settings);
    follower.set_rank(31, 32);
    start(1);
    time.advance(milliseconds(400));
    run_until_watches(1);
    // A single failure may be due to the connection.
    store.watches[0].done(read_failure::unavailable);
    run_until_watches(2);
    store.watches[1].done(read_failure::unavailable);
    loop.restart();
    loop.run_for(milliseconds(250));
    BOOST_TEST(store.watches.size() == 2U);
    run_until_watches(3);
}

// Guards against a store call per report while the store refuses this VM.
BOOST_FIXTURE_TEST_CASE(a_reader_refused_by_the_store_does_not_call_on_every_report,
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

// Guards against changes that gather while a large object is fetched: each holds the whole object,
// so every fetch took longer than the one before.
BOOST_FIXTURE_TEST_CASE(changes_larger_than_the_collection_are_replaced_by_a_list,
                        scripted_fixture) {
    start(1);
    const std::size_t of_empty_collection = store.watches[0].terms.max_bytes;
    store.watches[0].done(read_failure::too_large);
    BOOST_REQUIRE(store.lists.size() == 2U);
    object_list all;
    all.objects.push_back({"main", 9, std::string(500'000, 'x')});
    all.revision = 9;
    store.lists[1](all);
    BOOST_REQUIRE(store.watches.size() == 2U);
    BOOST_TEST(store.watches[1].since == 9U);
    BOOST_TEST(store.watches[1].terms.max_bytes >= 1'000'000U);
    BOOST_TEST(store.watches[1].terms.max_bytes <= 1'100'000U + of_empty_collection);
    BOOST_TEST(reachable.empty());
}

// Guards against a second call that takes half of the link from a response that is arriving: other
// VMs' hints of a newer version renewed the watch each second.
BOOST_FIXTURE_TEST_CASE(a_watch_whose_response_is_arriving_is_not_renewed, scripted_fixture) {
    start(1);
    time.advance(settings.max_backoff);
    store.watches[0].terms.on_progress();
    follower.renew();
    BOOST_TEST(store.watches.size() == 1U);
    time.advance(settings.response_timeout);
    follower.renew();
    BOOST_TEST(store.watches.size() == 2U);
}

// A collection of one large object, of which reports contain deltas.
struct large_object_fixture : scripted_fixture {
    large_object_fixture() {
        settings.reports = report_contents::deltas;
        follower.set_pace(settings);
        follower.set_rank(5, 32);
        follower.start();
        object_list all;
        all.revision = 1;
        all.objects.push_back({"main", 1, contents(1)});
        store.lists.back()(all);
    }

    static std::string contents(int version) {
        std::string out = "{\"routes\":[";
        for (int i = 0; i < 1'000; ++i) {
            out += "{\"name\":\"r" + std::to_string(i) + "\"},";
        }
        return out + "{}],\"version\":" + std::to_string(version) + "}";
    }

    // Returns the report of a watcher that saw the version `to` after `from`.
    static relay::copy_report report_of_change(int from, int to) {
        auto delta = relay::make_delta(contents(from), contents(to), 8'000);
        BOOST_REQUIRE(delta.has_value());
        const auto base = static_cast<relay::revision_number>(from);
        const auto revision = static_cast<relay::revision_number>(to);
        relay::reported_change change{revision, "main", false, ""};
        change.delta = relay::object_delta{base, std::move(*delta)};
        return report(revision, 1, {change});
    }
};

// Guards against changes of one route that every VM fetches with all routes: at 300 VMs, each
// change of a large configuration took the store's link for seconds.
BOOST_FIXTURE_TEST_CASE(a_reader_learns_a_change_of_a_large_object_from_a_delta,
                        large_object_fixture) {
    follower.on_report(report_of_change(1, 2));
    follower.on_report(report_of_change(2, 3));
    BOOST_TEST((received_changes == std::vector<std::string>{contents(2), contents(3)}));
    BOOST_TEST(follower.revision() == 3U);
    BOOST_TEST(store.watches.empty());
}

// Guards against a VM that the store turns away and that serves withdrawn keys and dropped routes
// for as long, though its neighbours know better.
BOOST_FIXTURE_TEST_CASE(a_vm_that_the_store_turns_away_learns_changes_of_a_large_object,
                        large_object_fixture) {
    time.advance(settings.max_backoff);
    follower.renew();
    BOOST_REQUIRE(store.watches.size() == 1U);
    store.watches[0].done(read_failure::unavailable);
    time.advance(milliseconds(10'000));
    follower.on_report(report_of_change(1, 2));
    BOOST_TEST((received_changes == std::vector<std::string>{contents(2)}));
    BOOST_TEST((follower.age() == duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(a_watcher_reports_the_delta_of_a_large_object, large_object_fixture) {
    time.advance(settings.max_backoff);
    follower.renew();
    send_change(0, 2, contents(2));
    const auto it = follower.report();
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->complete_after == 1U);
    BOOST_REQUIRE(it->changes.size() == 1U);
    BOOST_TEST(it->changes[0].contents.empty());
    BOOST_REQUIRE(it->changes[0].delta.has_value());
    BOOST_TEST(it->changes[0].delta->base_revision == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_change_beyond_the_largest_delta_is_fetched, large_object_fixture) {
    time.advance(settings.max_backoff);
    follower.renew();
    send_change(0, 2, std::string(50'000, 'x'));
    const auto it = follower.report();
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->complete_after == 2U);
    BOOST_TEST(it->changes.empty());
}

// Guards against a lost report: the copy neither takes a delta to another base nor counts as newer.
BOOST_FIXTURE_TEST_CASE(a_reader_that_missed_a_delta_fetches_the_object, large_object_fixture) {
    follower.on_report(report_of_change(2, 3));
    BOOST_TEST(received_changes.empty());
    BOOST_TEST(follower.revision() == 1U);
    run_until_watches(1);
    BOOST_TEST(store.watches[0].since == 1U);
    send_change(0, 3, contents(3));
    BOOST_TEST((received_changes == std::vector<std::string>{contents(3)}));
}

// Guards against a VM that missed several changes while the store turned it away: no delta leads
// from its copy to the newest.
BOOST_FIXTURE_TEST_CASE(a_full_report_brings_a_copy_of_any_revision_up_to_date,
                        large_object_fixture) {
    scripted_fixture other;
    other.settings.reports = report_contents::deltas;
    other.follower.set_pace(other.settings);
    other.follower.start();
    object_list all;
    all.revision = 9;
    all.objects.push_back({"main", 8, contents(8)});
    other.store.lists.back()(all);
    BOOST_TEST(other.follower.full_report(1'000)->changes.empty());
    const auto it = other.follower.full_report(100'000);
    BOOST_REQUIRE(it.has_value());
    follower.on_report(*it);
    BOOST_TEST((received_changes == std::vector<std::string>{contents(8)}));
    BOOST_TEST(follower.revision() == 9U);
}

// Guards against a resumed stream that waits for the whole wait of a watch, and against a call to
// the store for each of them.
BOOST_FIXTURE_TEST_CASE(a_copy_is_confirmed_on_request_by_one_call_for_many, scripted_fixture) {
    start(1);
    time.advance(milliseconds(100));
    const time_point requested = time.now();
    BOOST_TEST((follower.read_began() < requested));
    for (int i = 0; i < 50; ++i) {
        follower.confirm();
    }
    run_until_watches(2);
    BOOST_TEST((store.watches[1].terms.wait <= milliseconds(1)));
    time.advance(milliseconds(5));
    store.watches[1].done(object_changes{{}, 1});
    BOOST_TEST((follower.read_began() == requested));
    run_until_watches(3);
    BOOST_TEST((store.watches[2].terms.wait == settings.watch_wait));
    // The next one is not due yet.
    follower.confirm();
    loop.restart();
    loop.run_for(milliseconds(50));
    BOOST_TEST(store.watches.size() == 3U);
}

// Guards against an old read that counts as a newer one because several were under way.
BOOST_FIXTURE_TEST_CASE(a_response_confirms_the_copy_as_of_the_start_of_its_own_call,
                        scripted_fixture) {
    start(1);
    const time_point first_began = time.now();
    time.advance(settings.max_backoff);
    follower.renew();
    time.advance(settings.max_backoff);
    follower.renew();
    BOOST_REQUIRE(store.watches.size() == 3U);
    store.watches[0].done(object_changes{{}, 1});
    BOOST_TEST((follower.read_began() == first_began));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
