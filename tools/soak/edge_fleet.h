/// Runs the daemons of entry VMs as processes, with stand-ins for the store and the endpoints
/// behind proxies.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "loopback_proxy/loopback_proxy.h"
#include "platform_standins/service_standin.h"
#include "platform_standins/store_standin.h"
#include "standins/child_process.h"

namespace radishpulley::soak {

/// Limits that the platform sets for undisturbed VMs: the time from an acknowledgement until the
/// configuration is in effect, and until a leaving endpoint gets no more requests.
constexpr std::chrono::milliseconds apply_bound{2'500};
constexpr std::chrono::milliseconds drain_bound{2'500};

/// Settings of the fleet.
struct fleet_settings {
    std::string daemon_program;
    /// An empty directory for settings and logs.
    std::string directory;
    std::size_t vms = 6;
    std::size_t endpoints_per_service = 2;
    /// Tables that are appended to each daemon's settings.
    std::string more_daemon_settings = {};
};

/// Tracks disturbances from outside: those that last and those of a moment.
class disturbance_tracker {
public:
    /// Begins a disturbance that lasts until `end()`. Disturbances may overlap.
    void begin() { ++active_count_; }
    void end(time_point now) {
        --active_count_;
        last_disturbance_ = std::max(last_disturbance_, now);
    }
    /// Records a momentary disturbance.
    void record(time_point now) { last_disturbance_ = std::max(last_disturbance_, now); }
    /// Returns whether there was no disturbance since `when` - `span`.
    bool none_since(time_point when, duration span) const {
        return active_count_ == 0 && last_disturbance_ + span <= when;
    }

private:
    int active_count_ = 0;
    time_point last_disturbance_{};
};

/// One entry VM.
struct edge_vm {
    std::string name;
    std::string zone;
    std::string callers_address;
    std::string readiness_address;
    std::string peers_address;
    std::string metrics_address;
    std::unique_ptr<loopback_proxy> store_proxy;
    std::unique_ptr<standins::child_process> process;
    /// Number of its starts.
    unsigned incarnation = 0;
    /// Number of its starts, suspensions and partitions. After each of them, earlier announcements
    /// of endpoints no longer bind the VM.
    unsigned epoch = 0;
    bool suspended = false;
    /// Whether it was told to stop and has not been started again.
    bool stopping = false;
    /// All disturbances of the VM.
    disturbance_tracker disturbances;
    /// All disturbances but planned stops.
    disturbance_tracker unplanned_disturbances;

    /// Record a disturbance that is not a planned stop, in both trackers.
    void begin_disturbance();
    void end_disturbance(time_point now);
    void record_disturbance(time_point now);
};

/// An endpoint and the proxy in front of it.
struct edge_endpoint {
    std::string service;
    std::unique_ptr<platform_adapter::standins::service_standin> standin;
    std::unique_ptr<loopback_proxy> proxy;
    std::string zone;
    /// When the store acknowledged that the endpoint is leaving or its entry is removed.
    std::optional<time_point> leaving_since;
};

/// The constructor starts the stand-ins. The destructor ends all processes, each by its process id.
class edge_fleet {
public:
    edge_fleet(boost::asio::io_context& loop, const clock& time, fleet_settings settings);

    void start(edge_vm& it);
    /// Kills a VM's process.
    void kill(edge_vm& it);
    void request_stop(edge_vm& it);
    void suspend(edge_vm& it);
    void resume(edge_vm& it);
    /// Publishes an endpoint as ready in the directory.
    void publish_ready(edge_endpoint& it);
    /// Publishes an endpoint as leaving in the directory. It continues to serve.
    void publish_leaving(edge_endpoint& it);
    /// Removes an endpoint's entry from the directory. It continues to serve.
    void remove_entry(edge_endpoint& it);
    /// Rewrites a VM's settings with another retry reserve and sends the process SIGHUP to reload
    /// them.
    void change_settings(edge_vm& it, int retry_reserve);

    platform_adapter::standins::store_standin& store() { return store_; }
    platform_adapter::standins::run_record& runs() { return runs_; }
    std::vector<edge_vm>& vms() { return vms_; }
    std::vector<edge_endpoint>& endpoints() { return endpoints_; }
    /// Disturbances that affect all VMs.
    disturbance_tracker& store_disturbances() { return store_disturbances_; }
    disturbance_tracker& endpoint_disturbances() { return endpoint_disturbances_; }
    std::string log_file(const edge_vm& it) const;

private:
    void write_settings(const edge_vm& it, int retry_reserve) const;

    const clock& time_;
    fleet_settings settings_;
    platform_adapter::standins::run_record runs_;
    platform_adapter::standins::store_standin store_;
    std::vector<edge_endpoint> endpoints_;
    std::vector<edge_vm> vms_;
    disturbance_tracker store_disturbances_;
    disturbance_tracker endpoint_disturbances_;
};

}  // namespace radishpulley::soak
