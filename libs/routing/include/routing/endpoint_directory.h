/// The endpoints that requests may be sent to, fed by the platform's directory and by the outcome
/// of calls.
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

/// Limits of the directory.
struct directory_settings {
    /// After the platform's store was away, entries may be missing for this long although their
    /// endpoints live.
    duration recovery_grace = std::chrono::milliseconds(1'900);
    /// Time that an endpoint is passed over after a failed call; doubles with each further one.
    duration first_avoidance = std::chrono::milliseconds(250);
    duration longest_avoidance = std::chrono::seconds(3);
    /// An endpoint that fails more than this share of its calls is passed over where others exist.
    double most_failures = 0.25;
    /// Time in which failures lose half of their weight.
    duration failure_half_life = std::chrono::seconds(2);
    /// Time for which the notice of an endpoint without an entry is kept.
    duration notice_memory = std::chrono::minutes(10);
};

/// How a call to an endpoint ended, as evidence of its health.
enum class call_outcome {
    /// It answered, with whatever status of its own.
    answered,
    /// It answered that it failed.
    failed,
    /// It could not be connected to, or broke the connection.
    unreachable
};

/// What changed by taking an entry.
enum class directory_change { none, added, changed, restarted, removed };

/// Table of endpoints by id.
class endpoint_directory {
public:
    explicit endpoint_directory(directory_settings settings = {});

    /// Takes one entry. An entry under a known id with another start is a new endpoint.
    directory_change on_entry(const endpoint& it, time_point now);
    /// Takes the removal of an entry. It is put off for a while after an outage of the store.
    directory_change on_removed(const endpoint_id& id, time_point now);
    /// Takes a whole list: entries that are missing from it count as removed.
    std::vector<endpoint_id> on_list(const std::vector<endpoint>& list, time_point now);
    /// Time for which entries may be missing after the store has returned.
    duration recovery_grace() const { return settings_.recovery_grace; }
    /// Notes that the store answers again after it had not.
    void on_store_recovered(time_point now);
    /// Drops endpoints whose put-off removal is due. Returns them.
    std::vector<endpoint_id> advance(time_point now);
    /// Takes the outcome of a call.
    void on_call(const endpoint_id& id, call_outcome outcome, time_point now);
    /// Takes what an endpoint says of itself in an answer; returns whether that is new. Entries
    /// may be late: they don't take back what this start of the endpoint said.
    bool on_notice(const endpoint_incarnation& from, const endpoint_notice& it, time_point now);

    /// Returns the entry, or null.
    const endpoint* find(const endpoint_id& id) const;
    /// Returns the endpoints of a service that don't leave, in order of their ids.
    std::vector<const endpoint*> usable(const service_id& service) const;
    /// Time for which the endpoint wants nothing from this VM; zero where it takes requests.
    duration pause_left(const endpoint_id& id, time_point now) const;
    /// Whether calls failed of late, or its entry is missing and may only be late, so that others
    /// go first.
    bool avoided(const endpoint_id& id, time_point now) const;
    /// All endpoints.
    std::vector<const endpoint*> all() const;

private:
    struct record {
        endpoint entry;
        std::optional<time_point> removal_due;
        time_point avoided_until = time_point::min();
        duration avoidance{};
        /// Exponential average of failed calls, as of `failures_at`.
        double failures = 0;
        time_point failures_at{};
    };
    // What an endpoint said of itself; it outlives the entry, which may be back.
    struct kept_notice {
        std::int64_t started_at_ms = 0;
        bool leaving = false;
        time_point paused_until = time_point::min();
        time_point heard_at{};
    };

    /// Share of the recent calls that failed, from 0 to 1; old calls lose their weight.
    double failures_of(const record& it, time_point now) const;
    /// What this start of an endpoint said, or null.
    const kept_notice* notice_of(const endpoint_incarnation& from) const;

    directory_settings settings_;
    std::map<endpoint_id, record> records_;
    std::map<endpoint_id, kept_notice> notices_;
    time_point store_returned_ = time_point::min();
};

}  // namespace radishpulley::routing
