#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>

#include "policy.h"

namespace radishpulley::measure {
namespace {

constexpr double stall_target = 1.0 / 3;
constexpr double loads_target = 1.5;
constexpr const char* own_policy = "radishpulley";

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(part * last))];
}

struct account_figures {
    std::size_t requests = 0;
    std::size_t served = 0;
    std::vector<double> first_token;
};

double batch_efficiency(const world& where) {
    duration busy{};
    std::uint64_t tokens = 0;
    for (const auto& engine : where.engines) {
        busy += engine->busy();
        tokens += engine->tokens();
    }
    return static_cast<double>(tokens) * seconds(best_token_time()) / std::max(seconds(busy), 1e-9);
}

figures summarise(const std::string& name, const std::vector<job>& jobs, std::size_t loads,
                  std::uint64_t control_bytes, time_point from) {
    figures result;
    result.policy = name;
    std::vector<double> stalls;
    std::vector<double> first_token;
    std::vector<account_figures> accounts(account_count);
    std::uint64_t bytes = control_bytes;
    for (const job& it : jobs) {
        if (it.what.at < from) {
            continue;
        }
        ++result.requests;
        account_figures& account = accounts[it.what.account];
        ++account.requests;
        if (!it.started || it.first_token == time_point::max()) {
            ++result.refused;
            continue;
        }
        ++account.served;
        const double wait = seconds(it.first_token - it.what.at);
        first_token.push_back(wait);
        account.first_token.push_back(wait);
        if (it.stall > duration::zero()) {
            stalls.push_back(seconds(it.stall));
        }
        if (it.crossed_region) {
            bytes +=
                std::uint64_t{bytes_per_token} * (it.what.prompt_tokens + it.what.output_tokens);
        }
    }
    result.stalls = stalls.size();
    result.stall_p50 = quantile(stalls, 0.5);
    result.stall_p95 = quantile(stalls, 0.95);
    result.stall_p99 = quantile(stalls, 0.99);
    result.first_token_p50 = quantile(first_token, 0.5);
    result.first_token_p95 = quantile(first_token, 0.95);
    for (const account_figures& it : accounts) {
        const double served = static_cast<double>(it.served) / static_cast<double>(it.requests);
        result.worst_served = std::min(result.worst_served, served);
        result.worst_first_token_p95 =
            std::max(result.worst_first_token_p95, quantile(it.first_token, 0.95));
    }
    result.loads_per_1000 =
        1000.0 * static_cast<double>(loads) / static_cast<double>(result.requests);
    result.cross_region_megabytes = static_cast<double>(bytes) / 1e6;
    return result;
}

using policy_maker = std::function<std::unique_ptr<policy>(world&)>;

figures run_policy(const std::string& name, const std::vector<arrival>& arrivals,
                   const workload_settings& settings, const policy_maker& make) {
    world where;
    std::vector<job> jobs(arrivals.size());
    const std::unique_ptr<policy> it = make(where);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        jobs[i].what = arrivals[i];
        where.events.at(arrivals[i].at, [&it, &jobs, i] { it->place(jobs[i]); });
    }
    const time_point from = workload_start + settings.warm_up;
    where.events.run_until(from);
    const std::size_t loads_before = where.store.loads();
    const std::uint64_t bytes_before = it->control_bytes();
    const std::uint64_t messages_before = it->control_messages();
    for (auto& engine : where.engines) {
        engine->reset_counts();
    }
    where.events.run_until(from + settings.measured);
    const std::size_t loads = where.store.loads() - loads_before;
    const std::uint64_t bytes = it->control_bytes() - bytes_before;
    const double efficiency = batch_efficiency(where);
    const std::uint64_t messages = it->control_messages() - messages_before;
    // Requests that arrived last get the time to begin; nothing else is counted then.
    where.events.run_until(from + settings.measured + caller_patience + std::chrono::seconds(10));
    figures result = summarise(name, jobs, loads, bytes, from);
    result.batch_efficiency = efficiency;
    result.control_messages = static_cast<double>(messages) / static_cast<double>(result.requests);
    return result;
}

const figures& own(const row_figures& it) {
    return it.policies.back();
}

bool require(bool met, const row_figures& it, const char* target, double seen, double limit) {
    if (!met) {
        std::printf("MISSED %s: %s: %.3f, target %.3f\n", it.what.name.c_str(), target, seen,
                    limit);
    }
    return met;
}

}  // namespace

std::vector<row> all_rows() {
    return {{"load-60", 0.6, false},
            {"load-90", 0.9, false},
            {"load-120", 1.2, false},
            {"shift-90", 0.9, true},
            {"spells-90", 0.9, false, 2, false}};
}

row_figures run_row(const row& what, std::uint64_t seed) {
    workload_settings settings;
    settings.seed = seed;
    settings.requests_per_second = what.load * engine_capacity();
    settings.shift = what.shift;
    settings.requests_per_spell = what.requests_per_spell;
    const std::vector<arrival> arrivals = generate(settings);
    row_figures result;
    result.what = what;
    const auto plain = [&](const char* name, plain_kind kind) {
        result.policies.push_back(run_policy(name, arrivals, settings, [&](world& where) {
            return make_plain_policy(where, kind, seed);
        }));
    };
    plain("random", plain_kind::random);
    plain("least-loaded", plain_kind::least_loaded);
    plain("lru", plain_kind::lru);
    result.policies.push_back(run_policy(
        "radishpulley+region", arrivals, settings,
        [&](world& where) { return make_fleet_policy(where, seed, /*regions_known=*/true); }));
    result.policies.push_back(run_policy(own_policy, arrivals, settings, [&](world& where) {
        return make_fleet_policy(where, seed, /*regions_known=*/false);
    }));
    const time_point from = workload_start + settings.warm_up;
    const std::size_t fewest =
        fewest_loads(arrivals, std::size_t{engine_count} * slots_per_engine, from);
    result.fewest_loads_per_1000 =
        1000.0 * static_cast<double>(fewest) / static_cast<double>(own(result).requests);
    return result;
}

void print(const row_figures& it) {
    std::printf("\n%s: %.2f requests/s, %.0f %% of what the engines serve%s\n",
                it.what.name.c_str(), it.what.load * engine_capacity(), it.what.load * 100,
                it.what.shift ? ", popularity shift after a third" : "");
    std::printf("%-20s %8s %7s %7s %7s %7s %7s %6s %7s %7s %7s %8s %8s %8s %7s\n", "policy",
                "requests", "refused", "stalls", "st.p50", "st.p95", "st.p99", "batch", "ft.p50",
                "ft.p95", "worst", "worst.ft", "loads/k", "xr.MB", "msg/req");
    for (const figures& one : it.policies) {
        std::printf(
            "%-20s %8zu %7zu %7zu %7.2f %7.2f %7.2f %6.3f %7.2f %7.2f %7.3f %8.2f %8.1f %8.1f "
            "%7.2f\n",
            one.policy.c_str(), one.requests, one.refused, one.stalls, one.stall_p50, one.stall_p95,
            one.stall_p99, one.batch_efficiency, one.first_token_p50, one.first_token_p95,
            one.worst_served, one.worst_first_token_p95, one.loads_per_1000,
            one.cross_region_megabytes, one.control_messages);
    }
    std::printf("%-20s %94s %8.1f\n", "offline bound", "", it.fewest_loads_per_1000);
}

bool check(const row_figures& it) {
    if (!it.what.has_targets) {
        return true;
    }
    double best_stall = -1;
    double best_batch = 0;
    for (std::size_t i = 0; i + 2 < it.policies.size(); ++i) {
        const figures& one = it.policies[i];
        best_stall = best_stall < 0 ? one.stall_p95 : std::min(best_stall, one.stall_p95);
        best_batch = std::max(best_batch, one.batch_efficiency);
    }
    const figures& mine = own(it);
    const double most_loads = loads_target * it.fewest_loads_per_1000;
    bool met = require(mine.stall_p95 <= stall_target * best_stall, it, "stall p95 in seconds",
                       mine.stall_p95, stall_target * best_stall);
    met &= require(mine.batch_efficiency > best_batch, it, "batch efficiency",
                   mine.batch_efficiency, best_batch);
    met &= require(mine.loads_per_1000 <= most_loads, it, "loads per 1,000 requests",
                   mine.loads_per_1000, most_loads);
    return met;
}

}  // namespace radishpulley::measure
