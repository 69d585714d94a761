/// Injects consecutive and overlapping faults, drawn from a seed.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "edge_fleet.h"

namespace radishpulley::soak {

/// Set of faults to draw from.
enum class fault_mix {
    /// All faults.
    all,
    /// Connections that go silent, with long intervals between the faults.
    silences,
    /// Stops, kills, suspensions and changed settings.
    signals,
    /// Faults of the store and of the connections to it.
    store,
    /// Endpoints that leave while store reads are stale and connections go silent.
    directory,
    /// Endpoints that announce rate limits in their responses, without any other fault.
    limits,
    /// Endpoints that announce only in their responses that they are leaving, and a silent store.
    leaving,
    /// Endpoints that request pauses in their responses, without any other fault.
    pauses
};

/// Injects faults until it is stopped. All calls happen on the loop's thread.
class fault_injector {
public:
    using log_handler = std::function<void(const std::string&)>;
    /// Called when an endpoint changes its announcements.
    using announcement_handler = std::function<void(const edge_endpoint&)>;

    fault_injector(boost::asio::io_context& loop, const clock& time, edge_fleet& fleet,
                   fault_mix mix, std::uint64_t seed, log_handler log);

    void set_on_announcement(announcement_handler call) { on_announcement_ = std::move(call); }
    void start();
    /// Injects no further faults. Active faults end in due time.
    void stop() { stopped_ = true; }
    /// Kills all processes at once, like a power failure, and restarts them.
    void power_off_all();
    /// Returns whether no fault is active.
    bool is_idle() const { return active_faults_ == 0; }

    /// Returns the number of processes that did not end within their grace after they were told to
    /// stop.
    unsigned overdue_stops() const { return overdue_stops_; }

private:
    using fault = void (fault_injector::*)();
    using store_fault = platform_adapter::standins::store_standin::fault;

    void inject_fault();
    std::vector<fault> faults() const;
    /// Calls `end` after a random duration. The fault stays active until then.
    void end_after(std::chrono::milliseconds min, std::chrono::milliseconds max,
                   std::function<void()> end);
    edge_vm& pick_vm();
    edge_endpoint& pick_endpoint();
    void restart_after(edge_vm& it, std::chrono::milliseconds min, std::chrono::milliseconds max);
    void restart_gracefully(edge_vm& it);

    void silence_all_store_connections();
    void silence_store_connections_of_one_vm();
    void silence_endpoints();
    void silence_everything();
    void reset_store_connections();
    void partition_vm_from_store();
    void delay_store_connections();
    void refuse_store_connections();
    void reset_endpoint();
    void drain_endpoint();
    /// Returns whether the endpoint is healthy and another healthy endpoint of its service remains.
    bool can_be_impaired(const edge_endpoint& it);
    /// Restarts the endpoint after a random duration, which ends its impairment.
    void restart_later(edge_endpoint& it);
    void limit_endpoint();
    void announce_leaving_in_responses();
    void request_pause();
    void suspend_one_vm();
    void kill_some_vms();
    void kill_all_vms();
    void stop_one_vm();
    void rolling_restart();
    void change_settings();
    void make_store_busy();
    void make_store_silent();
    void make_store_unavailable(store_fault how, const std::string& text);
    void slow_store();
    void lose_store_writes();
    void compact_store_history();
    void delay_store_reads();

    boost::asio::io_context& loop_;
    const clock& time_;
    edge_fleet& fleet_;
    fault_mix mix_;
    std::mt19937_64 random_;
    log_handler log_;
    announcement_handler on_announcement_ = [](const edge_endpoint&) {};
    boost::asio::steady_timer timer_;
    int active_faults_ = 0;
    unsigned overdue_stops_ = 0;
    bool stopped_ = false;
};

}  // namespace radishpulley::soak
