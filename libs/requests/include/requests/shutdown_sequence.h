/// The order of a graceful shutdown of the daemon.
#pragma once

#include <cstddef>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace radishpulley::requests {

/// Times of a shutdown.
struct shutdown_settings {
    /// Time after `not ready` in which the balancer may still send new requests, which are served.
    duration balancer_wait = std::chrono::seconds(10);
    /// Longest time from the refusal of new requests to their end.
    duration grace = std::chrono::seconds(320);
    /// Longest time to give back leases, transfers and records.
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
    /// The longest deadline that a request can have.
    shutdown_settings_builder& longest_request(duration value);
    /// Lets the grace be shorter than the longest request, which may then be cut.
    shutdown_settings_builder& may_cut(bool value);
    /// Throws invalid_input with all findings.
    shutdown_settings build() const;

private:
    shutdown_settings settings_;
    duration longest_request_ = std::chrono::seconds(300);
    bool may_cut_ = false;
};

/// Time after which a caller that was refused should come back; other VMs serve it then.
constexpr duration shutdown_retry_after = std::chrono::seconds(1);

/// Where a shutdown stands.
enum class shutdown_phase { serving, announcing, finishing, returning, done };

/// Answer `not ready` to the balancer; go on serving.
struct report_not_ready {};
/// Refuse new requests with shutting_down and not_run; go on with all others.
struct refuse_new_requests {};
/// Tell every request that is left that the grace is over.
struct end_grace_period {};
/// Give back leases, shares of limits and open records.
struct return_holdings {};
/// Exit with this status.
struct exit_process {
    int status = 0;
};
using shutdown_action =
    std::variant<report_not_ready, refuse_new_requests, end_grace_period, return_holdings, exit_process>;

/// Decides the steps of a shutdown. Not safe for concurrent calls.
class shutdown_sequence {
public:
    explicit shutdown_sequence(shutdown_settings settings);

    /// Begins, for example at SIGTERM. A second call changes nothing.
    std::vector<shutdown_action> begin(time_point now);

    /// Call it at least once a second and after each ended request. `running` counts
    /// requests that have not finished, those being refused included; `held` counts what is still
    /// to be given back.
    std::vector<shutdown_action> poll(std::size_t running, std::size_t held, time_point now);

    shutdown_phase phase() const { return phase_; }
    bool is_ready() const { return phase_ == shutdown_phase::serving; }
    /// Whether a new request may be taken.
    bool accepts_new() const { return phase_ <= shutdown_phase::announcing; }

private:
    const shutdown_settings settings_;
    shutdown_phase phase_ = shutdown_phase::serving;
    time_point phase_since_;
    bool grace_over_ = false;
};

}  // namespace radishpulley::requests
