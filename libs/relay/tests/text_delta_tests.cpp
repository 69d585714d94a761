#include "relay/text_delta.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace radishpulley::relay::testing {
namespace {

constexpr std::size_t large = 1'000'000;

std::string route(int n, int target = 0) {
    return R"({"name":"r)" + std::to_string(n) + R"(","service":"s)" + std::to_string(target) +
           R"("},)";
}

std::string document(int routes, int version) {
    std::string out = R"({"routes":[)";
    for (int i = 0; i < routes; ++i) {
        out += route(i);
    }
    return out + R"(],"version":)" + std::to_string(version) + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(text_delta_tests)

// Guards against changes of one route that cost the bytes of all routes.
BOOST_AUTO_TEST_CASE(a_change_of_one_route_costs_no_more_in_a_large_document) {
    std::string base = document(3'000, 7);
    std::string target = document(3'000, 8);
    target.insert(target.find(route(1'500)), route(9'999));
    target.erase(target.find(route(20)), route(20).size());
    const auto delta = make_delta(base, target, large);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST(size_of(*delta) < 200U);
    BOOST_TEST(apply_delta(base, *delta).value_or("") == target);
}

BOOST_AUTO_TEST_CASE(any_text_is_reached_from_any_base) {
    std::mt19937_64 draw(5);
    for (int i = 0; i < 300; ++i) {
        const auto text = [&draw] {
            std::string out;
            const std::size_t n = draw() % 40;
            for (std::size_t k = 0; k < n; ++k) {
                out += "a}b{}"[draw() % 5];
            }
            return out;
        };
        const std::string base = text();
        const std::string target = text();
        const auto delta = make_delta(base, target, large);
        BOOST_REQUIRE(delta.has_value());
        BOOST_TEST((apply_delta(base, *delta) == target));
    }
}

// Guards against a copy that is put together from the pieces of another version.
BOOST_AUTO_TEST_CASE(a_delta_does_not_apply_to_another_base) {
    const auto delta = make_delta(document(50, 1), document(51, 2), large);
    BOOST_REQUIRE(delta.has_value());
    BOOST_TEST(!apply_delta(document(49, 1), *delta).has_value());
    BOOST_TEST(!apply_delta("", *delta).has_value());
    text_delta forged;
    forged.parts.emplace_back(base_run{4'000'000'000U, 4'000'000'000U});
    BOOST_TEST(!apply_delta(document(50, 1), forged).has_value());
}

BOOST_AUTO_TEST_CASE(a_delta_beyond_the_limit_is_not_made) {
    BOOST_TEST(!make_delta(document(10, 1), document(500, 2), 8'000).has_value());
    BOOST_TEST(make_delta(document(10, 1), document(11, 2), 8'000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::relay::testing
