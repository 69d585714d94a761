#include <boost/test/unit_test.hpp>

#include "routing/configuration.h"

namespace radishpulley::routing {
namespace {

configuration_content two_routes() {
    configuration_content out;
    out.version = 3;
    route wide;
    wide.name = "wide";
    wide.host = "plans.example";
    wide.path_prefix = "/a/";
    wide.services = {{service_id("s1"), 1}};
    route narrow = wide;
    narrow.name = "narrow";
    narrow.path_prefix = "/a/b/";
    narrow.services = {{service_id("s1"), 90}, {service_id("s2"), 10}};
    out.routes = {wide, narrow};
    client_account account;
    account.id = client_account_id("acme");
    account.keys = {"k1", "k2"};
    out.accounts = {account};
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_tests)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
    const configuration it(two_routes());
    BOOST_TEST(it.find_route("plans.example", "/a/b/c?x=/a/")->name == "narrow");
    BOOST_TEST(it.find_route("PLANS.example:8080", "/a/c")->name == "wide");
    BOOST_TEST(it.find_route("other.example", "/a/c") == nullptr);
    BOOST_TEST(it.find_route("plans.example", "/b/") == nullptr);
    BOOST_TEST(it.find_route("plans.example", "/x?/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(each_key_maps_to_its_account) {
    const configuration it(two_routes());
    BOOST_TEST(it.find_account("k2")->id.str() == "acme");
    BOOST_TEST(it.find_account("k3") == nullptr);
    BOOST_TEST(it.find_account("") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_picked_by_weight) {
    const configuration it(two_routes());
    const route& split = *it.find_route("plans.example", "/a/b/");
    BOOST_TEST(pick_service(split, 0)->str() == "s1");
    BOOST_TEST(pick_service(split, 0.89)->str() == "s1");
    BOOST_TEST(pick_service(split, 0.91)->str() == "s2");
    BOOST_TEST(pick_service(split, 1)->str() == "s2");
    BOOST_TEST(pick_service(route(), 0.5) == nullptr);
}

BOOST_AUTO_TEST_CASE(only_idempotent_and_resumable_requests_may_be_repeated) {
    route it;
    it.kind = request_kind::non_idempotent;
    BOOST_TEST(!it.repeatable());
    it.kind = request_kind::streaming;
    BOOST_TEST(!it.repeatable());
    it.resumable = true;
    BOOST_TEST(it.repeatable());
    it = route();
    it.kind = request_kind::idempotent;
    BOOST_TEST(it.repeatable());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
