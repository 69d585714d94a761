/// The sequence of steps of the daemon's graceful shutdown.
#pragma once

#include <cstddef>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace radishpulley::requests {

/// Durations of the phases of a shutdown.
struct shutdown_settings {
    /// Time after `not ready` during which the load balancer may still send new requests. The
    /// daemon serves them.
    duration balancer_wait = std::chrono::seconds(10);
    /// Longest time from the refusal of new requests until the running ones must have ended.
    duration grace = std::chrono::seconds(320);
    /// Longest time for returning leases, transfers and records.
    duration return_wait = std::chrono::seconds(10);
};

/// Builds shutdown settings. Example:
///
///     auto it = shutdown_settings_builder().grace(320s).longest_request(300s).build();
class shutdown_settings_builder {
public:
    shutdown_settings_builder& balancer_wait(duration value);
    shutdown_settings_builder& grace(duration value);
    shutdown_settings_builder& return_wait(duration value);
    /// Sets the longest deadline that a request can have.
    shutdown_settings_builder& longest_request(duration value);
    /// Allows a grace shorter than the longest request, which the shutdown may then cut off.
    shutdown_settings_builder& may_cut(bool value);
    /// Throws invalid_input with all validation errors.
    shutdown_settings build() const;

private:
    shutdown_settings settings_;
    duration longest_request_ = std::chrono::seconds(300);
    bool may_cut_ = false;
};

/// Time after which a refused caller should retry. Other VMs serve it then.
constexpr duration shutdown_retry_after = std::chrono::seconds(1);

/// Phase of a shutdown.
enum class shutdown_phase { serving, announcing, finishing, returning, done };

/// Report `not ready` to the load balancer and continue to serve requests.
struct report_not_ready {};
/// Refuse new requests with shutting_down and not_run. All other requests continue.
struct refuse_new_requests {};
/// Deliver events::grace_ended to every request that is still running.
struct end_grace_period {};
/// Return leases, shares of limits and open records.
struct return_holdings {};
/// Exit the process with this status.
struct exit_process {
    int status = 0;
};
using shutdown_action = std::variant<report_not_ready, refuse_new_requests, end_grace_period,
                                     return_holdings, exit_process>;

/// Decides when each step of a shutdown is due. Not thread-safe.
class shutdown_sequence {
public:
    explicit shutdown_sequence(shutdown_settings settings);

    /// Begins the shutdown, for example on SIGTERM. Further calls have no effect.
    std::vector<shutdown_action> begin(time_point now);

    /// Returns the steps that are due. Must be called at least once per second and after each ended
    /// request. `running` is the number of unfinished requests, including those being refused;
    /// `held` is the number of holdings that are not yet returned.
    std::vector<shutdown_action> poll(std::size_t running, std::size_t held, time_point now);

    shutdown_phase phase() const { return phase_; }
    bool is_ready() const { return phase_ == shutdown_phase::serving; }
    /// Returns whether the daemon accepts new requests.
    bool accepts_new() const { return phase_ <= shutdown_phase::announcing; }

private:
    const shutdown_settings settings_;
    shutdown_phase phase_ = shutdown_phase::serving;
    time_point phase_since_;
    bool grace_over_ = false;
};

}  // namespace radishpulley::requests
