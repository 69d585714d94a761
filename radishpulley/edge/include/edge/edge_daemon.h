/// The daemon of an entry VM on a platform: callers on one side, engines on the other.
///
/// Everything runs on one thread and one event loop: such a VM has a part of one core, and tables
/// without locks need no order of locks.
#pragma once

#include <memory>
#include <string>

#include "settings/edge_settings.h"

namespace radishpulley::edge {

/// Runs until SIGTERM or SIGINT, then finishes what is under way.
class edge_daemon {
public:
    /// `settings_path`: the file that `with` was read from; what changes there while the daemon
    /// runs holds without a restart, but for the VM's identity and the addresses to listen on.
    /// Empty where there is no file. Throws boost::system::system_error where an address can't be
    /// bound.
    explicit edge_daemon(const settings::edge_settings& with, std::string settings_path = {});
    ~edge_daemon();
    edge_daemon(const edge_daemon&) = delete;
    edge_daemon& operator=(const edge_daemon&) = delete;

    void run();

private:
    class state;
    std::unique_ptr<state> state_;
};

}  // namespace radishpulley::edge
