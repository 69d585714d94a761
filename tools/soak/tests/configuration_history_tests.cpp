#include <boost/test/unit_test.hpp>

#include "../configuration_history.h"

namespace radishpulley::soak::testing {
namespace {

using std::chrono::seconds;

// Version 1 has the route "base", 2 adds "new", 3 drops it and moves "base" to another service.
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

BOOST_FIXTURE_TEST_CASE(a_refused_route_is_of_a_version_without_it, fixture) {
    const auto before = history.explain({"new", "k", at(2)}, refused_route{}, at(2));
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(before->highest == 1U);
    const auto after = history.explain({"new", "k", at(4)}, refused_route{}, at(4));
    BOOST_TEST(after->highest == 3U);
    BOOST_TEST(!history.explain({"base", "k", at(4)}, refused_route{}, at(4)).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_run_is_of_a_version_with_its_route_service_and_key, fixture) {
    const auto moved = history.explain({"base", "k", at(4)}, ran_at{"b"}, at(4));
    BOOST_REQUIRE(moved.has_value());
    BOOST_TEST(moved->lowest == 3U);
    BOOST_TEST(!history.explain({"new", "k", at(4)}, ran_at{"b"}, at(4)).has_value());
    const auto key = history.explain({"base", "later", at(4)}, refused_key{}, at(4));
    BOOST_TEST(key->highest == 2U);
}

BOOST_FIXTURE_TEST_CASE(versions_sent_after_an_answer_do_not_explain_it, fixture) {
    BOOST_TEST(!history.explain({"base", "k", at(1)}, ran_at{"b"}, at(1)).has_value());
    BOOST_TEST(history.acknowledged_at(at(2)) == 2U);
    BOOST_TEST(history.acknowledged_at(at(0)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::soak::testing
