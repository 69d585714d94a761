// Runs real daemon processes on loopback, injects faults and checks what callers observe.
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <thread>

#include <atomic>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "soak_run.h"
#include "telemetry/event_log.h"

ABSL_FLAG(std::string, daemon, "", "Path of the radishpulleyd binary.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults; 0 draws a random one.");
ABSL_FLAG(unsigned, seeds, 1, "Number of runs, with consecutive seeds from --seed on.");
ABSL_FLAG(unsigned, seconds, 30, "Duration of fault injection in each run, in seconds.");
ABSL_FLAG(unsigned, vms, 6, "Daemons.");
ABSL_FLAG(unsigned, callers, 3, "Number of caller connections to each daemon.");
ABSL_FLAG(unsigned, pause_ms, 25, "Pause of a caller between two requests, in milliseconds.");
ABSL_FLAG(unsigned, busy, 0, "Number of threads that load the CPU during the runs.");
ABSL_FLAG(std::string, mix, "all",
          "Faults: all, silences, signals, store, directory, limits, leaving or pauses.");
ABSL_FLAG(std::string, logs, "", "Parent directory of the daemons' logs; /tmp by default.");

namespace {

using namespace radishpulley;

constexpr int exit_bad_flags = 2;

class cpu_load {
public:
    explicit cpu_load(unsigned n) {
        for (unsigned i = 0; i < n; ++i) {
            threads_.emplace_back([this] {
                while (!ended_) {
                    ++rounds_;
                }
            });
        }
    }
    ~cpu_load() {
        ended_ = true;
        for (std::thread& it : threads_) {
            it.join();
        }
    }
    cpu_load(const cpu_load&) = delete;
    cpu_load& operator=(const cpu_load&) = delete;

private:
    std::atomic<bool> ended_{false};
    std::atomic<std::uint64_t> rounds_{0};
    std::vector<std::thread> threads_;
};

std::string create_directory(std::uint64_t seed) {
    const std::string parent =
        absl::GetFlag(FLAGS_logs).empty() ? "/tmp" : absl::GetFlag(FLAGS_logs);
    std::string name = parent + "/soak-" + std::to_string(seed) + "-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create a directory in " + parent);
    }
    return name;
}

bool run_seed(std::uint64_t seed, soak::fault_mix mix) {
    soak::run_settings settings;
    settings.fleet.daemon_program = absl::GetFlag(FLAGS_daemon);
    settings.fleet.directory = create_directory(seed);
    settings.fleet.vms = absl::GetFlag(FLAGS_vms);
    settings.callers_per_vm = absl::GetFlag(FLAGS_callers);
    settings.pause_between_requests = std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_ms));
    settings.length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    settings.mix = mix;
    settings.seed = seed;
    std::cout << "seed " << seed << ", logs in " << settings.fleet.directory << std::endl;
    const soak::run_report report = soak::soak_run(settings).run();
    std::cout << "seed " << seed << ": " << report.requests << " requests, " << report.served
              << " served, " << report.checked_requests << " checked against " << report.versions
              << " versions, " << report.findings.size() << " findings" << std::endl;
    return report.findings.empty();
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage("soak --daemon=PATH [--seed=N] [--seeds=N] [--seconds=N]");
    absl::ParseCommandLine(argc, argv);
    const std::map<std::string, soak::fault_mix> mixes = {{"all", soak::fault_mix::all},
                                                          {"silences", soak::fault_mix::silences},
                                                          {"signals", soak::fault_mix::signals},
                                                          {"store", soak::fault_mix::store},
                                                          {"directory", soak::fault_mix::directory},
                                                          {"limits", soak::fault_mix::limits},
                                                          {"leaving", soak::fault_mix::leaving},
                                                          {"pauses", soak::fault_mix::pauses}};
    const auto mix = mixes.find(absl::GetFlag(FLAGS_mix));
    if (absl::GetFlag(FLAGS_daemon).empty() || mix == mixes.end()) {
        std::cerr
            << "--daemon must be the path of radishpulleyd, --mix one of all, silences, signals, "
               "store, directory, limits, leaving, pauses\n";
        return exit_bad_flags;
    }
    telemetry::start_log("soak", telemetry::severity::error, telemetry::log_target::standard_error);
    const cpu_load busy(absl::GetFlag(FLAGS_busy));
    std::uint64_t first_seed = absl::GetFlag(FLAGS_seed);
    if (first_seed == 0) {
        first_seed = std::random_device()() | 1U;
    }
    unsigned failed = 0;
    for (unsigned i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
        failed += run_seed(first_seed + i, mix->second) ? 0 : 1;
    }
    std::cout << absl::GetFlag(FLAGS_seeds) - failed << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
