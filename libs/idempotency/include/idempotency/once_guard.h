/// Lets a call under an idempotency key run at most once in the whole fleet.
///
/// The record is created by a conditional update before the first byte goes to an endpoint. Who
/// created it may run the call; everybody else gets the stored outcome or a refusal.
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

/// A call that asks to run.
struct keyed_call {
    client_account_id account;
    std::string key;
    std::string fingerprint;
    request_id request;
};

/// The permit of one attempt. End it by exactly one of finish, release and abandon.
struct run_permit {
    std::string name;
    record content;
    object_api::object_version version = 0;
};

/// Why a call may not run.
enum class refusal {
    /// The API gave no clear answer: this call did not run and will not.
    unavailable,
    /// This daemon's share of the API's writes is used up: this call did not run.
    rate_limited,
    /// The key was used with other content.
    key_reused,
    /// An earlier call with the key may have run.
    outcome_unknown,
    /// An earlier call with the key runs on this VM now; ask again when it has ended.
    in_progress_here,
    /// An earlier call ran, and its answer was too long to be kept.
    outcome_not_kept
};

using begin_result = std::variant<run_permit, outcome, refusal>;

/// Bounds of a guard.
struct guard_limits {
    /// Tries to create one record before the call is refused.
    std::size_t max_create_tries = 3;
    /// Records whose end is still to be written. At this number new calls are refused.
    std::size_t max_pending = 512;
    /// Calls a second that this daemon may ask for, and the most at once. Each costs up to three
    /// writes, so the fleet's sum must stay well under the API's rate.
    double calls_per_second = 10;
    double call_burst = 20;
    /// Time in which an update without an answer may still take effect.
    duration late_update_bound = std::chrono::seconds(60);
};

/// What became of the ends of records so far.
struct guard_counts {
    std::uint64_t created = 0;
    std::uint64_t refused_unavailable = 0;
    std::uint64_t refused_over_rate = 0;
    /// Ends that were given up: their records stay as they are until they expire.
    std::uint64_t ends_given_up = 0;
};

/// Creates and ends records. Safe to call from several threads; calls block on the object API, and
/// no lock is held meanwhile.
class once_guard {
public:
    once_guard(object_api::object_store& store, vm_incarnation self, guard_limits limits);

    /// Asks to run a call. `epoch` comes from record_epochs.
    begin_result begin(const keyed_call& call, epoch_number epoch, time_point now);

    /// Stores the outcome of a call that ran.
    void finish(const run_permit& permit, outcome result, time_point now);

    /// Deletes the record of a call that certainly did not run, so that a repeat may run.
    void release(const run_permit& permit, time_point now);

    /// Ends the permit of a call whose outcome is unknown; its record stays.
    void abandon(const run_permit& permit);

    /// Tries again to write the ends that could not be written. Call it every second, and when
    /// the daemon stops until pending() is 0.
    void retry_pending(time_point now);

    std::size_t pending() const;
    guard_counts counts() const;

private:
    enum class end_kind { finish, release };
    enum class end_result { done, again, given_up };
    struct pending_end {
        end_kind kind = end_kind::finish;
        run_permit permit;
        /// False while it is unknown whether the record was ever created.
        bool created = true;
        time_point since;
    };

    run_permit new_permit(const keyed_call& call, epoch_number epoch);
    bool take_call(time_point now);
    begin_result create(const run_permit& permit, time_point now);
    begin_result judge(const run_permit& permit, const object_api::object& found) const;
    void end(pending_end it, time_point now);
    end_result try_end(pending_end& it, time_point now);
    end_result try_finish(pending_end& it);
    end_result try_release(pending_end& it, time_point now);
    void release_left_behind(const std::string& name, time_point now);
    std::deque<pending_end> take_releases(const std::string& name);
    void settle(pending_end it, end_result result);
    bool in_progress_here(const std::string& name) const;

    object_api::object_store& store_;
    const vm_incarnation self_;
    const guard_limits limits_;
    mutable std::mutex mutex_;
    std::uint64_t next_sequence_ = 1;
    double calls_left_;
    std::optional<time_point> calls_counted_at_;
    std::map<std::string, attempt_id> running_;
    std::deque<pending_end> pending_;
    guard_counts counts_;
};

}  // namespace radishpulley::idempotency
