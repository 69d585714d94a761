/// The lending side: buckets of the slots that this daemon owns.
///
/// For each slot and client account, balance + outstanding loans never exceed the slot's share of
/// the burst, and they grow by no more than its share of the rate.
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

/// Lends tokens of its slots. Pure: time and messages in, messages out. Not thread-safe.
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

    /// Takes over the limits of a new configuration. Lower ones hold at once for new loans.
    outgoing_messages set_limits(const limits_by_account& limits, time_point now);

    /// Takes over a table that was just read. Slots won start empty and lend after every loan of
    /// the former owner has ended; slots lost are dropped at once.
    void set_table(const slot_table& table, time_point now);

    /// Handles a message of another daemon; messages for other roles are ignored.
    outgoing_messages receive(const vm_incarnation& from, const quota_message& message,
                              time_point now);

    /// Ends what has run out and serves the requests in line.
    outgoing_messages advance(time_point now);

    /// Moment of the next call of advance(), which also shows that the daemon was not paused;
    /// `time_point::max()` while there is nothing to lend.
    time_point next_event() const;

    /// Stops lending the slots from which no other daemon has borrowed of late, so that they can be
    /// handed over, and returns them. The next `set_table` resumes those that are still owned.
    std::set<slot_number> retire_idle(time_point now);
    /// Lends retired slots again, because it is certain that none was handed over.
    void resume_retired();

    /// Lends nothing any more, as a stopping daemon does before it releases its slots.
    void stop();

    /// True when this daemon did not run for longer than the pause limit, and set_table() is due.
    bool needs_table() const { return needs_table_; }

    std::size_t slot_count() const { return slots_.size(); }
    /// Returns a bucket's state; all zero for a slot or account that is not here.
    slot_level level(slot_number slot, const client_account_id& account, time_point now) const;

private:
    struct owned_slot;

    void note_time(time_point now);
    owned_slot* find_slot(slot_number slot, fence_number fence) const;
    void set_entry(slot_number number, const slot_entry& entry, time_point now);
    void add_bucket(owned_slot& slot, const client_account_id& account, const account_limits& whole,
                    time_point now);
    void recall(owned_slot& slot, const client_account_id& account, const vm_incarnation& claimant,
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
    std::size_t slot_total_ = 0;
    std::map<slot_number, std::unique_ptr<owned_slot>> slots_;
    time_point last_run_{};
    bool needs_table_ = false;
    bool stopped_ = false;
};

}  // namespace radishpulley::quota
