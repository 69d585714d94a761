#include "fairness/demand.h"

#include <algorithm>
#include <vector>

namespace radishpulley::fairness {
namespace {

// Requests that wait at the endpoints keep them busy while shares are outdated. With a factor of
// 1.2, one endpoint in ten was idle.
constexpr double in_flight_factor = 2.0;

}  // namespace

double target_in_flight(double concurrency) {
    return concurrency * in_flight_factor;
}

void merge(demand_summary& sum, const demand_summary& more) {
    for (const auto& [account, it] : more) {
        account_demand& into = sum[account];
        into.weight = it.weight;
        into.requests += it.requests;
    }
}

fair_ratios divide(const demand_summary& demand, double capacity) {
    struct entry {
        const client_account_id* account;
        account_demand demand;
    };
    std::vector<entry> list;
    double total_weight = 0;
    for (const auto& [account, it] : demand) {
        if (it.requests > 0 && it.weight > 0) {
            list.push_back({&account, it});
            total_weight += it.weight;
        }
    }
    // Accounts with the least demand relative to their weight are satisfied first.
    std::sort(list.begin(), list.end(), [](const entry& a, const entry& b) {
        return a.demand.requests * b.demand.weight < b.demand.requests * a.demand.weight;
    });
    fair_ratios ratios;
    double remaining = std::max(0.0, capacity);
    for (const entry& it : list) {
        const double fair_share = remaining * it.demand.weight / total_weight;
        const double granted = std::min(it.demand.requests, fair_share);
        remaining -= granted;
        total_weight -= it.demand.weight;
        ratios[*it.account] = granted / it.demand.requests;
    }
    return ratios;
}

}  // namespace radishpulley::fairness
