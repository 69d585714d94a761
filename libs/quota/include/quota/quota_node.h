/// Lending and borrowing of tokens on one daemon.
#pragma once

#include <optional>
#include <set>

#include "quota/borrower.h"
#include "quota/slot_owner.h"

namespace radishpulley::quota {

/// Combines a slot_owner and a borrower, and delivers messages between the two immediately. It does
/// no I/O and reads no clock. Not thread-safe: the daemon guards it with one lock.
///
///     quota_node node(self, quota_policy());
///     node.set_limits(limits, now);
///     node.set_table(registry.table(), now);
///     quota_output out = node.admit(number, account, size, now);
///     for (const outgoing_message& it : out.messages) peers.send(it.to, encode(it.message));
class quota_node {
public:
    quota_node(vm_incarnation self, quota_policy policy);

    quota_output set_limits(const limits_by_account& limits, time_point now);
    /// Applies a slot table that was just read from the object API.
    quota_output set_table(const slot_table& table, time_point now);
    quota_output admit(admission_number number, const client_account_id& account, token_amount size,
                       time_point now);
    quota_output cancel(admission_number number, time_point now);
    quota_output settle(admission_number number, token_amount used, time_point now);
    quota_output receive(const vm_incarnation& from, const quota_message& message, time_point now);
    quota_output advance(time_point now);
    /// Discards the unspent tokens of all loans after a suspension that the clock did not count.
    void drop_loans();
    /// Stops lending and returns all borrowed tokens. The caller then releases the slots through
    /// slot_registry.
    quota_output stop(time_point now);

    /// Returns whether requests were recently refused because slot owners are unreachable.
    bool is_cut_off(time_point now) const;
    /// Stops lending idle slots and returns them, so that they can be handed over to daemons that
    /// request slots.
    std::set<slot_number> retire_idle(time_point now) { return owner_.retire_idle(now); }

    /// Lends retired slots again. Valid only when it is certain that none was handed over.
    void resume_retired() { owner_.resume_retired(); }

    /// Returns when advance() has to be called next.
    time_point next_event() const;
    const slot_owner& owner() const { return owner_; }
    const borrower& admissions() const { return borrower_; }

private:
    quota_output deliver(quota_output out, time_point now);

    vm_incarnation self_;
    slot_owner owner_;
    borrower borrower_;
    std::optional<time_point> unreachable_at_;
};

}  // namespace radishpulley::quota
