/// Ensures that a call with an idempotency key runs at most once in the whole fleet.
///
/// The record is created by a conditional update before the first byte is sent to an endpoint. The
/// attempt that created it may run the call. Every other attempt gets the stored outcome or a
/// refusal.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/clock.h"
#include "base/identifier.h"
#include "idempotency/record.h"
#include "object_api/object_store.h"

namespace radishpulley::idempotency {

/// A call with an idempotency key.
struct keyed_call {
    client_account_id account;
    std::string key;
    std::string fingerprint;
    request_id request;
};

/// Permit of one attempt. It is ended by exactly one call of finish, release or abandon.
struct run_permit {
    std::string name;
    record content;
    object_api::object_version version = 0;
};

/// Reason why a call may not run.
enum class refusal {
    /// The object API gave no conclusive answer. This call did not run and will not run.
    unavailable,
    /// This daemon has used up its share of the writes to the object API. This call did not run.
    rate_limited,
    /// The key was already used with different content.
    key_reused,
    /// An earlier call with the key may have run.
    outcome_unknown,
    /// An earlier call with the key is running on this VM. The caller can retry after its end.
    in_progress_here,
    /// An earlier call with the key ran, but its response was too long to be stored.
    outcome_not_kept
};

using begin_result = std::variant<run_permit, outcome, refusal>;

/// Limits of a guard.
struct guard_limits {
    /// Attempts to create one record before the call is refused.
    std::size_t max_create_attempts = 3;
    /// Limit of records whose completion is not written yet. At this limit new calls are refused.
    std::size_t max_pending = 512;
    /// Rate and burst of the token bucket for calls of this daemon. Each call costs up to three
    /// writes, so the sum over the fleet has to stay well below the rate limit of the object API.
    double calls_per_second = 10;
    double call_burst = 20;
    /// Longest time after which an update without a response may still take effect.
    duration max_update_delay = std::chrono::seconds(60);
};

/// Counters of a guard since its start.
struct guard_counts {
    std::uint64_t created = 0;
    std::uint64_t refused_unavailable = 0;
    std::uint64_t refused_rate_limited = 0;
    /// Completions that were given up. Their records remain unchanged until they expire.
    std::uint64_t abandoned_completions = 0;
};

/// Creates and completes records. Thread-safe. Calls block on the object API; no lock is held
/// during a call of the object API.
class once_guard {
public:
    once_guard(object_api::object_store& store, vm_incarnation self, guard_limits limits);

    /// Requests a permit to run a call. `epoch` comes from record_epochs.
    begin_result begin(const keyed_call& call, epoch_number epoch, time_point now);

    /// Stores the outcome of a call that ran.
    void finish(const run_permit& permit, outcome result, time_point now);

    /// Deletes the record of a call that did not run, so that a repeated call may run. Called only
    /// if it is certain that the call did not run.
    void release(const run_permit& permit, time_point now);

    /// Ends the permit of a call whose outcome is unknown. Its record is kept.
    void abandon(const run_permit& permit);

    /// Retries completions that could not be written. The daemon calls it every second, and during
    /// shutdown until pending() is 0.
    void retry_pending(time_point now);

    std::size_t pending() const;
    guard_counts counts() const;

private:
    enum class completion_kind { finish, release };
    enum class completion_result { done, retry, permanent_failure };
    struct pending_completion {
        completion_kind kind = completion_kind::finish;
        run_permit permit;
        /// False if it is unknown whether the record was ever created.
        bool created = true;
        time_point since;
    };

    run_permit new_permit(const keyed_call& call, epoch_number epoch);
    bool take_rate_token(time_point now);
    begin_result create(const run_permit& permit, time_point now);
    begin_result evaluate_existing(const run_permit& permit, const object_api::object& found) const;
    void complete(pending_completion it, time_point now);
    completion_result try_complete(pending_completion& it, time_point now);
    completion_result try_finish(pending_completion& it);
    completion_result try_release(pending_completion& it, time_point now);
    void flush_pending_releases(const std::string& name, time_point now);
    std::deque<pending_completion> extract_releases(const std::string& name);
    void handle_result(pending_completion it, completion_result result);
    bool in_progress_here(const std::string& name) const;

    object_api::object_store& store_;
    const vm_incarnation self_;
    const guard_limits limits_;
    mutable std::mutex mutex_;
    std::uint64_t next_sequence_ = 1;
    double rate_tokens_;
    std::optional<time_point> tokens_refilled_at_;
    std::map<std::string, attempt_id> running_;
    std::deque<pending_completion> pending_;
    guard_counts counts_;
};

}  // namespace radishpulley::idempotency
