#include <boost/test/unit_test.hpp>

#include "routing/endpoint_reachability.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id captions("captions");
const service_id orders("orders");

// A service `captions` with the endpoints c0 to c8, and `orders` with o0.
struct fixture {
    fixture() {
        for (int i = 0; i < 9; ++i) {
            add(captions, "c" + std::to_string(i));
        }
        add(orders, "o0");
    }
    void add(const service_id& service, const std::string& id, bool draining = false) {
        endpoint entry;
        entry.id = endpoint_id(id);
        entry.service = service;
        entry.draining = draining;
        entry.heartbeat = ++heartbeats;
        directory.on_entry(entry, time.now());
    }
    std::vector<service_id> fail(const std::string& id,
                                 contact_failure by = contact_failure::no_progress) {
        return it.on_failed(endpoint_id(id), by, time.now());
    }
    std::optional<service_regained> reach(const std::string& id,
                                          contact_proof by = contact_proof::received) {
        return it.on_contact(endpoint_id(id), by, time.now());
    }

    std::uint64_t heartbeats = 0;
    virtual_clock time;
    endpoint_directory directory;
    endpoint_reachability it{directory};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_reachability_tests, fixture)

// Guards against a crashed engine, which fails again and again, that is taken for a cut.
BOOST_AUTO_TEST_CASE(one_endpoint_that_fails_is_no_cut) {
    fail("c0", contact_failure::connection_broken);
    fail("c0", contact_failure::connect_refused);
    BOOST_TEST(fail("c0", contact_failure::connect_refused).empty());
    BOOST_TEST(it.reaches(captions));
}

BOOST_AUTO_TEST_CASE(two_endpoints_that_fail_without_an_answer_between_are_a_cut) {
    fail("c0");
    time.advance(milliseconds(200));
    BOOST_TEST((fail("c1") == std::vector<service_id>{captions}));
    BOOST_TEST(!it.reaches(captions));
    BOOST_TEST(it.reaches(orders));
    BOOST_TEST(it.evidence(captions).size() == 2U);
    // It is found once.
    BOOST_TEST(fail("c2").empty());
}

// Guards against a rolling restart that is taken for a cut.
BOOST_AUTO_TEST_CASE(an_answer_of_any_endpoint_ends_what_was_failed_before) {
    fail("c0");
    BOOST_TEST(!reach("c5"));
    BOOST_TEST(fail("c1").empty());
    BOOST_TEST(it.reaches(captions));
}

// Guards against two restarts of a quiet service, long after each other, that are taken for a cut.
BOOST_AUTO_TEST_CASE(old_failures_do_not_count) {
    fail("c0");
    time.advance(seconds(4));
    BOOST_TEST(fail("c1").empty());
    time.advance(seconds(1));
    BOOST_TEST((fail("c2") == std::vector<service_id>{captions}));
}

BOOST_AUTO_TEST_CASE(the_only_endpoint_of_a_service_is_enough) {
    BOOST_TEST((fail("o0") == std::vector<service_id>{orders}));
    const auto regained = reach("o0");
    BOOST_REQUIRE(regained.has_value());
    BOOST_TEST(regained->service == orders);
    BOOST_TEST(it.reaches(orders));
}

BOOST_AUTO_TEST_CASE(one_failure_is_enough_once_another_service_is_cut_off) {
    fail("c0");
    BOOST_TEST((fail("o0") == std::vector<service_id>{captions, orders}));
    reach("c1");
    BOOST_TEST((it.unreached() == std::vector<service_id>{orders}));
}

BOOST_AUTO_TEST_CASE(an_answer_after_the_other_service_was_cut_off_speaks_against_a_cut) {
    fail("c0");
    reach("c1");
    time.advance(milliseconds(1));
    fail("o0");
    BOOST_TEST((it.unreached() == std::vector<service_id>{orders}));
    time.advance(milliseconds(1));
    reach("c1");
    BOOST_TEST(fail("c1").empty());
}

// Guards against endpoints that stop in good order and are taken for a cut.
BOOST_AUTO_TEST_CASE(endpoints_that_leave_or_are_unknown_show_nothing) {
    add(captions, "c0", true);
    fail("c0");
    fail("c9");
    BOOST_TEST(fail("c1").empty());
    fail("c2");
    BOOST_TEST(!it.reaches(captions));
}

BOOST_AUTO_TEST_CASE(the_failures_of_an_earlier_start_are_forgotten) {
    fail("c0");
    it.forget(endpoint_id("c0"));
    BOOST_TEST(fail("c1").empty());
}

BOOST_AUTO_TEST_CASE(regaining_names_the_endpoints_that_failed_by_the_cut) {
    fail("c0");
    fail("c1");
    time.advance(seconds(5));
    fail("c2", contact_failure::connect_timed_out);
    time.advance(seconds(5));
    const auto regained = reach("c3", contact_proof::connected);
    BOOST_REQUIRE(regained.has_value());
    BOOST_TEST((regained->failed ==
                std::set<endpoint_id>{endpoint_id("c0"), endpoint_id("c1"), endpoint_id("c2")}));
    BOOST_TEST((time.now() - regained->lost_at == seconds(10)));
    BOOST_TEST(!regained->only_kept_connections);
}

// Guards against a state that changes with each response where only new connections are refused.
BOOST_AUTO_TEST_CASE(kept_connections_that_answer_keep_a_service_reached) {
    fail("c0", contact_failure::connect_refused);
    BOOST_TEST(!fail("c1", contact_failure::connect_refused).empty());
    const auto regained = reach("c2");
    BOOST_REQUIRE(regained.has_value());
    BOOST_TEST(regained->only_kept_connections);
    for (int i = 0; i < 20; ++i) {
        time.advance(milliseconds(100));
        BOOST_TEST(fail("c" + std::to_string(3 + i % 4), contact_failure::connect_refused).empty());
        BOOST_TEST(!reach("c2"));
    }
    // None is left.
    time.advance(seconds(1));
    fail("c0", contact_failure::connect_refused);
    BOOST_TEST(!fail("c1", contact_failure::connect_refused).empty());
}

BOOST_AUTO_TEST_CASE(kept_connections_that_break_show_a_cut_at_once) {
    fail("c0", contact_failure::connect_refused);
    reach("c2");
    fail("c1", contact_failure::connection_broken);
    BOOST_TEST(!fail("c2", contact_failure::connection_broken).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
