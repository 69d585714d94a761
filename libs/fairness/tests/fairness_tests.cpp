#include <boost/test/unit_test.hpp>

#include "fairness/fair_queue.h"

using namespace radishpulley;
using namespace radishpulley::fairness;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const client_account_id greedy("greedy");
const client_account_id small("small");
const time_point start{seconds(100)};

queued_request request(queue_number number, const client_account_id& account, double weight = 1) {
    return {number, account, weight, start + seconds(60), seconds(1)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fairness_suite)

BOOST_AUTO_TEST_CASE(unused_capacity_goes_to_the_other_accounts_by_weight) {
    const demand_summary demand = {{client_account_id("a"), {1, 2}},
                                   {client_account_id("b"), {1, 100}},
                                   {client_account_id("c"), {3, 100}}};
    const fair_ratios shares = divide(demand, 42);
    BOOST_TEST(shares.at(client_account_id("a")) == 1.0);
    BOOST_TEST(shares.at(client_account_id("b")) == 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares.at(client_account_id("c")) == 0.3, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(merged_demand_is_the_sum) {
    demand_summary sum = {{greedy, {1, 5}}};
    merge(sum, {{greedy, {2, 7}}, {small, {1, 1}}});
    BOOST_TEST(sum.at(greedy).requests == 12);
    BOOST_TEST(sum.at(greedy).weight == 2);
    BOOST_TEST(sum.at(small).requests == 1);
}

BOOST_AUTO_TEST_CASE(without_shares_accounts_are_served_in_turn_by_weight) {
    fair_queue queue{queue_policy()};
    for (queue_number i = 1; i <= 100; ++i) {
        queue.push(request(i, greedy), start);
        queue.push(request(1000 + i, small, 3), start);
    }
    int of_small = 0;
    for (int i = 0; i < 40; ++i) {
        of_small += *queue.pop(start) > 1000 ? 1 : 0;
    }
    BOOST_TEST(of_small >= 29);
    BOOST_TEST(of_small <= 31);
}

BOOST_AUTO_TEST_CASE(an_account_over_its_share_waits_for_credit) {
    fair_queue queue{queue_policy()};
    queue.set_shares({{greedy, 0.25}}, start);
    for (queue_number i = 1; i <= 8; ++i) {
        queue.push(request(i, greedy), start);
    }
    time_point now = start + milliseconds(100);
    int running = 0;
    while (queue.pop(now)) {
        ++running;
        now += milliseconds(100);
        BOOST_TEST_REQUIRE(running < 9);
    }
    BOOST_TEST(running < 8);
    BOOST_TEST(queue.waiting_count() > 0);
    // Expired shares no longer apply.
    BOOST_TEST(queue.pop(start + seconds(62)).has_value());
}

BOOST_AUTO_TEST_CASE(refusals_are_immediate_and_include_the_retry_time) {
    queue_policy policy;
    policy.max_waiting = 2;
    fair_queue queue(policy);
    BOOST_TEST(std::holds_alternative<queued>(queue.push(request(1, greedy), start)));
    BOOST_TEST(std::holds_alternative<queued>(queue.push(request(2, greedy), start)));
    const auto full = std::get<not_queued>(queue.push(request(3, greedy), start));
    BOOST_CHECK(full.reason == queue_refusal::account_queue_full);
    BOOST_TEST(std::holds_alternative<queued>(queue.push(request(4, small), start)));
    queued_request late = request(5, small);
    late.deadline = start + milliseconds(500);
    const auto refusal = std::get<not_queued>(queue.push(late, start));
    BOOST_CHECK(refusal.reason == queue_refusal::deadline_too_early);
    BOOST_CHECK(refusal.retry_after == milliseconds(500));
    BOOST_TEST(queue.remove_expired(start + seconds(61)).size() == 3);
    BOOST_TEST(queue.waiting_count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
