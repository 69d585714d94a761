/// The borrowing side of the token loans: admits requests and charges them to tokens borrowed from
/// the slots' owners.
#pragma once

#include <map>
#include <memory>
#include <variant>

#include "quota/messages.h"
#include "quota/quota_policy.h"
#include "quota/slot_table.h"

namespace radishpulley::quota {

/// Number of an admission request; unique for one start of the daemon.
using admission_number = std::uint64_t;

/// Why a request was refused.
enum class refusal_reason {
    /// The client account does not exist.
    unknown_account,
    /// The request is larger than the burst and can never run.
    larger_than_burst,
    /// The client account has used up its rate and burst.
    over_rate,
    /// Tokens may be available, but the owners of their slots did not answer.
    slots_unreachable
};

/// The request may run; its estimated size is charged.
struct admitted {
    admission_number number = 0;
};

/// The decision follows within `quota_policy::admission_wait`.
struct waiting {
    admission_number number = 0;
};

/// The request must not run. For `over_rate`, a retry after `retry_after` is admitted unless other
/// requests of the account arrive first. For `slots_unreachable`, `retry_after` is the earliest
/// time at which a retry can be admitted.
struct refused {
    admission_number number = 0;
    refusal_reason reason = refusal_reason::over_rate;
    duration retry_after = duration::zero();
};

using admission_decision = std::variant<admitted, waiting, refused>;

/// Messages to send and decisions made in response to one event.
struct quota_output {
    outgoing_messages messages;
    std::vector<admission_decision> decisions;
};

namespace detail {
class account_pool;
struct pool_context;
}  // namespace detail

/// Admits or refuses the requests of all client accounts on one daemon. It does no I/O and reads no
/// clock. Not thread-safe.
///
///     quota_output out = borrower.admit(number, account, to_amount(800), now);
///     ...  // run the request after an `admitted` decision
///     out = borrower.settle(number, to_amount(412), now);
class borrower {
public:
    borrower(vm_incarnation self, quota_policy policy);
    ~borrower();
    borrower(borrower&&) noexcept;
    borrower& operator=(borrower&&) noexcept;

    quota_output set_limits(const limits_by_account& limits, time_point now);
    /// Applies a slot table that was just read. Loans from former owners remain valid until they
    /// expire.
    quota_output set_table(const slot_table& table, time_point now);

    /// Requests admission of a request with the estimated size `size`.
    quota_output admit(admission_number number, const client_account_id& account, token_amount size,
                       time_point now);

    /// Withdraws a waiting request, or refunds the whole charge of an admitted request that did not
    /// run.
    quota_output cancel(admission_number number, time_point now);

    /// Settles an admitted request: refunds the unused part of its charge, or charges the use
    /// beyond it before the account's next admission on this daemon.
    quota_output settle(admission_number number, token_amount used, time_point now);

    /// Handles a message from another daemon. Messages meant for a slot owner are ignored.
    quota_output receive(const vm_incarnation& from, const quota_message& message, time_point now);

    /// Expires loans and overdue waits. The caller invokes it at next_event() or every few
    /// milliseconds.
    quota_output advance(time_point now);

    /// Discards the unspent tokens of all loans, as after a suspension that the clock did not
    /// count.
    void drop_loans();

    /// Returns all unspent tokens to their owners, as a stopping daemon does.
    quota_output return_loans(time_point now);

    /// Returns when advance() has to be called next; `time_point::max()` when nothing is due.
    time_point next_event() const;

    /// Returns the unspent tokens of an account on this daemon.
    token_amount available(const client_account_id& account, time_point now) const;
    /// Returns the number of admissions that are waiting or not settled.
    std::size_t unsettled() const { return admissions_.size(); }

private:
    template <typename Event>
    quota_output run(const client_account_id& account, Event event);

    void erase_refused(const quota_output& out);

    std::unique_ptr<detail::pool_context> context_;
    std::map<client_account_id, std::unique_ptr<detail::account_pool>> pools_;
    std::map<admission_number, client_account_id> admissions_;
};

}  // namespace radishpulley::quota
