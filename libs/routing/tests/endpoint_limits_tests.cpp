#include <boost/test/unit_test.hpp>

#include "limited_endpoint.h"

namespace radishpulley::routing::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};

endpoint entry(std::int64_t started_at_ms = 1) {
    endpoint out;
    out.id = endpoint_id("e1");
    out.started_at_ms = started_at_ms;
    return out;
}

limit_observation response(std::optional<double> rate, time_point at) {
    return {rate, at - milliseconds(100), at, true};
}

// The limits of one VM of several.
endpoint_limits member(const std::string& self, const std::vector<std::string>& all) {
    endpoint_limits out;
    const std::vector<vm_id> vms(all.begin(), all.end());
    out.set_vms(vm_id(self), vms, start);
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limits_tests)

// Guards against VMs that each send an overloaded endpoint its whole limit.
BOOST_AUTO_TEST_CASE(a_limit_holds_across_any_number_of_vms) {
    for (const std::size_t vms : {1, 9, 64, 195, 380}) {
        for (const double rate : {0.5, 1.0, 3.0, 40.0}) {
            for (const double loss : {0.0, 0.3}) {
                limited_endpoint it({vms, 60, loss, vms});
                it.run(seconds(2));
                it.set_limit(rate);
                it.run(seconds(20));
                BOOST_TEST_CONTEXT(vms << " VMs, " << rate << " a second, lost " << loss) {
                    BOOST_TEST(it.max_excess <= 1.0);
                }
            }
        }
    }
}

// Guards against limits that hold only because nothing is sent.
BOOST_AUTO_TEST_CASE(most_of_a_limit_is_used) {
    for (const std::size_t vms : {1, 9}) {
        for (const double rate : {1.0, 6.0}) {
            limited_endpoint it({vms, 60, 0, 1});
            it.set_limit(rate);
            it.run(seconds(5));
            const std::size_t before = it.sent;
            it.run(seconds(20));
            BOOST_TEST(static_cast<double>(it.sent - before) >= rate * 20 * 0.7);
        }
    }
}

// Guards against exceeding a limit while VMs stop and start.
BOOST_AUTO_TEST_CASE(a_limit_holds_while_vms_are_stopped_and_started_in_turn) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        limited_endpoint it({9, 60, 0.1, seed});
        it.set_limit(1.0);
        it.run(seconds(5));
        for (std::size_t i = 0; i < 9; ++i) {
            it.set_serving(i, false);
            it.run(milliseconds(700));
            it.set_serving(i, true);
            it.run(milliseconds(300));
        }
        BOOST_TEST(it.max_excess <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_limit_reaches_all_vms) {
    limited_endpoint it({9, 60, 0.3, 1});
    it.set_limit(2.0);
    it.run(seconds(6));
    BOOST_TEST(it.all_recorded(2.0));
    it.set_limit(std::nullopt);
    it.run(seconds(6));
    BOOST_TEST(it.all_recorded(std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_response_in_flight_does_not_end_a_limit) {
    endpoint_limits it = member("a", {"a"});
    BOOST_TEST(it.on_response(incarnation_of(entry()), response(1.0, start)));
    BOOST_TEST(
        !it.on_response(incarnation_of(entry()), response(std::nullopt, start + milliseconds(50))));
    BOOST_TEST(it.rate(entry().id).value() == 1.0);
    BOOST_TEST(
        it.on_response(incarnation_of(entry()), response(std::nullopt, start + milliseconds(200))));
    BOOST_TEST(!it.rate(entry().id).has_value());
}

BOOST_AUTO_TEST_CASE(an_incomplete_response_does_not_end_a_limit) {
    endpoint_limits it = member("a", {"a"});
    it.on_response(incarnation_of(entry()), response(1.0, start));
    limit_observation broken = response(std::nullopt, start + seconds(1));
    broken.is_complete = false;
    BOOST_TEST(!it.on_response(incarnation_of(entry()), broken));
    BOOST_TEST(it.rate(entry().id).has_value());
}

BOOST_AUTO_TEST_CASE(an_older_advertisement_is_ignored) {
    endpoint_limits it = member("a", {"a", "b"});
    it.on_response(incarnation_of(entry()), response(1.0, start));
    BOOST_TEST(!it.on_peer_limit({entry().id, 1, std::nullopt, 500}, start + milliseconds(400)));
    BOOST_TEST(!it.on_peer_limit({entry().id, 0, 9.0, 0}, start + milliseconds(400)));
    BOOST_TEST(it.on_peer_limit({entry().id, 1, 2.0, 100}, start + milliseconds(400)));
    BOOST_TEST(it.rate(entry().id).value() == 2.0);
}

BOOST_AUTO_TEST_CASE(a_restarted_endpoint_has_no_limit) {
    endpoint_limits it = member("a", {"a"});
    it.on_response(incarnation_of(entry()), response(1.0, start));
    BOOST_TEST(!it.allows(entry().id, start));
    it.on_entry(entry(1));
    BOOST_TEST(!it.allows(entry().id, start));
    it.on_entry(entry(2));
    BOOST_TEST(it.allows(entry().id, start));
}

// Guards against an endpoint that is never used again because it announced a limit of zero, or
// because the message about the end of its limit was lost.
BOOST_AUTO_TEST_CASE(zero_limits_and_unconfirmed_limits_are_probed) {
    endpoint_limits alone = member("a", {"a"});
    alone.on_response(incarnation_of(entry()), response(0.0, start));
    BOOST_TEST(!alone.allows(entry().id, start + seconds(9)));
    BOOST_TEST(alone.allows(entry().id, start + seconds(11)));

    const std::vector<std::string> all = {"a", "b", "c"};
    std::size_t sending_vms = 0;
    std::size_t probing_vms = 0;
    for (const std::string& self : all) {
        endpoint_limits it = member(self, all);
        it.on_peer_limit({entry().id, 1, 1.0, 0}, start);
        sending_vms += it.share(entry().id) > 0 ? 1 : 0;
        const std::vector<vm_id> vms(all.begin(), all.end());
        it.set_vms(vm_id(self), vms, start + seconds(61));
        probing_vms += it.share(entry().id) > 0 ? 1 : 0;
    }
    BOOST_TEST(sending_vms == 1U);
    BOOST_TEST(probing_vms == 3U);
}

// Guards against limits of removed endpoints that the VMs would advertise to each other forever.
BOOST_AUTO_TEST_CASE(an_unconfirmed_limit_is_dropped) {
    endpoint_limits it = member("a", {"a"});
    it.on_response(incarnation_of(entry()), response(1.0, start));
    const std::vector<vm_id> vms = {vm_id("a")};
    it.set_vms(vm_id("a"), vms, start + std::chrono::minutes(9));
    BOOST_TEST(it.advertised_limits(start + std::chrono::minutes(9)).size() == 1U);
    it.set_vms(vm_id("a"), vms, start + std::chrono::minutes(11));
    BOOST_TEST(it.advertised_limits(start + std::chrono::minutes(11)).empty());
    BOOST_TEST(it.allows(entry().id, start + std::chrono::minutes(11)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing::testing
