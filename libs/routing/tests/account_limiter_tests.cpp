#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <random>

#include "limiter_fleet.h"

namespace radishpulley::routing {
namespace {

using namespace testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Sends 50,000 units per second to the first `busy` VMs in turn until `end_ms`, and returns the
// number of requests refused after the first 4 s.
int refused_after_warmup(fleet& all, int end_ms, int busy) {
    int refused = 0;
    for (int ms = 0; ms < end_ms; ms += 10) {
        const time_point now = start + milliseconds(ms);
        if (ms % 400 == 0) {
            all.exchange(now);
        }
        const bool late = ms > 4'000;
        if (!is_admitted(all.vms[ms / 10 % busy]->admit(acme, 500, now)) && late) {
            ++refused;
        }
    }
    return refused;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(account_limiter_tests)

// Guards against exceeding the limit across hundreds of VMs that each rarely see a request of the
// account: a VM that sees one overestimates its own average demand.
BOOST_AUTO_TEST_CASE(hundreds_of_vms_that_see_few_requests_each_stay_within_the_limit) {
    constexpr double rate = 126'000;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const double most = max_units_in_window(195, rate, seed, [](int) { return 1.5; });
        BOOST_TEST(most <= platform_bound(rate));
        BOOST_TEST(most >= rate * 8 * 0.8);
    }
}

BOOST_AUTO_TEST_CASE(demand_below_the_limit_is_admitted_by_hundreds_of_vms) {
    constexpr double rate = 126'000;
    const double most = max_units_in_window(195, rate, 1, [](int) { return 0.6; });
    BOOST_TEST(most >= rate * 8 * 0.6 * 0.97);
}

BOOST_AUTO_TEST_CASE(accounts_without_a_limit_are_admitted) {
    account_limiter it;
    it.configure({account(0, 0)}, start);
    BOOST_TEST(is_admitted(it.admit(acme, 1e9, start)));
    BOOST_TEST(is_admitted(it.admit(client_account_id("unknown"), 1e9, start)));
}

// The platform's requirement: in each window of 8 s at most 10% over the limit plus a fixed number
// of units.
BOOST_AUTO_TEST_CASE(all_vms_together_stay_within_the_limit_for_any_distribution) {
    constexpr double rate = 80'000;
    constexpr double burst = 80'000;
    constexpr double largest = 12'000;
    constexpr double slack = 72'000;
    constexpr std::size_t vms = 7;
    constexpr int ticks = 24'000;
    constexpr int window = 8'000;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        limiter_settings settings;
        settings.overdraft = slack * 0.4;
        fleet all(vms, rate, burst, settings);
        std::mt19937 random(seed);
        std::discrete_distribution<std::size_t> where({1, 1, 1, 1, 1, 1, double(seed)});
        std::uniform_real_distribution<double> size(200, largest);
        std::vector<double> admitted_units(ticks, 0);
        // Five times the rate.
        for (int ms = 0; ms < ticks; ++ms) {
            const time_point now = start + milliseconds(ms);
            if (ms % 400 == 0) {
                all.exchange(now);
            }
            if (ms % 15 == 0) {
                const double units = size(random);
                if (is_admitted(all.vms[where(random)]->admit(acme, units, now))) {
                    admitted_units[ms] = units;
                }
            }
        }
        const double bound = (rate * 8 + burst) * 1.1 + slack;
        double in_window = 0;
        double most = 0;
        for (int ms = 0; ms < ticks; ++ms) {
            in_window += admitted_units[ms] - (ms >= window ? admitted_units[ms - window] : 0);
            most = std::max(most, in_window);
        }
        BOOST_TEST(most <= bound);
        BOOST_TEST(in_window >= rate * 8 * 0.8);
    }
}

BOOST_AUTO_TEST_CASE(demand_within_the_limit_is_admitted_at_a_single_vm) {
    fleet all(7, 80'000, 80'000);
    BOOST_TEST(refused_after_warmup(all, 20'000, 1) == 0);
}

BOOST_AUTO_TEST_CASE(many_idle_vms_do_not_take_the_shares_of_the_busy_ones) {
    fleet all(88, 80'000, 80'000);
    BOOST_TEST(refused_after_warmup(all, 8'000, 4) == 0);
}

BOOST_AUTO_TEST_CASE(short_calls_are_admitted_while_long_prompts_exceed_the_limit) {
    account_limiter it;
    it.configure({account(15'000, 15'000)}, start);
    int short_calls = 0;
    int short_refused = 0;
    int long_refused = 0;
    for (int ms = 0; ms < 10'000; ms += 100) {
        const time_point now = start + milliseconds(ms);
        long_refused += is_admitted(it.admit(acme, 10'000, now)) ? 0 : 1;
        ++short_calls;
        short_refused += is_admitted(it.admit(acme, 200, now)) ? 0 : 1;
    }
    BOOST_TEST(long_refused > 50);
    BOOST_TEST(short_refused == 0);
    BOOST_TEST(short_calls == 100);
}

BOOST_AUTO_TEST_CASE(a_silent_vm_keeps_its_share_until_it_is_no_member) {
    fleet all(2, 1'000, 1'000);
    for (auto& vm : all.vms) {
        vm->admit(acme, 500, start);
    }
    all.exchange(start);
    const double before = all.vms[0]->share(acme, start);
    BOOST_TEST(before == 0.5, boost::test_tools::tolerance(0.01));
    const std::vector<lost_contact> lost = {{vm_name(1), start, seconds(1), false}};
    all.vms[0]->set_lost_contacts(lost);
    for (const int second : {2, 9, 60}) {
        all.vms[0]->admit(acme, 500, start + seconds(second));
        BOOST_TEST(all.vms[0]->share(acme, start + seconds(second)) < 0.51);
    }
    all.set_members(0, 1);
    all.vms[0]->set_lost_contacts({});
    BOOST_TEST(all.vms[0]->share(acme, start + seconds(61)) > 0.99);
}

BOOST_AUTO_TEST_CASE(a_refusal_states_the_retry_delay) {
    account_limiter it;
    it.configure({account(1'000, 1'000)}, start);
    while (is_admitted(it.admit(acme, 400, start))) {
    }
    const auto refused = std::get<over_limit>(it.admit(acme, 400, start));
    BOOST_TEST((refused.retry_after > duration::zero()));
    BOOST_TEST(is_admitted(it.admit(acme, 400, start + refused.retry_after)));
}

BOOST_AUTO_TEST_CASE(a_lowered_limit_applies_at_once) {
    account_limiter it;
    it.configure({account(100'000, 100'000)}, start);
    it.configure({account(1'000, 1'000)}, start);
    BOOST_TEST(is_admitted(it.admit(acme, 5'000, start)));
    BOOST_TEST(!is_admitted(it.admit(acme, 5'000, start)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
