#include <boost/test/unit_test.hpp>

#include "base/findings.h"
#include "routing/hints.h"
#include "routing/rendezvous.h"
#include "routing/stream_origins.h"

namespace radishpulley::routing::testing {
namespace {

using std::chrono::seconds;

const service_id service("s");
const software v1{service, "v1"};
const software v2{service, "v2"};

bool any(const software&) {
    return true;
}

time_point at(int second) {
    return time_point(seconds(second));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_origins_tests)

BOOST_AUTO_TEST_CASE(streams_of_different_accounts_have_different_keys) {
    const request_id first("r1");
    const auto key = stream_key_of(client_account_id("a"), first);
    BOOST_TEST(key == stream_key_of(client_account_id("a"), first));
    BOOST_TEST(key != stream_key_of(client_account_id("b"), first));
    BOOST_TEST(key != stream_key_of(client_account_id("a"), request_id("r2")));
}

BOOST_AUTO_TEST_CASE(streams_are_remembered_until_their_time_is_over) {
    stream_origins it(seconds(10));
    it.on_begin(1, v1, at(0));
    it.on_announced({v2, {2}}, at(5));
    BOOST_TEST(it.find(3) == nullptr);
    it.drop_expired(at(9));
    BOOST_REQUIRE(it.find(1) != nullptr);
    BOOST_TEST((*it.find(1) == v1));
    // A stream that goes on is remembered from then on.
    it.on_begin(1, v1, at(9));
    it.drop_expired(at(12));
    BOOST_REQUIRE(it.find(1) != nullptr);
    BOOST_TEST((*it.find(2) == v2));
    it.drop_expired(at(16));
    BOOST_TEST(it.find(2) == nullptr);
    it.drop_expired(at(30));
    BOOST_TEST(it.size() == 0U);
}

// Guards against memory that grows with the number of streams.
BOOST_AUTO_TEST_CASE(the_oldest_streams_make_room) {
    stream_origins it(seconds(10), 100);
    for (stream_key stream = 0; stream < 1'000; ++stream) {
        it.on_begin(stream, v1, at(0));
    }
    BOOST_TEST(it.size() == 100U);
    BOOST_TEST(it.find(0) == nullptr);
    BOOST_TEST(it.find(999) != nullptr);
}

BOOST_AUTO_TEST_CASE(each_stream_is_announced_once_when_its_service_is_wanted) {
    stream_origins it(seconds(10));
    it.on_begin(1, v1, at(0));
    it.on_begin(2, v2, at(0));
    it.on_announced({v1, {3}}, at(0));
    BOOST_TEST(it.take_unannounced([](const software&) { return false; }).empty());
    const auto of_v2 = it.take_unannounced([](const software& each) { return each == v2; });
    BOOST_REQUIRE(of_v2.size() == 1U);
    BOOST_TEST(of_v2[0].streams == std::vector<stream_key>{2});
    const auto rest = it.take_unannounced(any);
    BOOST_REQUIRE(rest.size() == 1U);
    BOOST_TEST((rest[0].at == v1));
    BOOST_TEST(rest[0].streams == std::vector<stream_key>{1});
    BOOST_TEST(it.take_unannounced(any).empty());
}

// Guards against streams that are joined after the last endpoint of their software has left.
BOOST_AUTO_TEST_CASE(software_counts_for_a_while_after_it_was_seen) {
    software_history it(seconds(60));
    it.on_seen(v1, at(0));
    it.on_seen(v2, at(50));
    BOOST_TEST(!it.knows_past());
    BOOST_TEST(it.recent(service, at(55)).size() == 2U);
    BOOST_TEST(it.recent(service, at(61)).size() == 1U);
    BOOST_TEST(it.recent(service_id("other"), at(55)).empty());
    // A record that other VMs write does not bring back what this VM has seen leave.
    it.on_record({v1, {service_id("other"), "v7"}}, at(62));
    BOOST_TEST(it.knows_past());
    BOOST_TEST(it.recent(service, at(63)).size() == 1U);
    BOOST_TEST(it.recent(service_id("other"), at(63)).size() == 1U);
    BOOST_TEST(it.recent(at(63)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(messages_about_streams_round_trip) {
    const vm_incarnation from{vm_id("v"), 7};
    const auto told = decode_hint(
        encode({from, stream_announcement{{{v1, {1, 0xffffffffffffffffULL}}, {v2, {3}}}}}));
    const auto& groups = std::get<stream_announcement>(told.body).groups;
    BOOST_REQUIRE(groups.size() == 2U);
    BOOST_TEST((groups[0].at == v1));
    BOOST_TEST(groups[0].streams[1] == 0xffffffffffffffffULL);
    const auto query = decode_hint(encode({from, stream_query{5}}));
    BOOST_TEST(std::get<stream_query>(query.body).stream == 5U);
    const auto known = decode_hint(encode({from, stream_reply{5, v2}}));
    BOOST_TEST((std::get<stream_reply>(known.body).began_at.value() == v2));
    const auto unknown = decode_hint(encode({from, stream_reply{5, std::nullopt}}));
    BOOST_TEST(!std::get<stream_reply>(unknown.body).began_at.has_value());
    const std::string whole = encode({from, stream_reply{5, v2}});
    for (std::size_t n = 0; n < whole.size(); ++n) {
        BOOST_CHECK_THROW(decode_hint(whole.substr(0, n)), invalid_input);
    }
}

BOOST_AUTO_TEST_CASE(the_highest_ranked_vms_stay_so_when_others_leave) {
    std::vector<vm_id> vms;
    for (int i = 0; i < 40; ++i) {
        vms.emplace_back("vm" + std::to_string(i));
    }
    for (int subject = 0; subject < 50; ++subject) {
        const std::string name = std::to_string(subject);
        const auto top = rendezvous_top(name, vms, 3);
        BOOST_REQUIRE(top.size() == 3U);
        BOOST_TEST(top[0] == rendezvous_first(name, vms));
        std::vector<vm_id> rest = vms;
        rest.erase(std::find(rest.begin(), rest.end(), top[0]));
        const auto next = rendezvous_top(name, rest, 3);
        BOOST_TEST(next[0] == top[1]);
        BOOST_TEST(next[1] == top[2]);
    }
    BOOST_TEST(rendezvous_top("x", gsl::span<const vm_id>(vms).first(2), 3).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing::testing
