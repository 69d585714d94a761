#pragma once

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "quota/messages.h"
#include "quota/quota_policy.h"

namespace radishpulley::quota::detail {

// Identifies a loan within one bucket.
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

// Records a bucket's lowest headroom since earlier epochs, so that a charge that turns out too high
// can be refunded as if it had been correct from the start.
class headroom_history {
public:
    using epoch_number = std::uint64_t;

    // Records the current headroom. The caller invokes it whenever the headroom has changed.
    void record(token_amount headroom);
    // Begins an epoch and returns its number.
    epoch_number begin_epoch();
    token_amount lowest_since(epoch_number first) const;
    // Reduces the headroom of all epochs from `first` on.
    void consume(epoch_number first, token_amount amount);

private:
    struct epoch {
        epoch_number number = 0;
        token_amount lowest = 0;
    };

    std::size_t index_of(epoch_number number) const;
    void merge_old_epochs();

    std::vector<epoch> epochs_{{0, std::numeric_limits<token_amount>::max()}};
};

// Token bucket of one client account in one slot. Invariant: balance + outstanding <= burst, except
// after the burst was lowered while loans were outstanding.
class slot_bucket {
public:
    // Starts with `balance` and accrues tokens from `starts_at` on.
    slot_bucket(const quota_policy& policy, const account_limits& share, token_amount balance,
                time_point starts_at);

    void set_share(const account_limits& share, time_point now);
    const account_limits& share() const { return share_; }

    // Registers a request and serves the queue. Returns the loans whose grants grew.
    std::vector<loan_reference> request(const loan_reference& from, const loan_request& message,
                                        time_point now);
    // Applies a borrower's report and serves the queue. Returns the loans whose grants grew.
    std::vector<loan_reference> apply_return(const loan_reference& from, const loan_return& message,
                                             time_point now);
    // Expires loans and serves the queue. Returns the loans whose grants grew.
    std::vector<loan_reference> advance(time_point now);

    // Returns true unless the holders have just received a recall of the same or a more urgent
    // priority. Records that a recall is sent when it returns true.
    bool should_recall(std::uint64_t priority, time_point now);
    // Returns the borrowers other than `from` that hold tokens.
    std::vector<vm_incarnation> holders(const vm_incarnation& from) const;
    token_amount granted(const loan_reference& loan) const;
    // Returns true when an open loan has been granted less than it requests.
    bool is_short(const loan_reference& loan) const;
    bool has_queue() const { return !queue_.empty(); }
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
    using queue_key = std::pair<std::uint64_t, loan_reference>;

    struct accrual {
        token_amount amount = 0;
        std::int64_t remainder = 0;
    };

    accrual accrual_until(time_point now) const;
    void accrue(time_point now);
    void record_headroom();
    void clamp_balance();
    void expire_loans(time_point now);
    void expire_loan(const loan_reference& loan, loan_record& it, time_point now);
    loan_record* find_loan(const loan_reference& loan);
    void record_spending(loan_record& it, token_amount amount);
    void credit_retroactively(const loan_record& it, token_amount amount);
    std::vector<loan_reference> serve(time_point now, token_amount min_grant);

    const quota_policy& policy_;
    account_limits share_;
    token_amount balance_ = 0;
    token_amount outstanding_ = 0;
    // Accrued fraction of an amount, in units of rate times nanoseconds.
    std::int64_t remainder_ = 0;
    time_point accrued_at_{};
    headroom_history headroom_;
    std::optional<time_point> recalled_at_;
    std::uint64_t recall_priority_ = 0;
    std::map<loan_reference, loan_record> loans_;
    // Expired loans, kept for refunds until settle_limit.
    std::map<loan_reference, loan_record> ended_;
    std::deque<std::pair<time_point, loan_reference>> refund_deadlines_;
    std::multimap<time_point, loan_reference> expiries_;
    std::map<queue_key, loan_reference> queue_;
};

}  // namespace radishpulley::quota::detail
