/// Costs of the decisions in time and memory, for docs/CAPACITY.md.
#pragma once

namespace radishpulley::measure {

/// Measures and prints the slopes on this machine.
void print_slopes();

}  // namespace radishpulley::measure
