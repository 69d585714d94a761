#pragma once

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "quota/messages.h"
#include "quota/quota_policy.h"

namespace radishpulley::quota::detail {

// The borrower's part of a loan's identity.
struct loan_reference {
    vm_incarnation borrower;
    loan_number loan = 0;

    friend bool operator==(const loan_reference& a, const loan_reference& b) {
        return a.loan == b.loan && a.borrower == b.borrower;
    }
    friend bool operator<(const loan_reference& a, const loan_reference& b) {
        return a.loan == b.loan ? a.borrower < b.borrower : a.loan < b.loan;
    }
};

// Remembers how much room a bucket had at least since earlier moments, so that a charge found too
// high can be given back as if it had been right from the start.
class headroom_history {
public:
    using epoch_number = std::uint64_t;

    // Notes the present room; call it whenever the room has changed.
    void note(token_amount headroom);
    // Begins an epoch and returns its number.
    epoch_number begin_epoch();
    token_amount lowest_since(epoch_number first) const;
    // Lowers the room of the epochs from `first` on.
    void use(epoch_number first, token_amount amount);

private:
    struct epoch {
        epoch_number number = 0;
        token_amount lowest = 0;
    };

    std::size_t index_of(epoch_number number) const;
    void merge_old_epochs();

    std::vector<epoch> epochs_{{0, std::numeric_limits<token_amount>::max()}};
};

// One client account's bucket of one slot. Invariant: balance + outstanding <= burst, except after
// the burst was lowered while loans were out.
class slot_bucket {
public:
    // Starts with `balance`, and adds tokens from `starts_at` on.
    slot_bucket(const quota_policy& policy, const account_limits& share, token_amount balance,
                time_point starts_at);

    void set_share(const account_limits& share, time_point now);
    const account_limits& share() const { return share_; }

    // Registers a request and serves the line. Returns the loans that were granted more.
    std::vector<loan_reference> request(const loan_reference& from, const loan_request& message,
                                        time_point now);
    // Books what a borrower reports. Returns the loans that were granted more.
    std::vector<loan_reference> take_back(const loan_reference& from, const loan_return& message,
                                          time_point now);
    // Ends what has run out. Returns the loans that were granted more.
    std::vector<loan_reference> advance(time_point now);

    // True unless a request as urgent as this was passed on to the holders a moment ago.
    bool should_recall(std::uint64_t priority, time_point now);
    // Borrowers other than `from` that hold tokens.
    std::vector<vm_incarnation> holders(const vm_incarnation& from) const;
    token_amount granted(const loan_reference& loan) const;
    // True when a loan still waits for tokens.
    bool is_short(const loan_reference& loan) const;
    bool has_line() const { return !line_.empty(); }
    slot_level level(time_point now) const;

private:
    struct loan_record {
        token_amount wanted = 0;
        token_amount granted = 0;
        token_amount spent = 0;
        token_amount returned = 0;
        token_amount refunded = 0;
        duration lifetime = duration::zero();
        time_point ends_at{};
        time_point waits_until{};
        std::uint64_t priority = 0;
        bool closed = false;
        bool ended = false;
        std::optional<headroom_history::epoch_number> first_spending;

        token_amount outstanding() const { return ended ? 0 : granted - spent - returned; }
    };
    using line_key = std::pair<std::uint64_t, loan_reference>;

    struct accrual {
        token_amount amount = 0;
        std::int64_t remainder = 0;
    };

    accrual accrual_until(time_point now) const;
    void accrue(time_point now);
    void note_headroom();
    void limit_balance();
    void end_loans(time_point now);
    void end_loan(const loan_reference& loan, loan_record& it, time_point now);
    loan_record* find_loan(const loan_reference& loan);
    void book_spending(loan_record& it, token_amount amount);
    void credit_late(const loan_record& it, token_amount amount);
    std::vector<loan_reference> serve(time_point now, token_amount least);

    const quota_policy& policy_;
    account_limits share_;
    token_amount balance_ = 0;
    token_amount outstanding_ = 0;
    // Fraction of an amount accrued, in units of rate times nanoseconds.
    std::int64_t remainder_ = 0;
    time_point accrued_at_{};
    headroom_history headroom_;
    std::optional<time_point> recalled_at_;
    std::uint64_t recalled_for_ = 0;
    std::map<loan_reference, loan_record> loans_;
    // Loans that ended, kept for refunds until settle_limit.
    std::map<loan_reference, loan_record> ended_;
    std::deque<std::pair<time_point, loan_reference>> forget_;
    std::multimap<time_point, loan_reference> due_;
    std::map<line_key, loan_reference> line_;
};

}  // namespace radishpulley::quota::detail
