#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace radishpulley::measure {

// Runs the rows whose name is `only`, or all if it is empty. Returns the targets missed.
std::vector<std::string> run_quota_rows(std::uint64_t seed, const std::string& only);

}  // namespace radishpulley::measure
