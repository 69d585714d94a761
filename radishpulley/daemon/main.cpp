// radishpulleyd: the daemon that every entry VM runs.
#include <csignal>
#include <cstdio>
#include <string>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "base/findings.h"
#include "daemon/daemon.h"
#include "edge/edge_daemon.h"
#include "http/client.h"
#include "telemetry/event_log.h"

ABSL_FLAG(std::string, settings, "/etc/radishpulley/radishpulleyd.toml",
          "Settings file; see samples/radishpulleyd.toml.");
ABSL_FLAG(bool, edge, false,
          "Serve the platform of an entry VM; see deploy/radishpulleyd.toml.template.");
ABSL_FLAG(bool, check, false, "Check the settings file, print every finding, and exit.");

namespace {

using namespace radishpulley;

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 1;
constexpr std::size_t library_threads = 2;

telemetry::severity severity_of(settings::log_level it) {
    switch (it) {
        case settings::log_level::info:
            return telemetry::severity::info;
        case settings::log_level::warning:
            return telemetry::severity::warning;
        case settings::log_level::error:
            break;
    }
    return telemetry::severity::error;
}

int run(const settings::settings& with, const sigset_t& signals) {
    telemetry::start_log("radishpulleyd", severity_of(with.log.level),
                         telemetry::log_target::standard_error);
    http::set_library_threads(library_threads);
    daemon::daemon it(with);
    std::thread waiter([&it, signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        it.begin_shutdown();
    });
    const int status = it.wait();
    waiter.join();
    return status;
}

int run_own_interface(const std::string& path, bool only_check) {
    // Blocked before any thread starts, so that only the waiting thread gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const settings::settings with = settings::load_settings(path);
    if (only_check) {
        std::puts("the settings are valid");
        return 0;
    }
    return run(with, signals);
}

int run_edge(const std::string& path, bool only_check) {
    const settings::edge_settings with = settings::load_edge_settings(path);
    if (only_check) {
        std::puts("the settings are valid");
        return 0;
    }
    telemetry::start_log("radishpulleyd", telemetry::severity::info,
                         telemetry::log_target::standard_output);
    telemetry::never_wait_for_output();
    edge::edge_daemon(with, path).run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "Serves many LoRA adapters on shared engines.\n\n"
        "  radishpulleyd --settings=FILE           run until SIGTERM, then finish and exit 0\n"
        "  radishpulleyd --settings=FILE --check   only check the settings\n"
        "  radishpulleyd --edge --settings=FILE    serve a platform's entry VM");
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    // A terminal that goes away must not end the daemon; on a platform it means changed settings.
    std::signal(SIGHUP, SIG_IGN);
    const std::string path = absl::GetFlag(FLAGS_settings);
    const bool only_check = absl::GetFlag(FLAGS_check);
    try {
        return absl::GetFlag(FLAGS_edge) ? run_edge(path, only_check)
                                         : run_own_interface(path, only_check);
    } catch (const invalid_input& e) {
        std::fputs(e.what(), stderr);
        return exit_bad_settings;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "radishpulleyd: %s\n", e.what());
        return exit_failed;
    }
}
