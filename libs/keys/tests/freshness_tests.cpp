#include <boost/test/unit_test.hpp>

#include "keys/freshness.h"

using namespace radishpulley;
using namespace radishpulley::keys;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);
const vm_id own("a");
const vm_id peer("b");

struct fixture {
    freshness_settings settings;
    freshness rule{{own, 1}, settings, start};

    fixture() {
        rule.set_roster({own, peer});
        rule.on_listed_by(peer);
    }

    bool serves(model::ticket_number in_force, time_point now) const {
        return !std::holds_alternative<refuse_keyed>(rule.decide_serving(in_force, now));
    }
    bool commits(model::ticket_number in_force, time_point now) const {
        return std::holds_alternative<may_commit>(rule.decide_commit(in_force, now));
    }
    static std::vector<hold_report> hold(model::ticket_number number, duration age = {}) {
        return {{hold_reason::promised, number, age, {peer}}};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(freshness_suite, fixture)

BOOST_AUTO_TEST_CASE(evidence_ages_from_the_call_through_every_relay) {
    rule.on_api_response(1, 10, start);
    BOOST_TEST(serves(1, start + settings.max_evidence_age));
    BOOST_TEST(!serves(1, start + settings.max_evidence_age + 1ms));
    rule.on_peer_evidence({1, 12, 500ms}, start + 2s);
    BOOST_TEST(serves(1, start + 1500ms + settings.max_evidence_age));
    BOOST_TEST(!serves(1, start + 1501ms + settings.max_evidence_age));
    BOOST_TEST((rule.evidence(start + 3s)->age == 1500ms));
    BOOST_TEST(rule.evidence(start + 3s)->revision == 12);
}

BOOST_AUTO_TEST_CASE(evidence_of_a_newer_ticket_does_not_count_for_an_older_one) {
    rule.on_api_response(1, 10, start);
    rule.on_api_response(2, 20, start + 1s);
    BOOST_TEST(serves(1, start + 2s));
    BOOST_TEST(!serves(1, start + 3s));
    BOOST_TEST(serves(2, start + 3s));
}

BOOST_AUTO_TEST_CASE(holds_allow_serving_only_with_every_ticket_accepted_before_them) {
    rule.on_api_response(3, 10, start);
    const time_point later = start + 10s;
    rule.on_peer_holds(peer, hold(4), later, later);
    BOOST_TEST(!serves(3, later));
    BOOST_TEST(serves(4, later));
    BOOST_TEST(serves(4, later + settings.hold_duration - 1ms));
    BOOST_TEST(!serves(4, later + settings.hold_duration));
}

BOOST_AUTO_TEST_CASE(one_vm_without_a_hold_is_enough_to_refuse) {
    rule.set_roster({own, peer, vm_id("c")});
    rule.on_peer_holds(peer, hold(0), start, start);
    const serving_decision decision = rule.decide_serving(0, start + 1s);
    const std::vector<vm_id> missing = {vm_id("c")};
    BOOST_TEST(std::get<refuse_keyed>(decision).missing == missing,
               boost::test_tools::per_element());
    freshness unknown_roster({own, 1}, settings, start);
    BOOST_TEST(std::holds_alternative<refuse_keyed>(unknown_roster.decide_serving(0, start)));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_counts_after_a_hold_or_before_an_answer_of_the_api) {
    rule.on_api_response(1, 10, start);
    const time_point ended = start + 1s;
    rule.process_ended(peer, ended);
    BOOST_TEST(!serves(1, start + 4s));
    rule.on_api_response(1, 10, ended + 1s);
    rule.process_ended(peer, ended + 2s);
    BOOST_TEST(serves(1, ended + 10s));
    freshness other({own, 1}, settings, start);
    other.set_roster({own, peer});
    other.on_peer_holds(peer, hold(1), start, start);
    other.process_ended(peer, start + settings.hold_duration - 1ms);
    const auto decision = other.decide_serving(1, start + settings.hold_duration + 10s);
    BOOST_TEST(std::holds_alternative<serve_on_holds>(decision));
}

BOOST_AUTO_TEST_CASE(a_hold_is_given_when_the_api_fails_and_blocks_commits) {
    const time_point ready = start + settings.hold_duration + settings.hold_margin;
    BOOST_TEST(!commits(1, ready - 1ms));
    rule.on_api_response(1, 10, ready);
    BOOST_TEST(commits(1, ready));
    BOOST_TEST(!rule.renew_hold(1, ready + 2s));
    rule.on_api_failure(ready + 2s);
    rule.set_committing(true);
    BOOST_TEST(!rule.renew_hold(1, ready + 2s));
    rule.set_committing(false);
    BOOST_TEST(rule.renew_hold(1, ready + 2s));
    const time_point allowed_from = ready + 2s + settings.hold_duration + settings.hold_margin;
    rule.on_api_response(1, 10, allowed_from);
    BOOST_TEST(!commits(1, allowed_from - 1ms));
    BOOST_TEST(commits(1, allowed_from));
    freshness::hold_cursor cursor = 0;
    BOOST_TEST(rule.hold_reports_for(peer, cursor, ready + 3s, ready + 3s).size() == 1);
    BOOST_TEST(rule.hold_reports_for(peer, cursor, ready + 3s, ready + 3s).empty());
}

BOOST_AUTO_TEST_CASE(a_hold_that_a_peer_reported_itself_is_not_reported_back_to_it) {
    const vm_id opener("c");
    rule.set_roster({own, peer, opener});
    rule.on_peer_holds(peer, hold(1), start, start);
    freshness::hold_cursor cursor = 0;
    const time_point report_time = start + settings.inbound_report_delay;
    BOOST_TEST(rule.hold_reports_for(opener, cursor,
                                     report_time - 1ms - settings.inbound_report_delay,
                                     report_time - 1ms)
                   .empty());
    rule.on_peer_holds(opener, hold(1), start, start + 500ms);
    BOOST_TEST(rule.hold_reports_for(opener, cursor, start, report_time).empty());
    freshness::hold_cursor other = 0;
    BOOST_TEST(rule.hold_reports_for(vm_id("d"), other, start, report_time).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_missing_from_a_member_table_commits_nothing) {
    const time_point ready = start + 1min;
    rule.on_api_response(1, 10, ready);
    rule.set_roster({own, peer, vm_id("c")});
    BOOST_TEST(!commits(1, ready));
    BOOST_TEST(rule.unaware().size() == 1);
    rule.on_listed_by(vm_id("c"));
    BOOST_TEST(commits(1, ready));
    BOOST_TEST(!commits(0, ready));
}

BOOST_AUTO_TEST_CASE(calls_start_when_evidence_ages_and_are_paced_in_an_outage) {
    BOOST_TEST((rule.time_until_probe(start) == 0s));
    rule.on_api_response(1, 10, start);
    const duration wait = rule.time_until_probe(start);
    BOOST_TEST((wait >= settings.probe_after));
    BOOST_TEST((wait <= settings.probe_after + settings.probe_jitter));
    rule.on_peer_evidence({1, 10, 0ms}, start + 1s);
    BOOST_TEST((rule.time_until_probe(start + 1s) == wait));
    rule.on_api_failure(start + 10s);
    BOOST_TEST((rule.time_until_probe(start + 10s) >= settings.outage_probe_interval));
}

BOOST_AUTO_TEST_SUITE_END()
