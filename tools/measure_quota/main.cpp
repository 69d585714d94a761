// Measures token quotas against a fixed split and one holder an account, and fair shares.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "fairness_rows.h"
#include "quota_rows.h"
#include "slope_rows.h"

ABSL_FLAG(std::uint64_t, seed, 1, "seed of all schedules");
ABSL_FLAG(std::string, row, "", "run only the row of this name");
ABSL_FLAG(bool, check, false, "exit with 1 if a target is missed");

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const std::string only = absl::GetFlag(FLAGS_row);
    std::vector<std::string> missed = radishpulley::measure::run_quota_rows(seed, only);
    const std::vector<std::string> unfair = radishpulley::measure::run_fairness_rows(seed, only);
    missed.insert(missed.end(), unfair.begin(), unfair.end());
    radishpulley::measure::run_slope_rows(seed, only);
    std::printf("repeat one row: measure_quota --seed=%llu --row=NAME\n",
                static_cast<unsigned long long>(seed));
    for (const std::string& it : missed) {
        std::printf("target missed: %s\n", it.c_str());
    }
    return absl::GetFlag(FLAGS_check) && !missed.empty() ? 1 : 0;
}
