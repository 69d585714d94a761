/// Table of the endpoints that requests may be sent to, updated from the platform's directory and
/// from call outcomes.
///
/// Pure; not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "routing/endpoint.h"
#include "routing/endpoint_notice.h"

namespace radishpulley::routing {

/// Timeouts and thresholds of the directory.
struct directory_settings {
    /// Grace period after an outage of the platform's store, in which entries may be missing
    /// although their endpoints are alive.
    duration recovery_grace = std::chrono::milliseconds(1'900);
    /// Time for which an endpoint is deprioritized after a failed call; doubles with each further
    /// failure.
    duration initial_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(3);
    /// Failure rate above which an endpoint is deprioritized.
    double max_failure_rate = 0.25;
    /// Half-life of the failure rate.
    duration failure_half_life = std::chrono::seconds(2);
    /// Time for which a notice is kept after the endpoint's entry is gone.
    duration notice_retention = std::chrono::minutes(10);
};

/// Outcome of a call to an endpoint, as evidence of its health.
enum class call_outcome {
    /// The endpoint answered, with any application status.
    answered,
    /// The endpoint answered that it failed.
    failed,
    /// The connection could not be established or broke.
    unreachable
};

/// Effect of an update of the directory.
enum class directory_change { none, added, changed, restarted, removed };

/// Table of endpoints by id.
class endpoint_directory {
public:
    explicit endpoint_directory(directory_settings settings = {});

    /// Adds or updates an entry. An entry under an existing id with a later start time is a new
    /// endpoint.
    directory_change on_entry(const endpoint& it, time_point now);
    /// Removes an entry. During the grace period after a store outage the removal is deferred.
    directory_change on_removed(const endpoint_id& id, time_point now);
    /// Replaces the table by a complete list: entries that are missing from it are removed.
    std::vector<endpoint_id> on_list(const std::vector<endpoint>& list, time_point now);
    /// Grace period for missing entries after the store has recovered.
    duration recovery_grace() const { return settings_.recovery_grace; }
    /// Starts the grace period: the store answers again after an outage.
    void on_store_recovered(time_point now);
    /// Drops endpoints whose deferred removal is due, and returns them.
    std::vector<endpoint_id> advance(time_point now);
    /// Records the outcome of a call.
    void on_call(const endpoint_id& id, call_outcome outcome, time_point now);
    /// Ends the effect of failed calls, because this VM and not the endpoint caused them.
    void reset_failures(const endpoint_id& id);
    /// Records what an endpoint announces in a response; returns whether it is new. Directory
    /// entries may be stale and don't revert what the same endpoint start announced.
    bool on_notice(const endpoint_incarnation& from, const endpoint_notice& it, time_point now);

    /// Returns the entry, or null.
    const endpoint* find(const endpoint_id& id) const;
    /// Returns the endpoints of a service that are not draining, ordered by id.
    std::vector<const endpoint*> usable(const service_id& service) const;
    /// Remaining time for which the endpoint accepts no requests from this VM; zero where it
    /// accepts them.
    duration pause_left(const endpoint_id& id, time_point now) const;
    /// Whether other endpoints are preferred, because recent calls failed or because the entry is
    /// missing and may only be delayed.
    bool is_deprioritized(const endpoint_id& id, time_point now) const;
    /// Returns all endpoints.
    std::vector<const endpoint*> all() const;

private:
    struct record {
        endpoint entry;
        std::optional<time_point> removal_due;
        time_point backoff_until = time_point::min();
        duration backoff{};
        /// Exponential average of the share of failed calls, as of `failure_rate_at`.
        double failure_rate = 0;
        time_point failure_rate_at{};
    };
    // The last notice of an endpoint. It outlives the directory entry, which may come back.
    struct notice_record {
        std::int64_t started_at_ms = 0;
        bool leaving = false;
        time_point paused_until = time_point::min();
        time_point received_at{};
    };

    /// Returns the share of recent calls that failed, from 0 to 1; the weight of old calls decays.
    double decayed_failure_rate(const record& it, time_point now) const;
    /// Returns the notice of this endpoint start, or null.
    const notice_record* notice_of(const endpoint_incarnation& from) const;

    directory_settings settings_;
    std::map<endpoint_id, record> records_;
    std::map<endpoint_id, notice_record> notices_;
    time_point store_recovered_at_ = time_point::min();
};

}  // namespace radishpulley::routing
