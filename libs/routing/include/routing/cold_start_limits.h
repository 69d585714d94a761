/// Limits the requests that all VMs together send to a cold engine.
///
/// An engine is cold for a time after its start, and crashes if it receives many more requests per
/// second than its service allows. Each VM has a share of that rate, and the shares add up to no
/// more than the rate without any message: they depend only on the engine's id and on the VMs that
/// are registered in the store. As in endpoint_limits, the rate is divided among as many VMs as it
/// has whole requests per second; the others send the engine nothing. After the cold time the rate
/// grows continuously, doubling in each `doubling_time`, until no limit is needed.
///
/// VMs learn of a new member at different times. A VM therefore sends only after it has known the
/// members for `settle_time`, and counts a member for that time after it has left. If no VM's list
/// lags by more than `settle_time`, the shares add up to at most the rate at any moment.
///
/// Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/configuration.h"
#include "routing/endpoint.h"

namespace radishpulley::routing {

/// Times and factors of the limits.
struct cold_start_settings {
    /// Longest time by which the lists of members of two VMs differ.
    duration settle_time = std::chrono::seconds(3);
    /// Time in which the rate doubles after the cold time.
    duration doubling_time = std::chrono::seconds(1);
    /// The limit ends when the rate is at least this multiple of the cold rate ...
    double final_factor = 16;
    /// ... and at least this many requests per second for each VM.
    double final_share = 4;
    /// Requests within one second that the VMs may send together, as a multiple of the rate. The
    /// platform tolerates more; the rest is for differing lists and for delays of the network.
    double max_window_factor = 1.5;
    /// Time for which an endpoint without a directory entry is remembered.
    duration retention = std::chrono::minutes(10);
};

/// An endpoint that became cold or is cold no longer.
struct cold_change {
    endpoint_id endpoint;
    bool is_cold = false;
    /// Remaining cold time.
    duration left{};
    /// Time since the entry, response or evacuation that this follows from.
    duration age{};
};

/// Cold endpoints and this VM's shares of their rates.
class cold_start_limits {
public:
    explicit cold_start_limits(cold_start_settings settings = {}) : settings_(settings) {}

    /// Sets the cold times and rates of the services.
    void configure(gsl::span<const service> services, time_point now);
    /// Sets the VMs among which rates are divided, including this one; none as long as they are
    /// unknown. Has to be called at shorter intervals than the settle time.
    void set_vms(const vm_id& self, gsl::span<const vm_id> members, time_point now);
    /// The directory was read completely: a start that is unknown so far is a new one.
    void on_directory_read() { is_directory_read_ = true; }
    /// Applies a directory entry that was read at `now`.
    void on_entry(const endpoint& it, time_point now);
    void on_entry_removed(const endpoint_id& id, time_point now);
    /// An endpoint stated in a response that it stays cold for `left`.
    void on_response(const endpoint_incarnation& from, duration left, time_point now);
    /// The evacuation of the endpoint's availability zone has ended.
    void on_evacuation_ended(const endpoint_id& id, time_point now);
    /// Counts a request that is sent to the endpoint.
    void on_request_sent(const endpoint_id& id, time_point now);

    /// Whether this VM may send the endpoint a request now.
    bool allows(const endpoint_id& id, time_point now) const;
    /// Time until this VM may send a request; zero where no limit applies, the maximum duration if
    /// the members are unknown.
    duration wait(const endpoint_id& id, time_point now) const;
    bool is_cold(const endpoint_id& id, time_point now) const;
    /// Current limit in requests per second across all VMs; nothing where no limit applies.
    std::optional<double> rate(const endpoint_id& id, time_point now) const;
    /// This VM's share of the limit, in requests per second.
    double share(const endpoint_id& id, time_point now) const;
    /// Number of endpoints that are cold.
    std::size_t cold_count(time_point now) const;
    /// Returns the endpoints that became cold or stopped being cold since the last call.
    std::vector<cold_change> take_changes(time_point now);

private:
    struct service_limit {
        duration cold_time{};
        double rate = 0;
    };
    struct record {
        service_id service;
        std::int64_t started_at_ms = 0;
        /// Number of the latest entry and what it stated; one that is read again changes nothing.
        std::uint64_t heartbeat = 0;
        std::optional<std::chrono::milliseconds> stated_left;
        /// Ends of the cold time by the entry and by responses.
        std::optional<time_point> cold_by_entry;
        std::optional<time_point> cold_by_response;
        /// When a start was noticed whose entry states no cold time.
        std::optional<time_point> start_noticed;
        std::optional<time_point> evacuation_ended;
        /// Time of the latest of these statements.
        time_point as_of{};
        std::optional<time_point> entry_removed;
        std::optional<time_point> last_sent;
        /// Whether a limit applied when the record was last updated.
        bool is_limited = false;
        /// Rank of this VM for the endpoint, valid while a limit applies.
        std::size_t rank = 0;
        /// When the rank was last determined without a share before; the first wait is counted from
        /// it.
        time_point sender_since{};
        /// Whether take_changes() has reported it as cold.
        bool was_cold = false;
    };

    const service_limit* limit_of(const record& it) const;
    std::optional<time_point> cold_until(const record& it) const;
    bool is_cold(const record& it, time_point now) const;
    std::optional<double> rate(const record& it, time_point now) const;
    double share(const record& it, double rate) const;
    /// Number of VMs that send at this rate.
    std::size_t sender_count(double rate) const;
    /// Time until a VM of this rank has a share.
    duration time_to_share(const record& it, time_point now) const;
    /// Whether the members have been confirmed lately.
    bool are_members_known(time_point now) const;
    /// When the members that are known include all that other VMs count, if they stay known.
    time_point settled_at() const { return *known_since_ + settings_.settle_time; }
    bool update_members(gsl::span<const vm_id> members, time_point now);
    void apply_entry_time(record& it, duration left, time_point now) const;
    /// Follows a change of the record; `members_changed` if its rank has to be computed again.
    void update(const endpoint_id& id, record& it, bool members_changed, time_point now) const;

    cold_start_settings settings_;
    std::map<service_id, service_limit> services_;
    std::map<endpoint_id, record> records_;
    bool is_directory_read_ = false;
    vm_id self_;
    /// Members, and when each was last on the list.
    std::map<vm_id, time_point> members_;
    std::vector<vm_id> ranked_vms_;
    /// Since when the members are known without interruption, and when they were set last.
    std::optional<time_point> known_since_;
    time_point known_at_{};
};

}  // namespace radishpulley::routing
