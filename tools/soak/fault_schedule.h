/// Faults in series and overlapping, drawn from a seed.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "edge_fleet.h"

namespace radishpulley::soak {

/// Which faults are drawn.
enum class fault_mix {
    /// Of every kind.
    all,
    /// Connections that are forgotten on their way, with quiet times between.
    silences,
    /// Stops, kills, freezes and changed settings.
    signals,
    /// Of the store and of the ways to it.
    store,
    /// Endpoints that leave, while answers lag and connections go silent.
    directory,
    /// Endpoints that say in their answers alone that they are in need, while all else goes on.
    limits,
    leaving,
    pauses
};

/// Injects faults until it is stopped. All calls are on the loop's thread.
class fault_schedule {
public:
    using note_handler = std::function<void(const std::string&)>;
    /// Called when an endpoint changes what it says of itself.
    using notice_handler = std::function<void(const edge_endpoint&)>;

    fault_schedule(boost::asio::io_context& loop, const clock& time, edge_fleet& fleet,
                   fault_mix mix, std::uint64_t seed, note_handler note);

    void set_on_notice(notice_handler call) { on_notice_ = std::move(call); }
    void start();
    /// Injects nothing more; what is under way ends in its time.
    void stop() { stopped_ = true; }
    /// Ends every process at once, as a loss of power does, and starts all again.
    void lose_power_everywhere();
    /// Whether some fault is still under way.
    bool is_quiet() const { return under_way_ == 0; }

    /// Processes that did not end within their grace after they were asked to stop.
    unsigned overdue_stops() const { return overdue_stops_; }

private:
    using fault = void (fault_schedule::*)();
    using store_fault = platform_adapter::standins::store_standin::fault;

    void next();
    std::vector<fault> faults() const;
    /// Calls `end` after a drawn time; the schedule is not quiet until then.
    void until(std::chrono::milliseconds least, std::chrono::milliseconds most,
               std::function<void()> end);
    edge_vm& any_vm();
    edge_endpoint& any_endpoint();
    void restart_after(edge_vm& it, std::chrono::milliseconds least,
                       std::chrono::milliseconds most);
    void stop_and_start(edge_vm& it);

    void silence_all_ways();
    void silence_one_way();
    void silence_endpoints();
    void silence_everything();
    void reset_ways();
    void hold_way();
    void delay_way();
    void refuse_way();
    void reset_endpoint();
    void drain_endpoint();
    /// Another endpoint of its service stays and is in no need.
    bool may_fall_out(const edge_endpoint& it);
    /// It is in need until it begins anew, or for a while.
    void restart_later(edge_endpoint& it);
    void limit_endpoint();
    void leave_by_answers();
    void pause_endpoint();
    void freeze_one();
    void kill_some();
    void kill_all();
    void stop_one();
    void stop_in_turn();
    void change_settings();
    void store_busy();
    void store_silent();
    void take_store_away(store_fault how, const std::string& text);
    void store_slow();
    void store_loses_writes();
    void store_forgets();
    void store_lags();

    boost::asio::io_context& loop_;
    const clock& time_;
    edge_fleet& fleet_;
    fault_mix mix_;
    std::mt19937_64 random_;
    note_handler note_;
    notice_handler on_notice_ = [](const edge_endpoint&) {};
    boost::asio::steady_timer timer_;
    int under_way_ = 0;
    unsigned overdue_stops_ = 0;
    bool stopped_ = false;
};

}  // namespace radishpulley::soak
