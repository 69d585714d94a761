// Selects how many tokens to request from which slots, for waiting requests and as a spare.
#include "details/account_pool.h"

#include <algorithm>
#include <string>

#include "base/digest.h"

namespace radishpulley::quota::detail {
namespace {

constexpr duration unresponsive_period = std::chrono::seconds(1);
constexpr token_amount min_spare_requests = 2;
constexpr duration min_round_gap = std::chrono::milliseconds(20);
constexpr duration min_spare_interval = std::chrono::milliseconds(20);

// One daemon's spare tokens are at most the expected balance of all slots divided by this.
constexpr token_amount spare_divisor = 16;

// A loan request is for at least the slot's burst divided by this, where the slot's balance and the
// missing amount allow it, because smaller amounts are not worth a message.
constexpr token_amount min_request_divisor = 36;

constexpr int search_steps = 48;

token_amount product(token_amount rate, duration elapsed) {
    return static_cast<token_amount>(static_cast<__int128>(rate) * elapsed.count() / 1'000'000'000);
}

}  // namespace

// Collection of tokens for waiting requests.

bool account_pool::round_is_over(time_point now) {
    bool is_answered = true;
    for (const auto& [slot, number] : collection_loans_) {
        const auto it = loans_.find(number);
        if (it != loans_.end() && !it->second.answered) {
            is_answered = false;
        }
    }
    if (is_answered || now < round_until_) {
        return is_answered;
    }
    mark_unresponsive(now);
    return true;
}

void account_pool::mark_unresponsive(time_point now) {
    for (const auto& [slot, number] : collection_loans_) {
        const auto it = loans_.find(number);
        if (it != loans_.end() && !it->second.answered &&
            now - it->second.unanswered_since >= context_.policy.round_wait) {
            views_[slot].unresponsive_until = now + unresponsive_period;
        }
    }
}

void account_pool::begin_collection(time_point now) {
    collection_loans_.clear();
    priority_ =
        stable_hash(context_.self.vm.str() + "/" + std::to_string(context_.self.incarnation) + "/" +
                    std::to_string(queue_.front().number));
    round_until_ = now;
}

void account_pool::collect(time_point now, quota_output& out) {
    const token_amount missing = std::min(queued_amount(), limits_.burst) - available(now);
    if (missing <= 0 || context_.table.slots.empty()) {
        return;
    }
    if (stage_ == collection_stage::idle) {
        begin_collection(now);
        if (last_supply_ && now - last_supply_at_ < context_.policy.admission_wait) {
            stage_ = collection_stage::all_slots;
            request_from_all(missing, now, out);
            return;
        }
        stage_ = collection_stage::likely_slots;
        round_until_ = now + context_.policy.round_wait;
        request_from_fullest(missing + spare_target(now) / 2, now, out);
    } else if (stage_ == collection_stage::likely_slots && round_is_over(now)) {
        stage_ = collection_stage::reported_slots;
        round_until_ = now + context_.policy.round_wait;
        request_from_fullest(missing, now, out);
    } else if (stage_ == collection_stage::reported_slots && round_is_over(now)) {
        stage_ = collection_stage::all_slots;
        request_from_all(missing, now, out);
    } else if (stage_ == collection_stage::all_slots) {
        const duration longest = context_.policy.round_wait * 2;
        const token_amount first = queue_.front().size + debt_ - available(now);
        round_until_ = std::clamp(expected_time(first, now), all_requested_at_ + min_round_gap,
                                  all_requested_at_ + longest);
        if (now >= round_until_) {
            mark_unresponsive(now);
            request_from_all(missing, now, out);
        }
    }
}

time_point account_pool::expected_time(token_amount missing, time_point now) const {
    token_amount known = 0;
    for (std::size_t i = 0; i < views_.size(); ++i) {
        known += expected_balance(static_cast<slot_number>(i), now);
    }
    const duration wait = time_to_add(std::max<token_amount>(0, missing - known), limits_.rate);
    return wait < context_.policy.admission_wait ? now + wait
                                                 : now + context_.policy.admission_wait;
}

// Requests tokens from the fullest slots, which lowers them to a common level, because a full slot
// accrues no tokens while others are short.
void account_pool::request_from_fullest(token_amount need, time_point now, quota_output& out) {
    const std::vector<slot_number> slots = slots_by_balance(now);
    const auto amount_above = [&](token_amount level) {
        token_amount sum = 0;
        for (const slot_number slot : slots) {
            sum += std::max<token_amount>(0, expected_balance(slot, now) - level);
        }
        return sum;
    };
    token_amount low = 0;
    token_amount high = limits_.burst;
    for (int i = 0; i < search_steps && low < high; ++i) {
        const token_amount middle = low + (high - low) / 2;
        if (amount_above(middle) > need) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    token_amount missing = need;
    for (const slot_number slot : slots) {
        const token_amount balance = expected_balance(slot, now);
        const token_amount min_amount = share_burst(slot) / min_request_divisor + 1;
        const token_amount wanted = std::min(balance, std::max(min_amount, balance - high + 1));
        const token_amount amount = std::min(missing, wanted);
        if (amount > 0) {
            request_from({slot, amount}, false, now, out);
            missing -= amount;
        }
    }
}

void account_pool::request_from_all(token_amount need, time_point now, quota_output& out) {
    all_requested_at_ = now;
    round_until_ = now + context_.policy.round_wait * 2;
    for (const slot_number slot : slots_by_balance(now)) {
        request_from({slot, need}, true, now, out);
    }
}

void account_pool::request_from(const slot_need& need, bool recall, time_point now,
                                quota_output& out) {
    const auto known = collection_loans_.find(need.slot);
    const auto existing =
        known == collection_loans_.end() ? loans_.end() : loans_.find(known->second);
    const bool is_usable = existing != loans_.end() && !existing->second.closed &&
                           existing->second.fence == context_.table.slots[need.slot].fence &&
                           now - existing->second.requested_at < context_.policy.admission_wait;
    if (is_usable) {
        loan& it = existing->second;
        it.wanted = std::max(it.wanted, it.granted + need.amount);
        it.unanswered_since = it.answered ? now : it.unanswered_since;
        it.answered = false;
        send_request(existing->first, it, recall, now, out);
        return;
    }
    const loan_number number = ++context_.last_loan;
    loan created;
    created.slot = need.slot;
    created.fence = context_.table.slots[need.slot].fence;
    created.owner = *context_.table.slots[need.slot].owner;
    created.requested_at = now;
    created.unanswered_since = now;
    created.ends_at = now + context_.policy.loan_lifetime;
    created.wanted = need.amount;
    send_request(number, created, recall, now, out);
    loans_.emplace(number, created);
    collection_loans_[need.slot] = number;
}

void account_pool::send_request(loan_number number, loan& it, bool recall, time_point now,
                                quota_output& out) const {
    loan_request message;
    message.key = {it.slot, it.fence, account_, number};
    message.wanted = it.wanted;
    message.lifetime = context_.policy.loan_lifetime;
    message.priority = priority_;
    message.recall = recall;
    if (!queue_.empty()) {
        message.wait = std::max(duration::zero(), duration(queue_.back().deadline - now));
    }
    out.messages.push_back({it.owner, message});
}

void account_pool::end_collection(time_point now, quota_output& out) {
    if (stage_ == collection_stage::idle) {
        return;
    }
    stage_ = collection_stage::idle;
    for (const auto& [slot, number] : collection_loans_) {
        const auto it = loans_.find(number);
        if (it != loans_.end() && it->second.granted < it->second.wanted) {
            it->second.closed = true;
            report(number, it->second, now, out);
        }
    }
    collection_loans_.clear();
}

// Spare tokens, held so that small requests need no message.

token_amount account_pool::spare_target(time_point now) const {
    if (now < spare_suspended_until_) {
        return 0;
    }
    token_amount expected = 0;
    for (std::size_t i = 0; i < views_.size(); ++i) {
        expected += expected_balance(static_cast<slot_number>(i), now);
    }
    const token_amount target =
        std::min(product(demand_.rate(now), context_.policy.prefetch), expected / spare_divisor);
    // Spare tokens that do not cover a few requests would remain unused on this daemon.
    return target < average_size_ * min_spare_requests ? 0 : target;
}

void account_pool::top_up(time_point now, quota_output& out) {
    const token_amount target = spare_target(now);
    const token_amount held = available(now) - debt_;
    if (target <= 0 || held >= target / 2 || context_.table.slots.empty()) {
        return;
    }
    if (spare_loan_ && now < spare_requested_at_ + min_spare_interval) {
        return;
    }
    const auto pending = loans_.find(spare_loan_.value_or(0));
    if (pending != loans_.end() && !pending->second.answered) {
        if (now < spare_requested_at_ + context_.policy.round_wait) {
            return;
        }
        views_[pending->second.slot].unresponsive_until = now + unresponsive_period;
    }
    const std::vector<slot_number> slots = slots_by_balance(now);
    if (slots.empty() || views_[slots.front()].unresponsive_until > now ||
        expected_balance(slots.front(), now) <= 0) {
        return;
    }
    request_from_fullest(target - held, now, out);
    spare_loan_ = context_.last_loan;
    spare_requested_at_ = now;
    collection_loans_.clear();
}

}  // namespace radishpulley::quota::detail
