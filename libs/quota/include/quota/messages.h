/// Messages that daemons exchange about token loans, as plain values.
///
/// Every amount of a loan is a cumulative total since the loan started. Lost, duplicated and
/// delayed messages are therefore harmless: the receiver keeps the largest total that it has
/// received.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "quota/token_amount.h"

namespace radishpulley::quota {

/// Number of a slot: a fixed part of every client account's rate and burst.
using slot_number = std::uint32_t;

/// Fencing number of a slot's ownership; higher after every change of owner.
using fence_number = std::uint64_t;

/// Number of a loan; unique for one start of the borrowing daemon.
using loan_number = std::uint64_t;

/// Identifies a loan. The borrower assigns `loan`.
struct loan_key {
    slot_number slot = 0;
    fence_number fence = 0;
    client_account_id account;
    loan_number loan = 0;
};

/// State of a slot's token bucket for one client account, at the time its message was sent.
struct slot_level {
    token_amount balance = 0;
    /// Amount lent that is neither returned nor accounted as spent.
    token_amount outstanding = 0;
    /// Time until the slot starts to lend; above 0 after a change of owner.
    duration ready_in = duration::zero();
};

/// Borrower to owner: requests tokens. The borrower sends it again with a higher total to request
/// more.
struct loan_request {
    loan_key key;
    /// Total requested.
    token_amount wanted = 0;
    /// The loan expires this long after the request was first sent, by the borrower's clock.
    duration lifetime = duration::zero();
    /// The owner keeps the unmet part of the request queued for this long.
    duration wait = duration::zero();
    /// Lower values are served first.
    std::uint64_t priority = 0;
    /// Whether the owner should recall tokens that other borrowers do not need.
    bool recall = false;
};

/// Owner to borrower: answers each request. The owner sends it again when it grants more.
struct loan_grant {
    loan_key key;
    /// Total granted.
    token_amount granted = 0;
    slot_level level;
};

/// Borrower to owner: reports how much of a loan was spent, returned and refunded.
struct loan_return {
    loan_key key;
    /// Total charged to requests.
    token_amount spent = 0;
    /// Total returned without having been charged.
    token_amount returned = 0;
    /// Total charged and then refunded once the actual use was known; at most `spent`.
    token_amount refunded = 0;
    /// Whether the borrower requests nothing more for this loan.
    bool closed = false;
};

/// Owner to borrower: recalls all unneeded tokens lent for this slot and account.
struct loan_recall {
    slot_number slot = 0;
    fence_number fence = 0;
    client_account_id account;
    /// Priority of the request that is short of tokens.
    std::uint64_t priority = 0;
};

/// Receiver to borrower: the receiver does not own the slot under this fencing number, or has to
/// read the slot table again before it lends.
struct loan_rejected {
    loan_key key;
};

using quota_message =
    std::variant<loan_request, loan_grant, loan_return, loan_recall, loan_rejected>;

/// A message and its receiver.
struct outgoing_message {
    vm_incarnation to;
    quota_message message;
};

using outgoing_messages = std::vector<outgoing_message>;

}  // namespace radishpulley::quota
