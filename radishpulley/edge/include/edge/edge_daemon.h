/// The daemon of an entry VM: proxies requests of callers to the endpoints of a platform.
///
/// Everything runs on one thread and one event loop: such a VM has only a fraction of a core, and
/// tables without locks need no lock order.
#pragma once

#include <memory>
#include <string>

#include "settings/edge_settings.h"

namespace radishpulley::edge {

/// Runs until SIGTERM or SIGINT, then finishes the requests in flight.
class edge_daemon {
public:
    /// `settings_path` is the file that `settings` was read from, or empty. Changes of this file
    /// apply while the daemon runs, except for the VM's identity and the listen addresses, which
    /// need a restart. Throws boost::system::system_error if an address can't be bound.
    explicit edge_daemon(const settings::edge_settings& settings, std::string settings_path = {});
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    void run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace radishpulley::edge
