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
// Largest relative clock drift of a daemon, fast or slow.
constexpr double clock_drift = 0.01;

account_limits initial_limits(std::uint64_t seed) {
    return {to_amount(seed % 3 == 0 ? 1000 : 100), to_amount(1000)};
}

// Returns the bound that holds by the true clock when every owner's clock runs fast.
account_limits bound_by_true_clock(const account_limits& it) {
    return {it.rate + static_cast<token_amount>(static_cast<double>(it.rate) * clock_drift),
            it.burst};
}

// One schedule of random requests, faults and limit changes, generated from one seed.
class schedule {
public:
    schedule(std::uint64_t seed, const quota_policy& policy, double drift = clock_drift)
        : initial_limits_(initial_limits(seed)),
          random_(seed ^ 0x5eed),
          fleet_(settings(seed, policy, drift)) {
        checks_.emplace_back(bound_by_true_clock(initial_limits_), duration::zero());
        schedule_requests();
        schedule_faults();
    }

    void change_limits(duration when, const account_limits& next) {
        const duration settled = when + max_delay;
        const account_limits largest{std::max(initial_limits_.rate, next.rate),
                                     std::max(initial_limits_.burst, next.burst)};
        const duration loans_end = settled + policy_.loan_lifetime * 2;
        checks_.clear();
        checks_.emplace_back(bound_by_true_clock(largest), duration::zero());
        checks_.emplace_back(bound_by_true_clock({next.rate, largest.burst}), settled);
        checks_.emplace_back(bound_by_true_clock(next), loans_end);
        fleet_.at(when, [this, next] { fleet_.set_limits({{account, next}}, max_delay); });
    }

    void run() { fleet_.run_until(schedule_length); }
    token_amount worst_excess() const { return worst_excess_; }
    std::uint64_t admitted_count() const { return admitted_; }
    std::uint64_t settled_count() const { return settled_; }

private:
    static constexpr duration max_delay = seconds(4);

    trial_settings settings(std::uint64_t seed, const quota_policy& policy, double drift) {
        policy_ = policy;
        trial_settings it;
        it.seed = seed;
        it.vm_count = pick(2, 6);
        it.slot_count = pick(1, 8);
        it.policy = policy;
        it.policy.pause_limit = seconds(3);
        it.limits = {{account, initial_limits_}};
        it.max_latency = milliseconds(pick(2, 80));
        it.loss = 0.01 * static_cast<double>(pick(0, 20));
        it.duplication = 0.01 * static_cast<double>(pick(0, 20));
        it.lateness = 0.01 * static_cast<double>(pick(0, 10));
        it.clock_drift = drift;
        it.list_lag = milliseconds(pick(0, 8000));
        vm_count_ = it.vm_count;
        return it;
    }

    std::size_t pick(std::size_t least, std::size_t largest) {
        return std::uniform_int_distribution<std::size_t>(least, largest)(random_);
    }

    void schedule_requests() {
        const std::size_t count = pick(3, 200);
        const std::size_t largest = pick(1, 4) == 1 ? 1000 : pick(10, 500);
        schedule_burst();
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t vm = pick(0, 2) == 0 ? 0 : pick(0, vm_count_ - 1);
            const token_amount size = to_amount(static_cast<double>(pick(1, largest)));
            fleet_.at(milliseconds(pick(0, 20000)), [this, vm, size] { request(vm, size); });
        }
    }

    // Schedules many small requests on all VMs, and shortly afterwards several requests nearly as
    // large as the burst.
    void schedule_burst() {
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
                record_admission(vm, it->number, size);
            }
        });
    }

    void record_admission(std::size_t vm, admission_number number, token_amount size) {
        ++admitted_;
        std::size_t index = 0;
        for (window_check& it : checks_) {
            index = it.add(fleet_.now(), size);
            worst_excess_ = std::max(worst_excess_, it.excess());
        }
        const token_amount used = size * static_cast<token_amount>(pick(0, 4)) / 3;
        fleet_.at(fleet_.now() + milliseconds(pick(1, 9000)), [this, vm, number, index, used] {
            ++settled_;
            for (window_check& it : checks_) {
                it.lower(index, used);
            }
            fleet_.settle(vm, number, used);
        });
    }

    void schedule_faults() {
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
            // The pause exceeds the pause limit, and the platform removes the VM from its list
            // meanwhile.
            fleet_.pause(vm, seconds(4) + length);
            fleet_.remove_from_list(vm);
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

    account_limits initial_limits_;
    std::mt19937_64 random_;
    quota_policy policy_;
    std::size_t vm_count_ = 0;
    trial_fleet fleet_;
    std::vector<window_check> checks_;
    token_amount worst_excess_ = std::numeric_limits<token_amount>::min();
    std::uint64_t admitted_ = 0;
    std::uint64_t settled_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(window_bound)

BOOST_AUTO_TEST_CASE(no_window_exceeds_burst_and_rate_under_any_fault) {
    std::uint64_t admissions = 0;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        schedule it(seed, quota_policy());
        it.run();
        admissions += it.admitted_count();
        BOOST_TEST_REQUIRE(it.worst_excess() <= 0,
                           "seed " << seed << " exceeds the bound by " << it.worst_excess());
    }
    BOOST_TEST_MESSAGE(admissions << " admissions");
    BOOST_TEST(admissions > schedule_count * 10);
}

BOOST_AUTO_TEST_CASE(changed_limits_hold_once_older_loans_have_expired) {
    for (std::uint64_t seed = 1; seed <= schedule_count / 4; ++seed) {
        const bool is_lowered = seed % 2 == 0;
        schedule it(seed, quota_policy());
        it.change_limits(seconds(6), is_lowered ? account_limits{to_amount(30), to_amount(200)}
                                                : account_limits{to_amount(200), to_amount(1500)});
        it.run();
        BOOST_TEST_REQUIRE(it.worst_excess() <= 0,
                           "seed " << seed << " exceeds the bound by " << it.worst_excess());
    }
}

// Guards against a check that passes vacuously: it has to detect owners whose clocks run far too
// fast.
BOOST_AUTO_TEST_CASE(the_check_detects_owners_that_accrue_too_fast) {
    std::uint64_t detected = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        schedule it(seed, quota_policy(), 0.9);
        it.run();
        detected += it.worst_excess() > 0 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("excess detected on " << detected << " of 100 seeds");
    BOOST_TEST(detected > 0);
}

// Returns the excess when two borrowers hold their loans and spend them just before the first one
// expires.
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

BOOST_AUTO_TEST_CASE(a_loan_spent_just_before_it_expires_stays_within_the_bound) {
    BOOST_TEST(excess_of_late_spenders(quota_policy().drift_margin) <= 0);
    BOOST_TEST(excess_of_late_spenders(-milliseconds(1900)) > 0);
}

BOOST_AUTO_TEST_SUITE_END()
