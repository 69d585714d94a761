/// Messages between daemons about loans of tokens, as plain values.
///
/// All amounts of a loan are totals since its start, so that a message that is lost, doubled or
/// late does no harm: the receiver keeps the largest total that it has seen.
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

/// What a loan message is about.
struct loan_key {
    slot_number slot = 0;
    fence_number fence = 0;
    client_account_id account;
    loan_number loan = 0;
};

/// State of one slot's bucket for one client account, as of when its message was sent.
struct slot_level {
    token_amount balance = 0;
    /// Lent and neither returned nor known to be spent.
    token_amount outstanding = 0;
    /// Time until the slot lends at all; above 0 after a change of owner.
    duration ready_in = duration::zero();
};

/// Borrower to owner: asks for tokens. Sent again with a higher total to ask for more.
struct loan_request {
    loan_key key;
    /// Total wanted.
    token_amount wanted = 0;
    /// The loan ends this long after the request was first sent, by the borrower's clock.
    duration lifetime = duration::zero();
    /// The owner keeps the unmet part in line for this long.
    duration wait = duration::zero();
    /// Lower goes first.
    std::uint64_t priority = 0;
    /// True when the owner should ask other borrowers to return what they do not need.
    bool recall = false;
};

/// Owner to borrower: the answer to each request, and again when more was granted.
struct loan_grant {
    loan_key key;
    /// Total granted.
    token_amount granted = 0;
    slot_level level;
};

/// Borrower to owner: what became of a loan.
struct loan_return {
    loan_key key;
    /// Total charged to requests.
    token_amount spent = 0;
    /// Total given back without having been charged.
    token_amount returned = 0;
    /// Total charged and given back after use was known; at most `spent`.
    token_amount refunded = 0;
    /// True when no more is wanted for this loan.
    bool closed = false;
};

/// Owner to borrower: return what is not needed of all loans of this slot and account.
struct loan_recall {
    slot_number slot = 0;
    fence_number fence = 0;
    client_account_id account;
    /// Priority of the request that is short.
    std::uint64_t priority = 0;
};

/// Receiver to borrower: it does not own the slot under this fencing number, or must first read the
/// slot table again.
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
