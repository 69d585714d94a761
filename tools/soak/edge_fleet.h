/// Daemons of entry VMs as processes, with stand-ins of all around them behind proxies.
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

/// What the platform asks of VMs that are in touch: time from an acknowledgement until a
/// configuration is in force, and until a leaving endpoint gets no more requests.
constexpr std::chrono::milliseconds apply_bound{2'500};
constexpr std::chrono::milliseconds drain_bound{2'500};

/// What to start.
struct fleet_settings {
    std::string daemon_program;
    /// An empty folder for settings and logs.
    std::string folder;
    std::size_t vms = 6;
    std::size_t endpoints_per_service = 2;
};

/// Since when something outside a thing's own control has left it alone.
class calm_period {
public:
    /// Harm that lasts until `end()`; begins and ends may nest.
    void begin() { ++under_way_; }
    void end(time_point now) {
        --under_way_;
        last_ = std::max(last_, now);
    }
    /// Harm of a moment.
    void touch(time_point now) { last_ = std::max(last_, now); }
    /// Whether nothing harmed it from `when` - `span` on.
    bool holds(time_point when, duration span) const {
        return under_way_ == 0 && last_ + span <= when;
    }

private:
    int under_way_ = 0;
    time_point last_{};
};

/// One entry VM.
struct edge_vm {
    std::string name;
    std::string zone;
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
    std::unique_ptr<loopback_proxy> way_to_store;
    std::unique_ptr<standins::child_process> process;
    /// Counts its starts.
    unsigned incarnation = 0;
    /// Counts its starts, freezes and cuts, each of which excuses it from what endpoints told it.
    unsigned period = 0;
    bool frozen = false;
    /// Whether it was asked to stop and has not been started again.
    bool stopping = false;
    /// All that excuses it, and all of that but planned stops.
    calm_period calm;
    calm_period calm_but_for_stops;

    /// Harm that no stop explains: it counts for both periods.
    void begin_harm();
    void end_harm(time_point now);
    void touch(time_point now);
};

/// An endpoint and the way to it.
struct edge_endpoint {
    std::string service;
    std::unique_ptr<platform_adapter::standins::service_standin> standin;
    std::unique_ptr<loopback_proxy> way;
    std::string zone;
    /// When the store acknowledged that it is leaving or gone.
    std::optional<time_point> leaving_since;
};

/// Starts the stand-ins at construction; ends everything at destruction, by id.
class edge_fleet {
public:
    edge_fleet(boost::asio::io_context& loop, const clock& time, fleet_settings settings);

    void start(edge_vm& it);
    /// Ends a VM's process at once.
    void kill(edge_vm& it);
    void ask_to_stop(edge_vm& it);
    void freeze(edge_vm& it);
    void thaw(edge_vm& it);
    /// Writes an endpoint's entry in the directory anew.
    void announce(edge_endpoint& it);
    /// Writes into the directory that an endpoint is leaving, or takes its entry away; it serves
    /// on.
    void announce_leaving(edge_endpoint& it);
    void take_entry_away(edge_endpoint& it);
    /// Writes a VM's settings with another reserve and tells it.
    void change_settings(edge_vm& it, int retry_reserve);

    platform_adapter::standins::store_standin& store() { return store_; }
    platform_adapter::standins::run_record& runs() { return runs_; }
    std::vector<edge_vm>& vms() { return vms_; }
    std::vector<edge_endpoint>& endpoints() { return endpoints_; }
    /// What excuses all VMs.
    calm_period& store_calm() { return store_calm_; }
    calm_period& endpoints_calm() { return endpoints_calm_; }
    std::string log_file(const edge_vm& it) const;

private:
    void write_settings(const edge_vm& it, int retry_reserve) const;

    const clock& time_;
    fleet_settings settings_;
    platform_adapter::standins::run_record runs_;
    platform_adapter::standins::store_standin store_;
    std::vector<edge_endpoint> endpoints_;
    std::vector<edge_vm> vms_;
    calm_period store_calm_;
    calm_period endpoints_calm_;
};

}  // namespace radishpulley::soak
