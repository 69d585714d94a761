#include <boost/test/unit_test.hpp>

#include "../configuration_history.h"

namespace radishpulley::soak::testing {
namespace {

using std::chrono::seconds;

// Version 1 has the route "base". Version 2 adds the route "new". Version 3 removes "new" and moves
// "base" to another service.
struct fixture {
    fixture() {
        plain_configuration it;
        it.services = {"a", "b"};
        it.keys = {"k"};
        it.routes["base"] = {"a", true};
        add(it, 1);
        it.routes["new"] = {"a", true};
        add(it, 2);
        it.routes.erase("new");
        it.routes["base"] = {"b", true};
        it.keys.insert("later");
        add(it, 3);
    }

    void add(plain_configuration it, std::uint64_t version) {
        it.version = version;
        history.on_sent(it, at(static_cast<int>(version)));
        history.on_acknowledged(version, at(static_cast<int>(version)));
    }
    static time_point at(int second) { return time_point() + seconds(100 + second); }

    configuration_history history;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_history_tests)

BOOST_FIXTURE_TEST_CASE(a_missing_route_matches_versions_without_it, fixture) {
    const auto before = history.matching_versions({"new", "k", at(2)}, route_not_found{}, at(2));
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(before->highest == 1U);
    const auto after = history.matching_versions({"new", "k", at(4)}, route_not_found{}, at(4));
    BOOST_TEST(after->highest == 3U);
    BOOST_TEST(
        !history.matching_versions({"base", "k", at(4)}, route_not_found{}, at(4)).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_run_matches_versions_with_its_route_service_and_key, fixture) {
    const auto moved = history.matching_versions({"base", "k", at(4)}, served_by{"b"}, at(4));
    BOOST_REQUIRE(moved.has_value());
    BOOST_TEST(moved->lowest == 3U);
    BOOST_TEST(!history.matching_versions({"new", "k", at(4)}, served_by{"b"}, at(4)).has_value());
    const auto key = history.matching_versions({"base", "later", at(4)}, key_rejected{}, at(4));
    BOOST_TEST(key->highest == 2U);
}

BOOST_FIXTURE_TEST_CASE(versions_published_after_a_response_do_not_match_it, fixture) {
    BOOST_TEST(!history.matching_versions({"base", "k", at(1)}, served_by{"b"}, at(1)).has_value());
    BOOST_TEST(history.acknowledged_at(at(2)) == 2U);
    BOOST_TEST(history.acknowledged_at(at(0)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::soak::testing
