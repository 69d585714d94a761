/// One run of the soak: daemons, callers, a changing configuration, faults, and the checks of what
/// callers and endpoints see.
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
#include "fault_schedule.h"
#include "notice_checker.h"
#include "probe_caller.h"

namespace radishpulley::soak {

/// What to run.
struct run_settings {
    fleet_settings fleet;
    fault_mix mix = fault_mix::all;
    std::uint64_t seed = 1;
    /// Time with faults; start and recovery come on top.
    std::chrono::seconds length{30};
    std::size_t callers_per_vm = 3;
    std::chrono::milliseconds pause_between_requests{25};
};

/// What the checks found.
struct run_report {
    /// Broken promises, each with its kind, VM, request and moment.
    std::vector<std::string> findings;
    std::size_t requests = 0;
    std::size_t served = 0;
    /// Requests whose end was held against acknowledged versions.
    std::size_t judged = 0;
    std::size_t versions = 0;
};

/// Runs once; all of it is on the calling thread but for the daemons.
class soak_run {
public:
    explicit soak_run(run_settings settings);
    ~soak_run();

    run_report run();

private:
    struct sent_request {
        probe asked;
        edge_vm* vm = nullptr;
        unsigned incarnation = 0;
        bool is_idempotent = true;
        std::string id;
    };
    // What an answer of one start of a VM has proved about its configuration.
    struct proof {
        unsigned incarnation = 0;
        std::uint64_t version = 0;
        time_point since{};
    };

    void note(const std::string& text);
    void find(const std::string& text);
    void find(const std::string& kind, const sent_request& it, const std::string& text);
    double seconds_of(time_point it) const;

    bool start_fleet();
    bool run_until(std::chrono::seconds limit, const std::function<bool()>& holds);
    void run_for(std::chrono::milliseconds time);
    void recover();

    void change_configuration();
    void change_later();
    plain_configuration next_configuration();
    void watch_processes();

    void start_callers();
    platform_adapter::standins::plain_request next_request(edge_vm& vm, sent_request& out);
    std::string pick_route();
    void on_end(const sent_request& it, const call_end& end);
    static probe_end meaning_of(const call_end& end);
    void check_whole(const sent_request& it, const call_end& end);
    void check_version(const sent_request& it, const probe_end& end);
    void check_denial(const sent_request& it, const call_end& end);
    void check_drain(const sent_request& it);
    void check_cut(const sent_request& it, const call_end& end);
    void check_runs();
    void watch_notices();
    void take_notices(const sent_request& it, const call_end& end);
    static vm_period period_of(const edge_vm& it) { return {it.name, it.period}; }
    bool is_in_touch(const sent_request& it);

    run_settings settings_;
    boost::asio::io_context loop_;
    boot_clock time_;
    time_point began_;
    std::mt19937_64 random_;
    edge_fleet fleet_;
    fault_schedule faults_;
    configuration_history history_;
    boost::asio::steady_timer change_timer_;
    boost::asio::steady_timer process_timer_;
    std::vector<std::unique_ptr<probe_caller>> callers_;
    std::deque<std::string> recent_routes_;
    std::deque<std::string> recent_keys_;
    /// Requests by id.
    std::map<std::string, sent_request> sent_;
    notice_checker notices_;
    /// Requests that were refused as not run, with the refusal.
    std::map<std::string, sent_request> refused_;
    std::map<std::string, proof> proofs_;
    /// Requests served, by VM; counted anew after the recovery.
    std::map<std::string, std::size_t> served_by_vm_;
    std::uint64_t last_request_ = 0;
    unsigned cut_in_touch_ = 0;
    int storm_ = 0;
    bool changing_ = true;
    run_report report_;
};

}  // namespace radishpulley::soak
