#pragma once

#include <cstdint>
#include <string>

namespace radishpulley::measure {

// Prints cost by number of daemons and accounts, and processor time an admission.
void run_slope_rows(std::uint64_t seed, const std::string& only);

}  // namespace radishpulley::measure
