/// Demand of client accounts for short endpoints, summed over the fleet, and the fair shares of it.
///
/// Summaries add up, so daemons can pass them up a tree and shares down, and no daemon needs to
/// hear from every other one.
#pragma once

#include <map>

#include "base/identifier.h"

namespace radishpulley::fairness {

/// Demand of one client account for the endpoints of one service.
struct account_demand {
    /// Share in proportion to the other accounts.
    double weight = 1;
    /// Requests running and waiting, in units of the endpoints' concurrency.
    double requests = 0;
};

/// Demand by account.
using demand_summary = std::map<client_account_id, account_demand>;

/// Part of its demand that each account gets, from 0 to 1. Accounts that are not here get all.
using fair_ratios = std::map<client_account_id, double>;

/// Adds `more` to `sum`; the weight of `more` counts where both have one.
void merge(demand_summary& sum, const demand_summary& more);

/// Returns how many requests the fleet should have in flight for endpoints that run `concurrency`
/// at once: enough that they seldom idle between two exchanges of demand.
double target_in_flight(double concurrency);

/// Divides `capacity` among the accounts by weighted max-min: no account gets more than it asks
/// for, and what one leaves goes to the others in proportion to their weights.
///
///     fair_ratios shares = divide(fleet_demand, target_in_flight(64));
fair_ratios divide(const demand_summary& demand, double capacity);

}  // namespace radishpulley::fairness
