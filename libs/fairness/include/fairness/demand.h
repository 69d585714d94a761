/// Demand of client accounts for scarce endpoints, summed over the fleet, and the fair shares of
/// it.
///
/// Summaries are additive, so daemons can send them up a tree and shares down the tree. No daemon
/// needs messages from all other ones.
#pragma once

#include <map>

#include "base/identifier.h"

namespace radishpulley::fairness {

/// Demand of one client account for the endpoints of one service.
struct account_demand {
    /// Weight relative to the other accounts.
    double weight = 1;
    /// Running and waiting requests, in units of the concurrency of the endpoints.
    double requests = 0;
};

/// Demand per account.
using demand_summary = std::map<client_account_id, account_demand>;

/// Fraction of its demand that each account gets, from 0 to 1. Accounts without an entry get all of
/// their demand.
using fair_ratios = std::map<client_account_id, double>;

/// Adds `more` to `sum`. If both have a weight for an account, the one of `more` is used.
void merge(demand_summary& sum, const demand_summary& more);

/// Returns the number of requests that the fleet should have in flight for endpoints that run
/// `concurrency` requests at once. It is high enough that endpoints are rarely idle between two
/// exchanges of demand.
double target_in_flight(double concurrency);

/// Divides `capacity` among the accounts by weighted max-min fairness: no account gets more than
/// its demand, and unused capacity goes to the others in proportion to their weights.
///
///     fair_ratios shares = divide(fleet_demand, target_in_flight(64));
fair_ratios divide(const demand_summary& demand, double capacity);

}  // namespace radishpulley::fairness
