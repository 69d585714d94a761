/// One daemon, from its settings to its exit.
#pragma once

#include <memory>

#include "settings/settings.h"

namespace radishpulley::daemon {

/// Runs the whole serving path of one VM.
///
///     daemon it(settings::load_settings(path));
///     it.begin_shutdown();  // at SIGTERM
///     return it.wait();
class daemon {
public:
    /// Starts everything. Throws std::runtime_error when a port or a file cannot be had.
    explicit daemon(settings::settings with);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Begins a graceful shutdown; safe to call more than once.
    void begin_shutdown();
    /// Blocks until the shutdown has ended, and returns the exit status.
    int wait();

private:
    struct details;
    std::unique_ptr<details> details_;
};

}  // namespace radishpulley::daemon
