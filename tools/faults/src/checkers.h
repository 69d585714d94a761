/// A checker for each must-hold line that a request or a shutdown can break.
#pragma once

#include <string_view>
#include <vector>

#include "history.h"
#include "suite.h"

namespace radishpulley::faults {

/// Checks one line over a whole history.
struct checker {
    std::string_view line;
    void (*check)(const history& seen, std::vector<violation>& found);
};

/// Time in which a leaving endpoint must have got its last new work.
constexpr duration leaving_bound = std::chrono::seconds(3);

/// Time in which a withdrawn key must stop working.
constexpr duration withdrawal_bound = std::chrono::seconds(3);

/// Returns all checkers.
const std::vector<checker>& checkers();

/// Returns what all checkers found.
std::vector<violation> check_all(const history& seen);

}  // namespace radishpulley::faults
