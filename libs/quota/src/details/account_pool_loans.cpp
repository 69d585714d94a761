// Loans from their grant to their expiry, and the settlement of the requests charged to them.
#include "details/account_pool.h"

#include <algorithm>

namespace radishpulley::quota::detail {
namespace {

constexpr duration unresponsive_period = std::chrono::seconds(1);

// A daemon whose tokens were recalled keeps no spare tokens for this long.
constexpr duration spare_suspension = std::chrono::milliseconds(300);

// A slot counts as full when it lacks at most its burst divided by this.
constexpr token_amount full_margin_divisor = 8;

}  // namespace

// Loans.

void account_pool::on_grant(const loan_grant& message, time_point now, quota_output& out) {
    if (message.key.slot < views_.size() &&
        context_.table.slots[message.key.slot].fence == message.key.fence) {
        views_[message.key.slot] = {message.level, now, time_point{}};
    }
    const auto it = loans_.find(message.key.loan);
    if (it == loans_.end() || it->second.slot != message.key.slot ||
        it->second.fence != message.key.fence) {
        return;
    }
    loan& held = it->second;
    held.answered = true;
    held.granted = std::max(held.granted, std::min(message.granted, held.wanted));
    process(now, out);
    if (now >= held.ends_at) {
        return_tokens(it->first, held, held.unspent(), now, out);
    }
}

void account_pool::on_recall(const loan_recall& message, time_point now, quota_output& out) {
    if (!queue_.empty() && priority_ <= message.priority) {
        return;
    }
    spare_suspended_until_ = now + spare_suspension;
    for (auto& [number, it] : loans_) {
        if (it.slot != message.slot || it.fence != message.fence || now >= it.ends_at) {
            continue;
        }
        const token_amount amount = it.unspent();
        return_tokens(number, it, amount, now, out);
        const auto collected = collection_loans_.find(it.slot);
        if (amount > 0 && !queue_.empty() && collected != collection_loans_.end() &&
            collected->second == number && !it.closed) {
            it.wanted += amount;
            send_request(number, it, false, now, out);
        }
    }
}

void account_pool::on_rejected(const loan_rejected& message, time_point now, quota_output& out) {
    const auto it = loans_.find(message.key.loan);
    if (it == loans_.end()) {
        return;
    }
    it->second.answered = true;
    it->second.closed = true;
    if (message.key.slot < views_.size()) {
        views_[message.key.slot].unresponsive_until = now + unresponsive_period;
    }
    process(now, out);
}

void account_pool::return_tokens(loan_number number, loan& it, token_amount amount, time_point now,
                                 quota_output& out) {
    if (amount <= 0) {
        return;
    }
    it.returned += amount;
    report(number, it, now, out);
}

void account_pool::return_surplus(time_point now, quota_output& out) {
    token_amount surplus = available(now) - debt_ - spare_target(now);
    for (auto& [number, it] : loans_) {
        if (surplus <= 0) {
            break;
        }
        if (now >= it.ends_at) {
            continue;
        }
        const token_amount amount = std::min(surplus, it.unspent());
        return_tokens(number, it, amount, now, out);
        surplus -= amount;
    }
}

void account_pool::report(loan_number number, loan& it, time_point now, quota_output& out) {
    it.reported_spent = it.spent;
    it.reported_refunded = it.refunded;
    it.reported_at = now;
    loan_return message;
    message.key = {it.slot, it.fence, account_, number};
    message.spent = it.spent;
    message.returned = it.returned;
    message.refunded = it.refunded;
    message.closed = it.closed;
    out.messages.push_back({it.owner, message});
}

// A full slot accrues nothing until spending is reported to it, so its reports are sent more often.
duration account_pool::report_interval(const loan& it) const {
    if (it.slot >= views_.size() || !views_[it.slot].level) {
        return context_.policy.report_interval;
    }
    const slot_level& level = *views_[it.slot].level;
    const token_amount burst = share_burst(it.slot);
    const bool is_full = level.balance + level.outstanding >= burst - burst / full_margin_divisor;
    return is_full ? context_.policy.report_interval : context_.policy.lazy_report_interval;
}

bool account_pool::is_report_due(const loan& it, time_point now) const {
    if (!it.is_dirty()) {
        return false;
    }
    if (it.unspent() == 0 || it.refunded != it.reported_refunded || now >= it.ends_at) {
        return true;
    }
    return now >= std::max(it.reported_at, it.requested_at) + report_interval(it);
}

void account_pool::report_due(time_point now, quota_output& out) {
    for (auto& [number, it] : loans_) {
        if (is_report_due(it, now)) {
            report(number, it, now, out);
        }
    }
}

void account_pool::expire_loans(time_point now, quota_output& out) {
    for (auto it = loans_.begin(); it != loans_.end();) {
        loan& held = it->second;
        if (now - held.requested_at >= context_.policy.return_age) {
            return_tokens(it->first, held, held.unspent(), now, out);
        }
        if (now < held.ends_at) {
            ++it;
            continue;
        }
        if (held.is_dirty()) {
            report(it->first, held, now, out);
        }
        if (held.unsettled > 0) {
            ended_.emplace(it->first, held);
            refund_deadlines_.emplace_back(now + context_.policy.settle_limit, it->first);
        }
        it = loans_.erase(it);
    }
    while (!refund_deadlines_.empty() && refund_deadlines_.front().first <= now) {
        ended_.erase(refund_deadlines_.front().second);
        refund_deadlines_.pop_front();
    }
}

account_pool::loan* account_pool::find_loan(loan_number number) {
    const auto live = loans_.find(number);
    if (live != loans_.end()) {
        return &live->second;
    }
    const auto ended = ended_.find(number);
    return ended == ended_.end() ? nullptr : &ended->second;
}

// Settlement.

void account_pool::release_charge(const charge& it) {
    for (const auto& [number, part] : it.parts) {
        loan* const held = find_loan(number);
        if (held == nullptr) {
            continue;
        }
        held->unsettled -= part;
        if (held->unsettled == 0) {
            ended_.erase(number);
        }
    }
}

void account_pool::refund(const charge& from, token_amount amount, time_point now,
                          quota_output& out) {
    token_amount missing = amount;
    for (const auto& [number, part] : from.parts) {
        loan* const held = find_loan(number);
        const token_amount share = std::min(part, missing);
        missing -= share;
        if (held == nullptr || share == 0) {
            continue;
        }
        // Spending that has not been reported yet is reversed locally; only reported spending needs
        // a refund report.
        const bool is_live = now < held->ends_at;
        const token_amount unreported =
            is_live ? std::min(share, held->spent - held->reported_spent) : 0;
        held->spent -= unreported;
        held->refunded += share - unreported;
        if (!is_live) {
            report(number, *held, now, out);
        }
    }
}

void account_pool::settle(admission_number number, token_amount used, time_point now,
                          quota_output& out) {
    const auto it = charges_.find(number);
    if (it == charges_.end()) {
        return;
    }
    const charge charged = std::move(it->second);
    charges_.erase(it);
    if (used > charged.amount) {
        debt_ += used - charged.amount;
    } else if (used < charged.amount) {
        refund(charged, charged.amount - std::max<token_amount>(0, used), now, out);
    }
    release_charge(charged);
    if (used != charged.amount) {
        process(now, out);
    }
}

}  // namespace radishpulley::quota::detail
