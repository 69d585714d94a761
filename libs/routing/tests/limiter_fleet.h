/// A simulated fleet of account limiters that exchange their demand.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "routing/account_limiter.h"

namespace radishpulley::routing::testing {

inline const time_point start{std::chrono::hours(1)};
inline const client_account_id acme("acme");

inline client_account account(double rate, double burst) {
    client_account out;
    out.id = acme;
    out.rate = rate;
    out.burst = burst;
    out.counts_tokens = true;
    return out;
}

inline bool is_admitted(const admission& it) {
    return std::holds_alternative<admitted>(it);
}

inline vm_id vm_name(std::size_t i) {
    return vm_id("v" + std::to_string(i));
}

/// A fleet whose VMs exchange their demand every 400 ms.
struct fleet {
    explicit fleet(std::size_t n, double rate, double burst, limiter_settings settings = {}) {
        for (std::size_t i = 0; i < n; ++i) {
            vms.push_back(std::make_unique<account_limiter>(settings));
            set_members(i, n);
            vms.back()->configure({account(rate, burst)}, start);
        }
    }

    /// Sets the first `n` VMs as the members that VM `self` knows.
    void set_members(std::size_t self, std::size_t n) {
        std::vector<vm_id> others;
        for (std::size_t i = 0; i < n; ++i) {
            if (i != self) {
                others.push_back(vm_name(i));
            }
        }
        vms[self]->set_members(others);
    }

    void exchange(time_point now) {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (from != to) {
                    vms[to]->on_peer_demand(vm_name(from), vms[from]->demand(now));
                }
            }
        }
    }

    // All VMs report to the account's monitor, which notifies them while the account is saturated.
    // `lost` decides for each message whether it is lost.
    void report(account_monitor& monitor, time_point now, const std::function<bool()>& lost) {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            const std::vector<account_usage> uses = vms[i]->take_usage_reports();
            if (lost()) {
                continue;
            }
            for (const account_usage& it : uses) {
                monitor.on_usage_report({vm_name(i), 1}, it, now);
            }
        }
        for (const account_saturation& it : monitor.take_saturated(now)) {
            for (const auto& vm : vms) {
                if (!lost()) {
                    vm->on_saturation(it, now);
                }
            }
        }
    }

    std::vector<std::unique_ptr<account_limiter>> vms;
};

/// Returns the maximum number of units that a fleet of `n` VMs, which exchange their demand every 4
/// s, admits in a window of 8 s. The VMs report to the account's monitor every 200 ms; the fraction
/// `loss` of these messages is lost. The demand in each second is `demand_factor(second)` times the
/// rate, in long prompts and short questions that arrive at random VMs.
inline double max_units_in_window(std::size_t n, double rate, unsigned seed,
                                  const std::function<double(int)>& demand_factor,
                                  double loss = 0) {
    limiter_settings settings;
    settings.overdraft = 72'000 * 0.4;
    fleet all(n, rate, rate, settings);
    account_monitor monitor;
    const std::vector<client_account> accounts = {account(rate, rate)};
    monitor.configure(accounts, start);
    std::mt19937 random(seed);
    std::uniform_int_distribution<std::size_t> where(0, n - 1);
    std::uniform_real_distribution<double> point(0, 1);
    constexpr int ticks = 28'000;
    constexpr int window = 8'000;
    std::vector<double> admitted_units(ticks, 0);
    double outstanding_units = 0;
    for (int ms = 0; ms < ticks; ++ms) {
        const time_point now = start + std::chrono::milliseconds(ms);
        if (ms % 4'000 == 0) {
            all.exchange(now);
        }
        if (ms % 200 == 0) {
            all.report(monitor, now, [&] { return point(random) < loss; });
        }
        outstanding_units += rate * demand_factor(ms / 1'000) / 1'000;
        while (outstanding_units > 0) {
            const double units = point(random) < 0.4 ? 4'000 + 10'000 * point(random) : 900;
            outstanding_units -= units;
            if (is_admitted(all.vms[where(random)]->admit(acme, units, now))) {
                admitted_units[ms] += units;
            }
        }
    }
    double in_window = 0;
    double most = 0;
    for (int ms = 0; ms < ticks; ++ms) {
        in_window += admitted_units[ms] - (ms >= window ? admitted_units[ms - window] : 0);
        most = std::max(most, in_window);
    }
    return most;
}

/// Returns the number of units that the platform allows in a window of 8 s.
inline double platform_bound(double rate) {
    return (rate * 8 + rate) * 1.1 + 72'000;
}

}  // namespace radishpulley::routing::testing
