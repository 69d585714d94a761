/// A few daemons as processes on loopback, with the stand-ins of everything around them.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/identifier.h"
#include "http/client.h"
#include "object_api/vm_list.h"
#include "standins/application_engine.h"
#include "standins/child_process.h"
#include "standins/model_engine.h"
#include "standins/platform_server.h"

namespace radishpulley::fleet_of_processes {

/// One entry VM.
struct local_vm {
    object_api::vm_entry entry;
    std::string callers;
    std::string administration;
    std::string settings_file;
    std::unique_ptr<standins::child_process> process;
};

/// What to start.
struct local_fleet_settings {
    std::string daemon_program;
    /// An empty folder for settings, secrets and logs.
    std::string folder;
    std::size_t vms = 3;
    std::size_t engines = 2;
    std::uint32_t slots = 2;
    std::uint32_t concurrency = 16;
    std::chrono::milliseconds token_time{5};
};

/// Starts the stand-ins at construction; ends everything at destruction, by id.
class local_fleet {
public:
    explicit local_fleet(local_fleet_settings settings);

    /// Starts the daemon of VM `i`.
    void start(std::size_t i);
    void start_all();
    /// Waits until VM `i` says that it is ready; false when it does not within `limit`.
    bool wait_ready(std::size_t i, std::chrono::seconds limit) const;

    /// Sends a ticket through VM `i`, again until it is accepted; throws std::runtime_error.
    void accept(std::size_t i, const std::string& ticket);
    /// Returns a ticket with one service of each kind, all endpoints, two accounts and adapters.
    std::string first_ticket(std::uint64_t number) const;
    /// Returns the digest of a caller's key for tickets.
    std::string digest_of(const std::string& key) const;

    http::response call(std::size_t i, const std::string& key, const std::string& path,
                        const std::string& body, const std::string& idempotency_key = {}) const;
    http::response administer(std::size_t i, const std::string& method, const std::string& path,
                              const std::string& body) const;

    local_vm& vm(std::size_t i) { return vms_[i]; }
    std::size_t size() const { return vms_.size(); }
    standins::platform_server& platform() { return *platform_; }
    standins::model_engine& engine(std::size_t i) { return *engines_[i]; }
    standins::application_engine& application() { return *application_; }

private:
    void write_settings(local_vm& it) const;

    local_fleet_settings settings_;
    std::unique_ptr<standins::platform_server> platform_;
    std::vector<std::unique_ptr<standins::model_engine>> engines_;
    std::unique_ptr<standins::application_engine> application_;
    std::vector<local_vm> vms_;
};

/// Calls `holds` every 20 ms until it is true; false after `limit`.
bool wait_until(const std::function<bool()>& holds, std::chrono::milliseconds limit);

}  // namespace radishpulley::fleet_of_processes
