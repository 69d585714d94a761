#include <random>

#include <boost/test/unit_test.hpp>

#include "routing/zone_filter.h"

namespace radishpulley::routing {
namespace {

const location zones{zone_id("a1"),
                     region_id("a"),
                     {{zone_id("a1"), region_id("a")},
                      {zone_id("a2"), region_id("a")},
                      {zone_id("b1"), region_id("b")},
                      {zone_id("c1"), region_id("c")}}};

allowed_regions only(std::initializer_list<const char*> names) {
    std::set<region_id> out;
    for (const char* it : names) {
        out.insert(region_id(it));
    }
    return allowed_regions(std::move(out));
}

// Draws no restriction, or any subset of the regions and of one that no zone is in.
allowed_regions draw_regions(std::mt19937& random) {
    constexpr unsigned draws = 20;
    const unsigned drawn = random() % draws;
    if (drawn >= 16) {
        return {};
    }
    std::set<region_id> out;
    unsigned bit = 1;
    for (const char* it : {"a", "b", "c", "nowhere"}) {
        if ((drawn & bit) != 0) {
            out.insert(region_id(it));
        }
        bit *= 2;
    }
    return allowed_regions(std::move(out));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(zone_filter_tests)

// Guards against an empty intersection, or an empty list of readable names, that counts as "any".
BOOST_AUTO_TEST_CASE(an_empty_restriction_allows_nothing) {
    const allowed_regions none = intersection(only({"a"}), only({"b"}));
    BOOST_TEST(none.is_restricted());
    BOOST_TEST(none.allows_none());
    const zone_evacuations evacuations;
    const zone_filter filter(none, zones, evacuations);
    BOOST_TEST(!filter.permits(zone_id("a1")));
    BOOST_TEST(!filter.permits(zone_id("b1")));
    BOOST_TEST(!allowed_regions().allows_none());
}

// Guards against a zone missing from the settings that counts as allowed.
BOOST_AUTO_TEST_CASE(a_zone_of_unknown_region_is_in_no_allowed_region) {
    const zone_evacuations evacuations;
    BOOST_TEST(!zone_filter(only({"a"}), zones, evacuations).permits(zone_id("new")));
    BOOST_TEST(zone_filter(allowed_regions(), zones, evacuations).permits(zone_id("new")));
}

// Guards against a restriction of the route or the account that the other one widens.
BOOST_AUTO_TEST_CASE(a_permitted_zone_is_allowed_by_route_and_account_and_is_not_evacuated) {
    std::mt19937 random(50);
    for (int i = 0; i < 2'000; ++i) {
        const allowed_regions route = draw_regions(random);
        const allowed_regions account = draw_regions(random);
        zone_evacuations evacuations;
        for (const auto& [zone, region] : zones.regions) {
            if (random() % 4 == 0) {
                evacuations.on_begin(zone);
            }
        }
        const zone_filter filter(intersection(route, account), zones, evacuations);
        for (const auto& [zone, region] : zones.regions) {
            const bool expected =
                route.allows(region) && account.allows(region) && !evacuations.is_evacuated(zone);
            BOOST_TEST(filter.permits(zone) == expected);
        }
    }
}

// Guards against an evacuation that is missed or ends early when the list is read again, repeated
// or reported out of order.
BOOST_AUTO_TEST_CASE(lists_and_changes_report_each_begin_and_end_once) {
    zone_evacuations it;
    const std::vector<zone_id> two{zone_id("a1"), zone_id("b1")};
    BOOST_TEST(it.on_list(two).begun.size() == 2U);
    BOOST_TEST(it.on_list(two).empty());
    BOOST_TEST(it.on_begin(zone_id("a1")).empty());
    BOOST_TEST(it.on_end(zone_id("c1")).empty());
    const std::vector<zone_id> other{zone_id("b1"), zone_id("c1")};
    const evacuation_changes changes = it.on_list(other);
    BOOST_REQUIRE(changes.begun.size() == 1U);
    BOOST_TEST(changes.begun.front().str() == "c1");
    BOOST_REQUIRE(changes.ended.size() == 1U);
    BOOST_TEST(changes.ended.front().str() == "a1");
    BOOST_TEST(it.on_end(zone_id("b1")).ended.size() == 1U);
    BOOST_TEST(!it.is_evacuated(zone_id("b1")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
