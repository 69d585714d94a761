/// The lending side of the token loans: the token buckets of the slots that this daemon owns.
///
/// For each slot and client account, the sum of balance and outstanding loans never exceeds the
/// slot's share of the burst, and grows no faster than the slot's share of the rate.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "quota/messages.h"
#include "quota/quota_policy.h"
#include "quota/slot_table.h"

namespace radishpulley::quota {

namespace detail {
class slot_bucket;
struct loan_reference;
}  // namespace detail

/// Lends the tokens of the slots that this daemon owns. It does no I/O and reads no clock: its
/// methods take the time and messages and return messages. Not thread-safe.
///
///     slot_owner owner(self, policy);
///     owner.set_limits(limits, now);
///     owner.set_table(table, now);
///     send(owner.receive(from, request, now));
class slot_owner {
public:
    slot_owner(vm_incarnation self, quota_policy policy);
    ~slot_owner();
    slot_owner(slot_owner&&) noexcept;
    slot_owner& operator=(slot_owner&&) noexcept;

    /// Applies the limits of a new configuration. Lower limits apply to new loans immediately.
    outgoing_messages set_limits(const limits_by_account& limits, time_point now);

    /// Applies a slot table that was just read. Newly acquired slots start empty and lend once
    /// every loan of the former owner has expired; a slot's first owner starts full and lends
    /// immediately. Lost slots are dropped immediately.
    void set_table(const slot_table& table, time_point now);

    /// Handles a message from another daemon. Messages meant for a borrower are ignored.
    outgoing_messages receive(const vm_incarnation& from, const quota_message& message,
                              time_point now);

    /// Expires loans and serves the queued requests.
    outgoing_messages advance(time_point now);

    /// Returns when advance() has to be called next; `time_point::max()` while there is nothing to
    /// lend. The regular calls also show that the daemon was not paused.
    time_point next_event() const;

    /// Stops lending the slots from which no daemon has recently borrowed, and returns them, so
    /// that they can be handed over. The next `set_table` resumes those that are still owned.
    std::set<slot_number> retire_idle(time_point now);
    /// Lends retired slots again. Valid only when it is certain that none was handed over.
    void resume_retired();

    /// Stops lending for good, as a stopping daemon does before it releases its slots.
    void stop();

    /// Returns whether this daemon was paused for longer than the pause limit and has to call
    /// set_table() before it lends again.
    bool needs_table() const { return needs_table_; }

    std::size_t slot_count() const { return slots_.size(); }
    /// Returns the state of a bucket; all fields are zero for an unknown slot or account.
    slot_level level(slot_number slot, const client_account_id& account, time_point now) const;

private:
    struct owned_slot;

    void detect_pause(time_point now);
    owned_slot* find_slot(slot_number slot, fence_number fence) const;
    void apply_entry(slot_number number, const slot_entry& entry, time_point now);
    void add_bucket(owned_slot& slot, const client_account_id& account, const account_limits& whole,
                    time_point now);
    void recall(owned_slot& slot, const client_account_id& account, const vm_incarnation& requester,
                std::uint64_t priority, outgoing_messages& out) const;
    static void answer(const owned_slot& slot, const client_account_id& account,
                       const std::vector<detail::loan_reference>& loans, time_point now,
                       outgoing_messages& out);
    outgoing_messages receive_request(const vm_incarnation& from, const loan_request& message,
                                      time_point now);
    outgoing_messages receive_return(const vm_incarnation& from, const loan_return& message,
                                     time_point now);

    vm_incarnation self_;
    quota_policy policy_;
    limits_by_account limits_;
    std::size_t slot_count_ = 0;
    std::map<slot_number, std::unique_ptr<owned_slot>> slots_;
    time_point last_run_{};
    bool needs_table_ = false;
    bool is_stopped_ = false;
};

}  // namespace radishpulley::quota
