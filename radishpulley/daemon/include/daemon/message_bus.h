/// Sends the messages of all decision packages to other daemons and hands arriving ones out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/identifier.h"
#include "fleet/fleet_agent.h"
#include "peer/message_router.h"
#include "peer/transport.h"
#include "placement/messages.h"
#include "quota/messages.h"
#include "telemetry/metrics.h"

namespace radishpulley::daemon {

/// Called on the transport's thread, one at a time.
struct bus_handlers {
    std::function<void(const vm_incarnation&, fleet::message)> on_fleet;
    std::function<void(const vm_incarnation&, quota::quota_message)> on_quota;
    std::function<void(const vm_incarnation&, placement::message)> on_placement;
    std::function<void(const vm_incarnation&)> on_connected;
    /// `refused` only when the operating system told that nothing listens there.
    std::function<void(const vm_id&, bool refused)> on_disconnected;
    /// A later start of this VM's daemon exists: this process must end.
    std::function<void()> on_superseded;
};

/// Safe to call from several threads. Lock order: the bus's lock is taken last.
class message_bus {
public:
    message_bus(std::unique_ptr<peer::peer_transport> transport, telemetry::registry& metrics);

    void start(bus_handlers handlers);
    void stop();

    void send(const vm_id& to, const fleet::message& it);
    void send(const vm_id& to, const quota::quota_message& it);
    void send(const vm_id& to, const placement::message& it);

    /// Opens a connection, and keeps it until disconnect().
    void connect(const vm_id& vm, const std::string& address);
    void disconnect(const vm_id& vm);

    /// Copies the transport's counts into the metrics.
    void export_counters();

private:
    void deliver(const vm_id& to, const char* type, nlohmann::json body);
    void update_peers();

    std::unique_ptr<peer::peer_transport> transport_;
    peer::message_router router_;
    telemetry::counter_family& sent_;
    telemetry::counter_family& received_;
    telemetry::gauge_family& transport_counts_;
    std::mutex mutex_;
    std::map<vm_id, std::string> wanted_;
};

}  // namespace radishpulley::daemon
