#include "quota/slot_owner.h"

#include <algorithm>
#include <limits>

#include "details/slot_bucket.h"

namespace radishpulley::quota {

using detail::loan_reference;
using detail::slot_bucket;

struct slot_owner::owned_slot {
    slot_number number = 0;
    fence_number fence = 0;
    time_point ready_at{};
    time_point last_request_at{};
    bool is_retired = false;
    std::map<client_account_id, slot_bucket> buckets;

    // A slot that has had no other owner has lent nothing yet, so its buckets start full.
    bool is_first_owner() const { return fence == 1; }
};

namespace {

// Priority of a recall that returns only tokens for which no request is waiting.
constexpr std::uint64_t lowest_priority = std::numeric_limits<std::uint64_t>::max();

// Interval at which queued requests are served from accruing tokens.
constexpr duration queue_interval = std::chrono::milliseconds(10);

constexpr int wakeups_per_pause_limit = 4;

// A slot without a loan request for this long is idle.
constexpr duration idle_period = std::chrono::seconds(1);

duration ready_in(time_point ready_at, time_point now) {
    return std::max(duration::zero(), duration(ready_at - now));
}

}  // namespace

slot_owner::slot_owner(vm_incarnation self, quota_policy policy)
    : self_(std::move(self)), policy_(policy) {}
slot_owner::~slot_owner() = default;
slot_owner::slot_owner(slot_owner&&) noexcept = default;
slot_owner& slot_owner::operator=(slot_owner&&) noexcept = default;

void slot_owner::detect_pause(time_point now) {
    if (!slots_.empty() && now - last_run_ > policy_.pause_limit) {
        needs_table_ = true;
    }
    last_run_ = now;
}

slot_owner::owned_slot* slot_owner::find_slot(slot_number slot, fence_number fence) const {
    const auto it = slots_.find(slot);
    const bool is_owned = it != slots_.end() && it->second->fence == fence;
    const bool may_lend = !is_stopped_ && !needs_table_ && is_owned && !it->second->is_retired;
    return may_lend ? it->second.get() : nullptr;
}

void slot_owner::add_bucket(owned_slot& slot, const client_account_id& account,
                            const account_limits& whole, time_point now) {
    const account_limits share = share_of(whole, slot.number, slot_count_);
    const token_amount balance = slot.is_first_owner() ? share.burst : 0;
    slot.buckets.try_emplace(account, policy_, share, balance, std::max(slot.ready_at, now));
}

outgoing_messages slot_owner::set_limits(const limits_by_account& limits, time_point now) {
    detect_pause(now);
    limits_ = limits;
    outgoing_messages out;
    for (auto& [number, slot] : slots_) {
        for (auto& [account, bucket] : slot->buckets) {
            const auto it = limits_.find(account);
            const account_limits whole = it == limits_.end() ? account_limits{} : it->second;
            bucket.set_share(share_of(whole, number, slot_count_), now);
            if (bucket.level(now).outstanding > bucket.share().burst) {
                recall(*slot, account, vm_incarnation{}, lowest_priority, out);
            }
        }
        for (const auto& [account, whole] : limits_) {
            add_bucket(*slot, account, whole, now);
        }
    }
    return out;
}

void slot_owner::set_table(const slot_table& table, time_point now) {
    needs_table_ = false;
    last_run_ = now;
    slot_count_ = table.slots.size();
    for (std::size_t i = 0; i < table.slots.size(); ++i) {
        apply_entry(static_cast<slot_number>(i), table.slots[i], now);
    }
}

void slot_owner::apply_entry(slot_number number, const slot_entry& entry, time_point now) {
    const auto it = slots_.find(number);
    if (it != slots_.end() && entry.fence <= it->second->fence) {
        it->second->is_retired = false;
        return;
    }
    slots_.erase(number);
    if (entry.owner != self_) {
        return;
    }
    auto slot = std::make_unique<owned_slot>();
    slot->number = number;
    slot->fence = entry.fence;
    slot->ready_at =
        slot->is_first_owner() ? now : now + policy_.loan_lifetime + policy_.drift_margin;
    slot->last_request_at = slot->ready_at;
    for (const auto& [account, whole] : limits_) {
        add_bucket(*slot, account, whole, now);
    }
    slots_.emplace(number, std::move(slot));
}

void slot_owner::recall(owned_slot& slot, const client_account_id& account,
                        const vm_incarnation& requester, std::uint64_t priority,
                        outgoing_messages& out) const {
    for (const vm_incarnation& it : slot.buckets.at(account).holders(requester)) {
        out.push_back({it, loan_recall{slot.number, slot.fence, account, priority}});
    }
}

void slot_owner::answer(const owned_slot& slot, const client_account_id& account,
                        const std::vector<loan_reference>& loans, time_point now,
                        outgoing_messages& out) {
    const slot_bucket& bucket = slot.buckets.at(account);
    slot_level level = bucket.level(now);
    level.ready_in = ready_in(slot.ready_at, now);
    for (const loan_reference& it : loans) {
        const loan_key key{slot.number, slot.fence, account, it.loan};
        out.push_back({it.borrower, loan_grant{key, bucket.granted(it), level}});
    }
}

outgoing_messages slot_owner::receive(const vm_incarnation& from, const quota_message& message,
                                      time_point now) {
    detect_pause(now);
    if (const auto* it = std::get_if<loan_request>(&message)) {
        return receive_request(from, *it, now);
    }
    if (const auto* it = std::get_if<loan_return>(&message)) {
        return receive_return(from, *it, now);
    }
    return {};
}

outgoing_messages slot_owner::receive_request(const vm_incarnation& from,
                                              const loan_request& message, time_point now) {
    owned_slot* const slot = find_slot(message.key.slot, message.key.fence);
    if (slot == nullptr || slot->buckets.count(message.key.account) == 0 ||
        message.lifetime > policy_.loan_lifetime) {
        return {{from, loan_rejected{message.key}}};
    }
    const loan_reference loan{from, message.key.loan};
    slot->last_request_at = std::max(slot->last_request_at, now);
    slot_bucket& bucket = slot->buckets.at(message.key.account);
    std::vector<loan_reference> answered = bucket.request(loan, message, now);
    if (std::find(answered.begin(), answered.end(), loan) == answered.end()) {
        answered.push_back(loan);
    }
    outgoing_messages out;
    answer(*slot, message.key.account, answered, now, out);
    if (message.recall && bucket.is_short(loan) && bucket.should_recall(message.priority, now)) {
        recall(*slot, message.key.account, from, message.priority, out);
    }
    return out;
}

outgoing_messages slot_owner::receive_return(const vm_incarnation& from, const loan_return& message,
                                             time_point now) {
    owned_slot* const slot = find_slot(message.key.slot, message.key.fence);
    if (slot == nullptr || slot->buckets.count(message.key.account) == 0) {
        return {};
    }
    slot_bucket& bucket = slot->buckets.at(message.key.account);
    outgoing_messages out;
    answer(*slot, message.key.account, bucket.apply_return({from, message.key.loan}, message, now),
           now, out);
    return out;
}

outgoing_messages slot_owner::advance(time_point now) {
    detect_pause(now);
    outgoing_messages out;
    if (is_stopped_ || needs_table_) {
        return out;
    }
    for (auto& [number, slot] : slots_) {
        if (slot->is_retired) {
            continue;
        }
        for (auto& [account, bucket] : slot->buckets) {
            answer(*slot, account, bucket.advance(now), now, out);
        }
    }
    return out;
}

time_point slot_owner::next_event() const {
    if (is_stopped_ || needs_table_ || slots_.empty()) {
        return time_point::max();
    }
    for (const auto& [number, slot] : slots_) {
        for (const auto& [account, bucket] : slot->buckets) {
            if (bucket.has_queue()) {
                return last_run_ + queue_interval;
            }
        }
    }
    // Regular wake-ups distinguish an idle owner from a paused one.
    return last_run_ + policy_.pause_limit / wakeups_per_pause_limit;
}

std::set<slot_number> slot_owner::retire_idle(time_point now) {
    std::set<slot_number> retired;
    for (auto& [number, slot] : slots_) {
        slot->is_retired = slot->is_retired || now - slot->last_request_at >= idle_period;
        if (slot->is_retired) {
            retired.insert(number);
        }
    }
    return retired;
}

void slot_owner::resume_retired() {
    for (auto& [number, slot] : slots_) {
        slot->is_retired = false;
    }
}

void slot_owner::stop() {
    is_stopped_ = true;
}

slot_level slot_owner::level(slot_number slot, const client_account_id& account,
                             time_point now) const {
    const auto it = slots_.find(slot);
    if (it == slots_.end() || it->second->buckets.count(account) == 0) {
        return {};
    }
    slot_level level = it->second->buckets.at(account).level(now);
    level.ready_in = ready_in(it->second->ready_at, now);
    return level;
}

}  // namespace radishpulley::quota
