/// One soak run: daemons, callers, a changing configuration, injected faults, and checks of what
/// callers and endpoints observe.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "configuration_history.h"
#include "edge_fleet.h"
#include "fault_injector.h"
#include "notice_checker.h"
#include "probe_caller.h"

namespace radishpulley::soak {

/// Settings of a run.
struct run_settings {
    fleet_settings fleet;
    fault_mix mix = fault_mix::all;
    std::uint64_t seed = 1;
    /// Duration of fault injection, without start and recovery.
    std::chrono::seconds length{30};
    std::size_t callers_per_vm = 3;
    std::chrono::milliseconds pause_between_requests{25};
};

/// Results of the checks.
struct run_report {
    /// Violations, each with its kind, VM, request and time.
    std::vector<std::string> findings;
    std::size_t requests = 0;
    std::size_t served = 0;
    /// Number of requests whose outcome was checked against the acknowledged versions.
    std::size_t checked_requests = 0;
    std::size_t versions = 0;
};

/// Executes one run on the calling thread. The daemons are separate processes.
class soak_run {
public:
    explicit soak_run(run_settings settings);
    ~soak_run();

    run_report run();

private:
    struct sent_request {
        probe probe_sent;
        edge_vm* vm = nullptr;
        unsigned incarnation = 0;
        bool is_idempotent = true;
        std::string id;
    };
    // Lowest configuration version that responses since a VM's last start prove to be in effect.
    struct observed_version {
        unsigned incarnation = 0;
        std::uint64_t version = 0;
        time_point since{};
    };

    void log(const std::string& text);
    void add_finding(const std::string& text);
    void add_finding(const std::string& kind, const sent_request& it, const std::string& text);
    double seconds_of(time_point it) const;

    bool start_fleet();
    bool run_until(std::chrono::seconds limit, const std::function<bool()>& is_met);
    void run_for(std::chrono::milliseconds time);
    void recover();

    void change_configuration();
    void schedule_change();
    plain_configuration next_configuration();
    void monitor_processes();

    void start_callers();
    platform_adapter::standins::plain_request next_request(edge_vm& vm, sent_request& out);
    std::string pick_route();
    void on_call_end(const sent_request& it, const call_outcome& call);
    static probe_outcome outcome_of(const call_outcome& call);
    void check_response(const sent_request& it, const call_outcome& call);
    void check_version(const sent_request& it, const probe_outcome& outcome);
    void check_denial(const sent_request& it, const call_outcome& call);
    void check_drain(const sent_request& it);
    void check_truncation(const sent_request& it, const call_outcome& call);
    void check_runs();
    void subscribe_to_endpoint_events();
    void record_forwarded_notices(const sent_request& it, const call_outcome& call);
    static vm_epoch epoch_of(const edge_vm& it) { return {it.name, it.epoch}; }
    bool is_undisturbed(const sent_request& it);

    run_settings settings_;
    boost::asio::io_context loop_;
    boot_clock time_;
    time_point started_at_;
    std::mt19937_64 random_;
    edge_fleet fleet_;
    fault_injector faults_;
    configuration_history history_;
    boost::asio::steady_timer change_timer_;
    boost::asio::steady_timer process_timer_;
    std::vector<std::unique_ptr<probe_caller>> callers_;
    std::deque<std::string> recent_routes_;
    std::deque<std::string> recent_keys_;
    /// Sent requests by id.
    std::map<std::string, sent_request> sent_requests_;
    notice_checker notices_;
    /// Requests that were refused as not run, by id.
    std::map<std::string, sent_request> refused_requests_;
    std::map<std::string, observed_version> observed_versions_;
    /// Number of requests served by each VM. The recovery check resets it.
    std::map<std::string, std::size_t> served_by_vm_;
    std::uint64_t last_request_ = 0;
    unsigned truncated_undisturbed_ = 0;
    int changes_left_in_burst_ = 0;
    bool configuration_changes_enabled_ = true;
    run_report report_;
};

}  // namespace radishpulley::soak
