#include "details/slot_bucket.h"

#include <algorithm>
#include <limits>
#include <set>

namespace radishpulley::quota::detail {
namespace {

constexpr std::size_t max_epochs = 64;
constexpr duration recall_interval = std::chrono::milliseconds(50);
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;

// Accruing tokens are granted to queued requests in parts of at least the burst divided by this, or
// the whole missing amount where that is less.
constexpr token_amount min_grant_divisor = 64;

}  // namespace

void headroom_history::record(token_amount headroom) {
    epochs_.back().lowest = std::min(epochs_.back().lowest, headroom);
}

headroom_history::epoch_number headroom_history::begin_epoch() {
    const epoch_number next = epochs_.back().number + 1;
    epochs_.push_back({next, std::numeric_limits<token_amount>::max()});
    if (epochs_.size() > max_epochs) {
        merge_old_epochs();
    }
    return next;
}

std::size_t headroom_history::index_of(epoch_number number) const {
    const auto it =
        std::upper_bound(epochs_.begin(), epochs_.end(), number,
                         [](epoch_number n, const epoch& entry) { return n < entry.number; });
    return it == epochs_.begin() ? 0 : static_cast<std::size_t>(it - epochs_.begin()) - 1;
}

token_amount headroom_history::lowest_since(epoch_number first) const {
    token_amount lowest = std::numeric_limits<token_amount>::max();
    for (std::size_t i = index_of(first); i < epochs_.size(); ++i) {
        lowest = std::min(lowest, epochs_[i].lowest);
    }
    return lowest;
}

void headroom_history::consume(epoch_number first, token_amount amount) {
    for (std::size_t i = index_of(first); i < epochs_.size(); ++i) {
        epochs_[i].lowest -= amount;
    }
}

void headroom_history::merge_old_epochs() {
    std::vector<epoch> merged;
    const std::size_t old = epochs_.size() / 2;
    for (std::size_t i = 0; i + 1 < old; i += 2) {
        merged.push_back({epochs_[i].number, std::min(epochs_[i].lowest, epochs_[i + 1].lowest)});
    }
    merged.insert(merged.end(), epochs_.begin() + static_cast<std::ptrdiff_t>(old - old % 2),
                  epochs_.end());
    epochs_ = std::move(merged);
}

slot_bucket::slot_bucket(const quota_policy& policy, const account_limits& share,
                         token_amount balance, time_point starts_at)
    : policy_(policy), share_(share), balance_(balance), accrued_at_(starts_at) {
    record_headroom();
}

void slot_bucket::set_share(const account_limits& share, time_point now) {
    accrue(now);
    share_ = share;
    clamp_balance();
    record_headroom();
}

void slot_bucket::record_headroom() {
    headroom_.record(share_.burst - balance_ - outstanding_);
}

void slot_bucket::clamp_balance() {
    balance_ = std::min(balance_, std::max<token_amount>(0, share_.burst - outstanding_));
}

slot_bucket::accrual slot_bucket::accrual_until(time_point now) const {
    if (now <= accrued_at_) {
        return {0, remainder_};
    }
    const auto elapsed = duration(now - accrued_at_).count();
    const __int128 added = static_cast<__int128>(share_.rate) * elapsed + remainder_;
    const auto room = std::max<token_amount>(0, share_.burst - outstanding_ - balance_);
    if (added / nanoseconds_per_second >= room) {
        return {room, 0};
    }
    return {static_cast<token_amount>(added / nanoseconds_per_second),
            static_cast<std::int64_t>(added % nanoseconds_per_second)};
}

void slot_bucket::accrue(time_point now) {
    const accrual added = accrual_until(now);
    balance_ += added.amount;
    remainder_ = added.remainder;
    accrued_at_ = std::max(accrued_at_, now);
    record_headroom();
}

void slot_bucket::record_spending(loan_record& it, token_amount amount) {
    if (amount <= 0) {
        return;
    }
    const headroom_history::epoch_number epoch = headroom_.begin_epoch();
    if (!it.first_spending) {
        it.first_spending = epoch;
    }
    outstanding_ -= amount;
    record_headroom();
}

void slot_bucket::credit_retroactively(const loan_record& it, token_amount amount) {
    if (!it.first_spending) {
        return;
    }
    const token_amount room = headroom_.lowest_since(*it.first_spending);
    const token_amount credit = std::max<token_amount>(0, std::min(amount, room));
    balance_ += credit;
    headroom_.consume(*it.first_spending, credit);
}

void slot_bucket::expire_loan(const loan_reference& loan, loan_record& it, time_point now) {
    queue_.erase({it.priority, loan});
    record_spending(it, it.outstanding());
    it.ended = true;
    it.closed = true;
    if (it.first_spending) {
        ended_.emplace(loan, it);
        refund_deadlines_.emplace_back(now + policy_.settle_limit, loan);
    }
}

void slot_bucket::expire_loans(time_point now) {
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const loan_reference loan = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        const auto it = loans_.find(loan);
        if (now < it->second.ends_at) {
            expiries_.emplace(it->second.ends_at, loan);
            continue;
        }
        expire_loan(loan, it->second, now);
        loans_.erase(it);
    }
    while (!refund_deadlines_.empty() && refund_deadlines_.front().first <= now) {
        ended_.erase(refund_deadlines_.front().second);
        refund_deadlines_.pop_front();
    }
}

slot_bucket::loan_record* slot_bucket::find_loan(const loan_reference& loan) {
    const auto live = loans_.find(loan);
    if (live != loans_.end()) {
        return &live->second;
    }
    const auto ended = ended_.find(loan);
    return ended == ended_.end() ? nullptr : &ended->second;
}

std::vector<loan_reference> slot_bucket::serve(time_point now, token_amount min_grant) {
    std::vector<loan_reference> granted;
    for (auto it = queue_.begin(); it != queue_.end() && balance_ > 0;) {
        loan_record& record = loans_.at(it->second);
        const token_amount missing = record.wanted - record.granted;
        if (now > record.waits_until) {
            it = queue_.erase(it);
            continue;
        }
        if (balance_ < std::min(missing, min_grant)) {
            break;
        }
        const token_amount amount = std::min(missing, balance_);
        balance_ -= amount;
        outstanding_ += amount;
        record.granted += amount;
        record.ends_at = now + record.lifetime + policy_.drift_margin;
        granted.push_back(it->second);
        it = amount == missing ? queue_.erase(it) : std::next(it);
    }
    return granted;
}

std::vector<loan_reference> slot_bucket::request(const loan_reference& from,
                                                 const loan_request& message, time_point now) {
    accrue(now);
    expire_loans(now);
    if (ended_.count(from) != 0) {
        return {};
    }
    const auto [it, is_new] = loans_.try_emplace(from);
    loan_record& record = it->second;
    if (is_new) {
        record.lifetime = message.lifetime;
        record.priority = message.priority;
        record.ends_at = now + record.lifetime + policy_.drift_margin;
        expiries_.emplace(record.ends_at, from);
    }
    if (record.closed) {
        return {};
    }
    record.wanted = std::max(record.wanted, message.wanted);
    record.waits_until = std::max(record.waits_until, now + message.wait);
    if (record.wanted > record.granted) {
        queue_[{record.priority, from}] = from;
    }
    return serve(now, 0);
}

std::vector<loan_reference> slot_bucket::apply_return(const loan_reference& from,
                                                      const loan_return& message, time_point now) {
    accrue(now);
    expire_loans(now);
    loan_record* const found = find_loan(from);
    if (found == nullptr) {
        return {};
    }
    loan_record& record = *found;
    const token_amount spent = std::max(record.spent, message.spent);
    const token_amount returned = std::max(record.returned, message.returned);
    const token_amount refunded = std::max(record.refunded, message.refunded);
    // Totals from reordered messages may be temporarily inconsistent. Totals that exceed the grant
    // are invalid and ignored.
    if (spent < 0 || spent > record.granted || returned > record.granted - spent ||
        refunded > spent) {
        return {};
    }
    const token_amount more_returned = returned - record.returned;
    const token_amount more_spent = spent - record.spent;
    const token_amount more_refunded = refunded - record.refunded;
    if (record.ended) {
        credit_retroactively(record, more_returned);
    } else {
        outstanding_ -= more_returned;
        balance_ += more_returned;
        clamp_balance();
        record_spending(record, more_spent);
    }
    record.spent = spent;
    record.returned = returned;
    record.refunded = refunded;
    credit_retroactively(record, more_refunded);
    record_headroom();
    if (message.closed) {
        record.closed = true;
        queue_.erase({record.priority, from});
    }
    return serve(now, 0);
}

std::vector<loan_reference> slot_bucket::advance(time_point now) {
    accrue(now);
    expire_loans(now);
    return serve(now, share_.burst / min_grant_divisor);
}

bool slot_bucket::should_recall(std::uint64_t priority, time_point now) {
    const bool is_recent = recalled_at_ && now - *recalled_at_ < recall_interval;
    if (is_recent && recall_priority_ <= priority) {
        return false;
    }
    recalled_at_ = now;
    recall_priority_ = priority;
    return true;
}

std::vector<vm_incarnation> slot_bucket::holders(const vm_incarnation& from) const {
    std::set<vm_incarnation> found;
    for (const auto& [loan, record] : loans_) {
        if (loan.borrower != from && record.outstanding() > 0) {
            found.insert(loan.borrower);
        }
    }
    return {found.begin(), found.end()};
}

token_amount slot_bucket::granted(const loan_reference& loan) const {
    const auto it = loans_.find(loan);
    return it == loans_.end() ? 0 : it->second.granted;
}

bool slot_bucket::is_short(const loan_reference& loan) const {
    const auto it = loans_.find(loan);
    return it != loans_.end() && !it->second.closed && it->second.granted < it->second.wanted;
}

slot_level slot_bucket::level(time_point now) const {
    return {balance_ + accrual_until(now).amount, outstanding_, duration::zero()};
}

}  // namespace radishpulley::quota::detail
