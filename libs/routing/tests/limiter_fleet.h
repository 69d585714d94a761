/// A fleet of limiters that tell each other their demand.
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

constexpr duration statement_lifetime = std::chrono::seconds(10);

/// A fleet whose VMs tell each other their demand every 400 ms.
struct fleet {
    explicit fleet(std::size_t n, double rate, double burst, limiter_settings settings = {}) {
        for (std::size_t i = 0; i < n; ++i) {
            vms.push_back(std::make_unique<account_limiter>(settings));
            vms.back()->set_fleet_size(n);
            vms.back()->configure({account(rate, burst)}, start);
        }
    }

    void exchange(time_point now) {
        for (std::size_t from = 0; from < vms.size(); ++from) {
            for (std::size_t to = 0; to < vms.size(); ++to) {
                if (from != to) {
                    vms[to]->on_peer_demand(vm_id("v" + std::to_string(from)), vms[from]->demand(now), now,
                                     statement_lifetime);
                }
            }
        }
    }

    // All VMs report to the account's watcher, which tells them where the account is at its limit.
    // `lost` says of each message whether it is lost.
    void report(account_monitor& watcher, time_point now, const std::function<bool()>& lost) {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            const std::vector<account_usage> uses = vms[i]->take_usage_reports();
            if (lost()) {
                continue;
            }
            for (const account_usage& it : uses) {
                watcher.on_usage_report({vm_id("v" + std::to_string(i)), 1}, it, now);
            }
        }
        for (const account_saturation& it : watcher.take_saturated(now)) {
            for (const auto& vm : vms) {
                if (!lost()) {
                    vm->on_saturation(it, now);
                }
            }
        }
    }

    std::vector<std::unique_ptr<account_limiter>> vms;
};

/// Most units that a fleet of `n` VMs, which tell each other their demand every 4 s, admits in a
/// window of 8 s. They report to the account's watcher every 200 ms; the part `loss` of these
/// messages is lost. Each second's demand is `times_rate(second)` times the rate, in long prompts
/// and short questions that reach any VM.
inline double most_in_a_window(std::size_t n, double rate, unsigned seed,
                               const std::function<double(int)>& times_rate, double loss = 0) {
    limiter_settings settings;
    settings.overdraft = 72'000 * 0.4;
    fleet all(n, rate, rate, settings);
    account_monitor watcher;
    const std::vector<client_account> accounts = {account(rate, rate)};
    watcher.configure(accounts, start);
    std::mt19937 random(seed);
    std::uniform_int_distribution<std::size_t> where(0, n - 1);
    std::uniform_real_distribution<double> point(0, 1);
    constexpr int ticks = 28'000;
    constexpr int window = 8'000;
    std::vector<double> given(ticks, 0);
    double owed = 0;
    for (int ms = 0; ms < ticks; ++ms) {
        const time_point now = start + std::chrono::milliseconds(ms);
        if (ms % 4'000 == 0) {
            all.exchange(now);
        }
        if (ms % 200 == 0) {
            all.report(watcher, now, [&] { return point(random) < loss; });
        }
        owed += rate * times_rate(ms / 1'000) / 1'000;
        while (owed > 0) {
            const double units = point(random) < 0.4 ? 4'000 + 10'000 * point(random) : 900;
            owed -= units;
            if (is_admitted(all.vms[where(random)]->admit(acme, units, now))) {
                given[ms] += units;
            }
        }
    }
    double in_window = 0;
    double most = 0;
    for (int ms = 0; ms < ticks; ++ms) {
        in_window += given[ms] - (ms >= window ? given[ms - window] : 0);
        most = std::max(most, in_window);
    }
    return most;
}

/// What the platform allows in a window of 8 s.
inline double platform_bound(double rate) {
    return (rate * 8 + rate) * 1.1 + 72'000;
}

}  // namespace radishpulley::routing::testing
