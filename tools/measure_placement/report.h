/// Runs one row for every policy and prints its table.
#pragma once

#include <string>
#include <vector>

#include "base/clock.h"

namespace radishpulley::measure {

/// One load to measure at.
struct row {
    std::string name;
    /// Arrivals as a part of what the engines can serve.
    double load = 1;
    bool shift = false;
    double requests_per_spell = 1;
    /// Whether the targets are stated for this row.
    bool has_targets = true;
};

/// Figures of one policy in one row.
struct figures {
    std::string policy;
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t stalls = 0;
    double stall_p50 = 0;
    double stall_p95 = 0;
    double stall_p99 = 0;
    double batch_efficiency = 0;
    double first_token_p50 = 0;
    double first_token_p95 = 0;
    /// Least part of an account's requests that began in time, and the greatest p95 of first token.
    double worst_served = 1;
    double worst_first_token_p95 = 0;
    double loads_per_1000 = 0;
    double cross_region_megabytes = 0;
    /// Messages between daemons for each request.
    double control_messages = 0;
};

/// Figures of one row.
struct row_figures {
    row what;
    std::vector<figures> policies;
    double fewest_loads_per_1000 = 0;
};

/// Returns all rows.
std::vector<row> all_rows();

row_figures run_row(const row& what, std::uint64_t seed);
void print(const row_figures& it);

/// Prints each missed target; returns whether all were met.
bool check(const row_figures& it);

}  // namespace radishpulley::measure
