/// The admitting side: charges requests to tokens lent by the slots' owners.
#pragma once

#include <map>
#include <memory>
#include <variant>

#include "quota/messages.h"
#include "quota/quota_policy.h"
#include "quota/slot_table.h"

namespace radishpulley::quota {

/// Number of a request that asks for admission; unique for one start of the daemon.
using admission_number = std::uint64_t;

/// Why a request was refused.
enum class refusal_reason {
    /// The client account does not exist.
    unknown_account,
    /// The request is larger than the burst and can never run.
    larger_than_burst,
    /// The client account has used up its rate and burst.
    over_rate,
    /// Tokens may exist, but the owners of their slots did not answer.
    slots_unreachable
};

/// The request may run; it is charged.
struct admitted {
    admission_number number = 0;
};

/// The decision follows within `quota_policy::admission_wait`.
struct waiting {
    admission_number number = 0;
};

/// The request must not run. For `over_rate`, it would be admitted after `retry_after` if no other
/// request of the account came. For `slots_unreachable`, `retry_after` is the earliest time.
struct refused {
    admission_number number = 0;
    refusal_reason reason = refusal_reason::over_rate;
    duration retry_after = duration::zero();
};

using admission_decision = std::variant<admitted, waiting, refused>;

/// Result of one event.
struct quota_output {
    outgoing_messages messages;
    std::vector<admission_decision> decisions;
};

namespace detail {
class account_pool;
struct pool_context;
}  // namespace detail

/// Decides on admissions of all client accounts of one daemon. Pure; not thread-safe.
///
///     quota_output out = borrower.admit(number, account, to_amount(800), now);
///     ...  // run the request once a decision `admitted` came
///     out = borrower.settle(number, to_amount(412), now);
class borrower {
public:
    borrower(vm_incarnation self, quota_policy policy);
    ~borrower();
    borrower(borrower&&) noexcept;
    borrower& operator=(borrower&&) noexcept;

    quota_output set_limits(const limits_by_account& limits, time_point now);
    /// Takes over a table that was just read; loans of former owners stay good until they end.
    quota_output set_table(const slot_table& table, time_point now);

    /// Asks for admission of a request that is estimated at `size`.
    quota_output admit(admission_number number, const client_account_id& account, token_amount size,
                       time_point now);

    /// Withdraws a request that is waiting, or gives back the whole charge of one that was admitted
    /// and did not run.
    quota_output cancel(admission_number number, time_point now);

    /// Settles an admitted request: what was not used is given back, what was used beyond the
    /// charge is charged before the account's next admission here.
    quota_output settle(admission_number number, token_amount used, time_point now);

    /// Handles a message of another daemon; messages for other roles are ignored.
    quota_output receive(const vm_incarnation& from, const quota_message& message, time_point now);

    /// Ends loans and waits that have run out. Call it at next_event() or every few milliseconds.
    quota_output advance(time_point now);

    /// Gives up all loans unspent, as after a suspension that the clock did not count.
    void drop_loans();

    /// Gives back all unspent tokens, as a stopping daemon does.
    quota_output return_loans(time_point now);

    /// Moment of the next call of advance(); `time_point::max()` when nothing is due.
    time_point next_event() const;

    /// Unspent tokens of an account on this daemon.
    token_amount available(const client_account_id& account, time_point now) const;
    /// Admitted requests that are not settled.
    std::size_t unsettled() const { return admissions_.size(); }

private:
    template <typename Event>
    quota_output run(const client_account_id& account, Event event);

    void forget_refused(const quota_output& out);

    std::unique_ptr<detail::pool_context> context_;
    std::map<client_account_id, std::unique_ptr<detail::account_pool>> pools_;
    std::map<admission_number, client_account_id> admissions_;
};

}  // namespace radishpulley::quota
