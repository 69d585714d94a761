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

limit_observation answered(std::optional<double> rate, time_point at) {
    return {rate, at - milliseconds(100), at, true};
}

// One VM of several.
endpoint_limits member(const std::string& self, const std::vector<std::string>& all) {
    endpoint_limits out;
    const std::vector<vm_id> vms(all.begin(), all.end());
    out.set_vms(vm_id(self), vms, start);
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limits_tests)

// Guards against an endpoint in need that gets its limit once from each VM.
BOOST_AUTO_TEST_CASE(a_limit_holds_over_all_vms_however_many_they_are) {
    for (const std::size_t vms : {1, 9, 64, 195, 380}) {
        for (const double rate : {0.5, 1.0, 3.0, 40.0}) {
            for (const double loss : {0.0, 0.3}) {
                limited_endpoint it({vms, 60, loss, vms});
                it.run(seconds(2));
                it.set_limit(rate);
                it.run(seconds(20));
                BOOST_TEST_CONTEXT(vms << " VMs, " << rate << " a second, lost " << loss) {
                    BOOST_TEST(it.worst <= 1.0);
                }
            }
        }
    }
}

// Guards against limits that hold because nothing is sent.
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

// Guards against a limit that holds twice while VMs come and go.
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
        BOOST_TEST(it.worst <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(the_end_of_a_limit_reaches_all_vms) {
    limited_endpoint it({9, 60, 0.3, 1});
    it.set_limit(2.0);
    it.run(seconds(6));
    BOOST_TEST(it.all_know(2.0));
    it.set_limit(std::nullopt);
    it.run(seconds(6));
    BOOST_TEST(it.all_know(std::nullopt));
}

BOOST_AUTO_TEST_CASE(an_answer_that_was_under_way_does_not_end_a_limit) {
    endpoint_limits it = member("a", {"a"});
    BOOST_TEST(it.on_response(incarnation_of(entry()), answered(1.0, start)));
    BOOST_TEST(
        !it.on_response(incarnation_of(entry()), answered(std::nullopt, start + milliseconds(50))));
    BOOST_TEST(it.rate(entry().id).value() == 1.0);
    BOOST_TEST(
        it.on_response(incarnation_of(entry()), answered(std::nullopt, start + milliseconds(200))));
    BOOST_TEST(!it.rate(entry().id).has_value());
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_no_whole_success_does_not_end_a_limit) {
    endpoint_limits it = member("a", {"a"});
    it.on_response(incarnation_of(entry()), answered(1.0, start));
    limit_observation broken = answered(std::nullopt, start + seconds(1));
    broken.is_complete = false;
    BOOST_TEST(!it.on_response(incarnation_of(entry()), broken));
    BOOST_TEST(it.rate(entry().id).has_value());
}

BOOST_AUTO_TEST_CASE(older_knowledge_of_another_vm_changes_nothing) {
    endpoint_limits it = member("a", {"a", "b"});
    it.on_response(incarnation_of(entry()), answered(1.0, start));
    BOOST_TEST(!it.on_peer_limit({entry().id, 1, std::nullopt, 500}, start + milliseconds(400)));
    BOOST_TEST(!it.on_peer_limit({entry().id, 0, 9.0, 0}, start + milliseconds(400)));
    BOOST_TEST(it.on_peer_limit({entry().id, 1, 2.0, 100}, start + milliseconds(400)));
    BOOST_TEST(it.rate(entry().id).value() == 2.0);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_began_anew_has_no_limit) {
    endpoint_limits it = member("a", {"a"});
    it.on_response(incarnation_of(entry()), answered(1.0, start));
    BOOST_TEST(!it.allows(entry().id, start));
    it.on_entry(entry(1));
    BOOST_TEST(!it.allows(entry().id, start));
    it.on_entry(entry(2));
    BOOST_TEST(it.allows(entry().id, start));
}

// Guards against an endpoint that stays out of use for good because it takes nothing now, or
// because the word of a limit's end was lost.
BOOST_AUTO_TEST_CASE(limits_of_nothing_and_limits_without_confirmation_are_tried) {
    endpoint_limits alone = member("a", {"a"});
    alone.on_response(incarnation_of(entry()), answered(0.0, start));
    BOOST_TEST(!alone.allows(entry().id, start + seconds(9)));
    BOOST_TEST(alone.allows(entry().id, start + seconds(11)));

    const std::vector<std::string> all = {"a", "b", "c"};
    std::size_t users = 0;
    std::size_t later = 0;
    for (const std::string& self : all) {
        endpoint_limits it = member(self, all);
        it.on_peer_limit({entry().id, 1, 1.0, 0}, start);
        users += it.share(entry().id) > 0 ? 1 : 0;
        const std::vector<vm_id> vms(all.begin(), all.end());
        it.set_vms(vm_id(self), vms, start + seconds(61));
        later += it.share(entry().id) > 0 ? 1 : 0;
    }
    BOOST_TEST(users == 1U);
    BOOST_TEST(later == 3U);
}

// Guards against limits of endpoints that are gone, which all VMs tell each other for good.
BOOST_AUTO_TEST_CASE(a_limit_that_nobody_confirms_is_forgotten) {
    endpoint_limits it = member("a", {"a"});
    it.on_response(incarnation_of(entry()), answered(1.0, start));
    const std::vector<vm_id> vms = {vm_id("a")};
    it.set_vms(vm_id("a"), vms, start + std::chrono::minutes(9));
    BOOST_TEST(it.advertised_limits(start + std::chrono::minutes(9)).size() == 1U);
    it.set_vms(vm_id("a"), vms, start + std::chrono::minutes(11));
    BOOST_TEST(it.advertised_limits(start + std::chrono::minutes(11)).empty());
    BOOST_TEST(it.allows(entry().id, start + std::chrono::minutes(11)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing::testing
