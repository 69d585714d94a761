// Measures placement against plain policies and an offline bound.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <cstdio>
#include <string>

#include "report.h"
#include "slopes.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(std::string, row, "",
          "only this row: load-60, load-90, load-120, shift-90, spells-90 or slopes");
ABSL_FLAG(bool, check, false, "exit with 1 where a target is missed");

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const std::string only = absl::GetFlag(FLAGS_row);
    bool met = true;
    for (const auto& row : radishpulley::measure::all_rows()) {
        if (!only.empty() && only != row.name) {
            continue;
        }
        const auto figures = radishpulley::measure::run_row(row, seed);
        radishpulley::measure::print(figures);
        std::printf("repeat with: measure_placement --seed=%llu --row=%s\n",
                    static_cast<unsigned long long>(seed), row.name.c_str());
        met &= radishpulley::measure::check(figures);
    }
    if (only.empty() || only == "slopes") {
        radishpulley::measure::print_slopes();
    }
    return absl::GetFlag(FLAGS_check) && !met ? 1 : 0;
}
