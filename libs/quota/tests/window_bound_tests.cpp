#include <boost/test/unit_test.hpp>

#include "quota_trial/trial_fleet.h"
#include "quota_trial/window_check.h"

using namespace radishpulley;
using namespace radishpulley::quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t schedule_count = 2000;
constexpr duration schedule_length = seconds(20);

const client_account_id account("sastro");
// Owners count time by clocks that run up to this much fast or slow.
constexpr double clock_drift = 0.01;

account_limits usual_limits(std::uint64_t seed) {
    return {to_amount(seed % 3 == 0 ? 1000 : 100), to_amount(1000)};
}

// The bound by the true clock when every owner's clock runs fast.
account_limits by_true_clock(const account_limits& it) {
    return {it.rate + static_cast<token_amount>(static_cast<double>(it.rate) * clock_drift),
            it.burst};
}

// One schedule: random requests, faults and changes of limits, all from one seed.
class schedule {
public:
    schedule(std::uint64_t seed, const quota_policy& policy, double drift = clock_drift)
        : usual_(usual_limits(seed)),
          random_(seed ^ 0x5eed),
          fleet_(settings(seed, policy, drift)) {
        checks_.emplace_back(by_true_clock(usual_), duration::zero());
        plan_requests();
        plan_faults();
    }

    void change_limits(duration when, const account_limits& next) {
        const duration settled = when + most_delay;
        const account_limits most{std::max(usual_.rate, next.rate),
                                  std::max(usual_.burst, next.burst)};
        const duration loans_end = settled + policy_.loan_lifetime * 2;
        checks_.clear();
        checks_.emplace_back(by_true_clock(most), duration::zero());
        checks_.emplace_back(by_true_clock({next.rate, most.burst}), settled);
        checks_.emplace_back(by_true_clock(next), loans_end);
        fleet_.at(when, [this, next] { fleet_.set_limits({{account, next}}, most_delay); });
    }

    void run() { fleet_.run_until(schedule_length); }
    token_amount worst() const { return worst_; }
    std::uint64_t admitted_count() const { return admitted_; }
    std::uint64_t refunded_count() const { return refunded_; }

private:
    static constexpr duration most_delay = seconds(4);

    trial_settings settings(std::uint64_t seed, const quota_policy& policy, double drift) {
        policy_ = policy;
        trial_settings it;
        it.seed = seed;
        it.vm_count = pick(2, 6);
        it.slot_count = pick(1, 8);
        it.policy = policy;
        it.policy.pause_limit = seconds(3);
        it.limits = {{account, usual_}};
        it.max_latency = milliseconds(pick(2, 80));
        it.loss = 0.01 * static_cast<double>(pick(0, 20));
        it.duplication = 0.01 * static_cast<double>(pick(0, 20));
        it.lateness = 0.01 * static_cast<double>(pick(0, 10));
        it.clock_drift = drift;
        it.list_lag = milliseconds(pick(0, 8000));
        vm_count_ = it.vm_count;
        return it;
    }

    std::size_t pick(std::size_t least, std::size_t most) {
        return std::uniform_int_distribution<std::size_t>(least, most)(random_);
    }

    void plan_requests() {
        const std::size_t count = pick(3, 200);
        const std::size_t largest = pick(1, 4) == 1 ? 1000 : pick(10, 500);
        plan_burst();
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t vm = pick(0, 2) == 0 ? 0 : pick(0, vm_count_ - 1);
            const token_amount size = to_amount(static_cast<double>(pick(1, largest)));
            fleet_.at(milliseconds(pick(0, 20000)), [this, vm, size] { request(vm, size); });
        }
    }

    // Many small requests on all VMs, and soon after one as large as the burst.
    void plan_burst() {
        const auto start = milliseconds(pick(0, 15000));
        for (std::size_t i = 0; i < 10 * vm_count_; ++i) {
            fleet_.at(start + milliseconds(pick(0, 300)),
                      [this, vm = i % vm_count_] { request(vm, to_amount(10)); });
        }
        for (std::size_t i = 0; i < 6; ++i) {
            fleet_.at(start + milliseconds(300 + 250 * i),
                      [this, vm = i % vm_count_] { request(vm, to_amount(900)); });
        }
    }

    void request(std::size_t vm, token_amount size) {
        fleet_.admit(vm, account, size, [this, vm, size](const admission_decision& decision) {
            if (const auto* it = std::get_if<admitted>(&decision)) {
                note_admission(vm, it->number, size);
            }
        });
    }

    void note_admission(std::size_t vm, admission_number number, token_amount size) {
        ++admitted_;
        std::size_t index = 0;
        for (window_check& it : checks_) {
            index = it.add(fleet_.now(), size);
            worst_ = std::max(worst_, it.excess());
        }
        const token_amount used = size * static_cast<token_amount>(pick(0, 4)) / 3;
        fleet_.at(fleet_.now() + milliseconds(pick(1, 9000)), [this, vm, number, index, used] {
            ++refunded_;
            for (window_check& it : checks_) {
                it.lower(index, used);
            }
            fleet_.settle(vm, number, used);
        });
    }

    void plan_faults() {
        const std::size_t count = pick(0, 6);
        for (std::size_t i = 0; i < count; ++i) {
            const duration start = milliseconds(pick(0, 15000));
            const std::size_t vm = pick(0, vm_count_ - 1);
            const std::size_t kind = pick(0, 5);
            fleet_.at(start, [this, vm, kind] { begin_fault(vm, kind); });
        }
    }

    void begin_fault(std::size_t vm, std::size_t kind) {
        const duration length = milliseconds(pick(100, 9000));
        if (kind == 0) {
            fleet_.kill(vm);
            fleet_.at(fleet_.now() + length, [this, vm] { fleet_.replace(vm); });
        } else if (kind == 1) {
            fleet_.pause(vm, length);
        } else if (kind == 2) {
            // Longer than the pause limit, and the platform gives the VM up meanwhile.
            fleet_.pause(vm, seconds(4) + length);
            fleet_.take_off_list(vm);
        } else if (kind == 3) {
            fleet_.store().set_down(true);
            fleet_.at(fleet_.now() + length, [this] { fleet_.store().set_down(false); });
        } else if (kind == 4) {
            fleet_.cut_off(vm, true, pick(0, 1) == 0);
            fleet_.at(fleet_.now() + length, [this, vm] { fleet_.cut_off(vm, false, false); });
        } else {
            fleet_.replace(vm);
        }
    }

    account_limits usual_;
    std::mt19937_64 random_;
    quota_policy policy_;
    std::size_t vm_count_ = 0;
    trial_fleet fleet_;
    std::vector<window_check> checks_;
    token_amount worst_ = std::numeric_limits<token_amount>::min();
    std::uint64_t admitted_ = 0;
    std::uint64_t refunded_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(window_bound)

BOOST_AUTO_TEST_CASE(no_window_exceeds_burst_and_rate_under_any_fault) {
    std::uint64_t admissions = 0;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        schedule it(seed, quota_policy());
        it.run();
        admissions += it.admitted_count();
        BOOST_TEST_REQUIRE(it.worst() <= 0, "seed " << seed << " exceeds by " << it.worst());
    }
    BOOST_TEST_MESSAGE(admissions << " admissions");
    BOOST_TEST(admissions > schedule_count * 10);
}

BOOST_AUTO_TEST_CASE(changed_limits_hold_once_older_loans_have_ended) {
    for (std::uint64_t seed = 1; seed <= schedule_count / 4; ++seed) {
        const bool lowers = seed % 2 == 0;
        schedule it(seed, quota_policy());
        it.change_limits(seconds(6), lowers ? account_limits{to_amount(30), to_amount(200)}
                                            : account_limits{to_amount(200), to_amount(1500)});
        it.run();
        BOOST_TEST_REQUIRE(it.worst() <= 0, "seed " << seed << " exceeds by " << it.worst());
    }
}

// Owners whose clocks run far too fast must be caught.
BOOST_AUTO_TEST_CASE(the_check_notices_owners_that_add_too_much) {
    std::uint64_t caught = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        schedule it(seed, quota_policy(), 0.9);
        it.run();
        caught += it.worst() > 0 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("caught on " << caught << " of 100 seeds");
    BOOST_TEST(caught > 0);
}

// Two borrowers that hold what they were lent and spend it just before it ends.
token_amount excess_of_late_spenders(duration margin) {
    quota_policy policy;
    policy.drift_margin = margin;
    const vm_incarnation self{vm_id("owner"), 1};
    const account_limits limits{to_amount(1000), to_amount(1000)};
    slot_owner owner(self, policy);
    window_check check(limits, duration::zero());
    const time_point start{seconds(100)};
    owner.set_limits({{account, limits}}, start);
    owner.set_table({{slot_entry{self, 1}}}, start);
    const duration later = milliseconds(1900);
    for (const duration sent : {duration::zero(), later}) {
        for (duration at = milliseconds(100); at < sent; at += milliseconds(100)) {
            owner.advance(start + at);
        }
        loan_request request;
        request.key = {0, 1, account, 1};
        request.wanted = limits.burst;
        request.lifetime = policy.loan_lifetime;
        const vm_incarnation from{vm_id(sent == later ? "b" : "a"), 1};
        for (const outgoing_message& it : owner.receive(from, request, start + sent)) {
            check.add(later, std::get<loan_grant>(it.message).granted);
        }
    }
    return check.excess();
}

BOOST_AUTO_TEST_CASE(a_loan_spent_just_before_its_end_stays_within_the_bound) {
    BOOST_TEST(excess_of_late_spenders(quota_policy().drift_margin) <= 0);
    BOOST_TEST(excess_of_late_spenders(-milliseconds(1900)) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
