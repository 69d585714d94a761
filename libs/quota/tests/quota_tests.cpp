#include <boost/test/unit_test.hpp>

#include "quota_trial/trial_fleet.h"

using namespace radishpulley;
using namespace radishpulley::quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const client_account_id account("sastro");
constexpr duration warm_up = seconds(5);

trial_settings settings(std::size_t vm_count) {
    trial_settings it;
    it.vm_count = vm_count;
    it.limits = {{account, {to_amount(100), to_amount(1000)}}};
    return it;
}

// Decisions on requests, in the order in which they were made.
struct decision_log {
    std::vector<admission_decision> list;

    trial_fleet::decision_handler handler() {
        return [this](const admission_decision& it) { list.push_back(it); };
    }
    std::size_t admitted_count() const {
        std::size_t n = 0;
        for (const admission_decision& it : list) {
            n += std::holds_alternative<admitted>(it) ? 1 : 0;
        }
        return n;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(quota_suite)

BOOST_AUTO_TEST_CASE(the_whole_burst_is_admitted_on_any_vm_and_no_more) {
    trial_fleet fleet(settings(9));
    decision_log seen;
    fleet.run_until(warm_up);
    fleet.admit(3, account, to_amount(1001), seen.handler());
    BOOST_CHECK(std::get<refused>(seen.list.at(0)).reason == refusal_reason::larger_than_burst);
    fleet.admit(3, account, to_amount(1000), seen.handler());
    fleet.run_until(warm_up + seconds(1));
    BOOST_TEST(seen.admitted_count() == 1);
    fleet.admit(4, account, to_amount(500), seen.handler());
    fleet.run_until(warm_up + seconds(2));
    BOOST_CHECK(std::get<refused>(seen.list.at(2)).reason == refusal_reason::over_rate);
}

BOOST_AUTO_TEST_CASE(one_of_two_racing_requests_is_admitted) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        trial_settings it = settings(9);
        it.seed = seed;
        trial_fleet fleet(it);
        decision_log seen;
        fleet.run_until(warm_up);
        fleet.admit(0, account, to_amount(600), seen.handler());
        fleet.admit(5, account, to_amount(600), seen.handler());
        fleet.run_until(warm_up + seconds(1));
        BOOST_TEST(seen.admitted_count() == 1, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_retry_at_the_end_of_retry_after_is_admitted) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        trial_settings it = settings(9);
        it.seed = seed;
        trial_fleet fleet(it);
        decision_log seen;
        fleet.run_until(warm_up);
        fleet.admit(0, account, to_amount(900), seen.handler());
        fleet.run_until(warm_up + seconds(1));
        fleet.admit(seed % 9, account, to_amount(20.0 * static_cast<double>(seed)), seen.handler());
        fleet.run_until(warm_up + seconds(2));
        BOOST_TEST_REQUIRE(seen.list.size() == 2);
        const auto* refusal = std::get_if<refused>(&seen.list.at(1));
        if (refusal == nullptr) {
            continue;
        }
        fleet.run_until(fleet.now() + refusal->retry_after);
        fleet.admit(seed % 9, account, to_amount(20.0 * static_cast<double>(seed)), seen.handler());
        fleet.run_until(fleet.now() + seconds(1));
        BOOST_TEST(seen.admitted_count() == 2, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(unused_tokens_are_refunded_and_overuse_is_charged) {
    trial_fleet fleet(settings(3));
    decision_log seen;
    fleet.run_until(warm_up);
    const admission_number number = fleet.admit(0, account, to_amount(1000), seen.handler());
    fleet.run_until(warm_up + milliseconds(200));
    fleet.settle(0, number, to_amount(100));
    fleet.run_until(warm_up + milliseconds(400));
    const admission_number second = fleet.admit(1, account, to_amount(800), seen.handler());
    fleet.run_until(warm_up + milliseconds(800));
    BOOST_TEST(seen.admitted_count() == 2);
    fleet.settle(1, second, to_amount(1500));
    fleet.run_until(warm_up + seconds(5));
    fleet.admit(1, account, to_amount(10), seen.handler());
    fleet.run_until(warm_up + seconds(6));
    BOOST_TEST(seen.admitted_count() == 2);
    fleet.run_until(warm_up + seconds(9));
    fleet.admit(1, account, to_amount(10), seen.handler());
    fleet.run_until(warm_up + seconds(10));
    BOOST_TEST(seen.admitted_count() == 3);
}

BOOST_AUTO_TEST_CASE(admission_continues_while_the_store_is_down) {
    trial_fleet fleet(settings(9));
    decision_log seen;
    fleet.run_until(warm_up);
    fleet.store().set_down(true);
    for (int i = 0; i < 100; ++i) {
        fleet.run_until(fleet.now() + seconds(1));
        fleet.admit(static_cast<std::size_t>(i) % 9, account, to_amount(90), seen.handler());
    }
    fleet.run_until(fleet.now() + seconds(1));
    BOOST_TEST(seen.admitted_count() == 100);
}

BOOST_AUTO_TEST_CASE(idle_owners_do_not_count_as_paused) {
    trial_fleet fleet(settings(9));
    decision_log seen;
    fleet.run_until(warm_up);
    fleet.store().set_down(true);
    fleet.run_until(warm_up + std::chrono::minutes(2));
    fleet.admit(0, account, to_amount(1000), seen.handler());
    fleet.run_until(fleet.now() + seconds(1));
    BOOST_TEST(seen.admitted_count() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
