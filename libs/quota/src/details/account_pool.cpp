#include "details/account_pool.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "base/digest.h"

namespace radishpulley::quota::detail {
namespace {

constexpr duration demand_window = std::chrono::seconds(1);
constexpr duration silence = std::chrono::seconds(1);
// A daemon that had to give tokens back keeps no spare ones for this long.
constexpr duration spare_pause = std::chrono::milliseconds(300);
constexpr token_amount least_spare_requests = 2;
constexpr token_amount size_smoothing = 8;
constexpr duration least_round_gap = std::chrono::milliseconds(20);
constexpr duration least_spare_interval = std::chrono::milliseconds(20);
// Spare tokens of one daemon are at most this part of what the slots are expected to hold.
constexpr token_amount spare_part = 16;
// Smallest part of a slot's burst that is worth a message.
constexpr token_amount least_parts_of_slot = 36;
// Longest line that can be served within the wait is the burst and what accrues; more requests
// than this are refused whatever their size.
constexpr std::size_t max_queue = 4096;
// A slot counts as full when less than this part of its burst is missing.
constexpr token_amount full_margin_part = 8;
constexpr int search_steps = 48;

constexpr time_point never = time_point::max();

token_amount product(token_amount rate, duration elapsed) {
    return static_cast<token_amount>(static_cast<__int128>(rate) * elapsed.count() / 1'000'000'000);
}

}  // namespace

void demand_meter::add(token_amount amount, time_point now) {
    level_ = static_cast<double>(rate(now)) + static_cast<double>(amount);
    at_ = now;
}

token_amount demand_meter::rate(time_point now) const {
    const double age = std::chrono::duration<double>(now - at_) / demand_window;
    return static_cast<token_amount>(level_ * std::exp(-std::max(0.0, age)));
}

account_pool::account_pool(pool_context& context, client_account_id account)
    : context_(context), account_(std::move(account)) {
    on_table();
}

// Knowledge about slots.

token_amount account_pool::share_burst(slot_number slot) const {
    return share_of(limits_, slot, context_.table.slots.size()).burst;
}

token_amount account_pool::share_rate(slot_number slot) const {
    return share_of(limits_, slot, context_.table.slots.size()).rate;
}

bool account_pool::is_owned(slot_number slot) const {
    return context_.table.slots[slot].owner.has_value();
}

token_amount account_pool::expected_balance(slot_number slot, time_point now) const {
    const token_amount burst = share_burst(slot);
    const slot_view& view = views_[slot];
    if (!view.level) {
        return burst;
    }
    const duration age = now - view.seen_at - view.level->ready_in;
    const token_amount added = product(share_rate(slot), std::max(duration::zero(), age));
    const token_amount room = std::max<token_amount>(0, burst - view.level->outstanding);
    return std::min(view.level->balance + added, room);
}

std::vector<slot_number> account_pool::slots_by_balance(time_point now) const {
    const std::size_t n = context_.table.slots.size();
    if (n == 0) {
        return {};
    }
    struct candidate {
        bool is_silent = false;
        bool is_remote = false;
        token_amount balance = 0;
        slot_number slot = 0;
    };
    // Daemons begin at different slots, so that equal knowledge does not lead all to the same one.
    const std::size_t offset = stable_hash(context_.self.vm.str() + "/" + account_.str()) % n;
    std::vector<candidate> list;
    for (std::size_t i = 0; i < n; ++i) {
        const auto slot = static_cast<slot_number>((i + offset) % n);
        if (is_owned(slot)) {
            list.push_back({views_[slot].silent_until > now,
                            context_.table.slots[slot].owner != context_.self,
                            expected_balance(slot, now), slot});
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const candidate& a, const candidate& b) {
        return std::make_tuple(a.is_silent, -a.balance, a.is_remote) <
               std::make_tuple(b.is_silent, -b.balance, b.is_remote);
    });
    std::vector<slot_number> slots;
    for (const candidate& it : list) {
        slots.push_back(it.slot);
    }
    return slots;
}

void account_pool::on_table() {
    views_.resize(context_.table.slots.size());
    for (std::size_t i = 0; i < views_.size(); ++i) {
        views_[i].silent_until = time_point{};
    }
}

void account_pool::set_limits(const account_limits& limits, time_point now, quota_output& out) {
    if (limits == limits_) {
        return;
    }
    limits_ = limits;
    shortage_.reset();
    for (slot_view& it : views_) {
        it.level.reset();
    }
    while (!queue_.empty() && queue_.front().size > limits_.burst) {
        out.decisions.emplace_back(
            refused{queue_.front().number, refusal_reason::larger_than_burst, duration::zero()});
        queue_.pop_front();
    }
    pump(now, out);
}

// Admission.

token_amount account_pool::available(time_point now) const {
    token_amount sum = 0;
    for (const auto& [number, it] : loans_) {
        if (now < it.ends_at) {
            sum += it.unspent();
        }
    }
    return sum;
}

token_amount account_pool::queued() const {
    token_amount sum = debt_;
    for (const waiting_request& it : queue_) {
        sum += it.size;
    }
    return sum;
}

bool account_pool::take(token_amount amount, time_point now, charge* into) {
    if (available(now) < amount) {
        return false;
    }
    token_amount missing = amount;
    for (auto& [number, it] : loans_) {
        if (missing == 0) {
            break;
        }
        const token_amount part = now < it.ends_at ? std::min(missing, it.unspent()) : 0;
        if (part == 0) {
            continue;
        }
        it.spent += part;
        missing -= part;
        if (into != nullptr) {
            it.unsettled += part;
            into->parts.emplace_back(number, part);
        }
    }
    if (into != nullptr) {
        into->amount = amount;
    }
    return true;
}

void account_pool::pay_debt(time_point now) {
    const token_amount amount = std::min(debt_, available(now));
    if (amount > 0 && take(amount, now, nullptr)) {
        debt_ -= amount;
    }
}

bool account_pool::must_fail(token_amount size, time_point now) const {
    const token_amount ahead = queued() + size;
    const token_amount accrued = product(limits_.rate, context_.policy.admission_wait);
    if (queue_.size() >= max_queue || ahead > limits_.burst + accrued) {
        return true;
    }
    if (!shortage_ || now - shortage_at_ > context_.policy.level_lifetime) {
        return false;
    }
    return ahead > *shortage_ + product(limits_.rate, now - shortage_at_);
}

void account_pool::admit(admission_number number, token_amount size, time_point now,
                         quota_output& out) {
    const waiting_request it{number, std::max<token_amount>(0, size),
                             now + context_.policy.admission_wait};
    demand_.add(std::min(it.size, limits_.burst), now);
    usual_size_ += (it.size - usual_size_) / size_smoothing;
    if (it.size > limits_.burst) {
        out.decisions.emplace_back(
            refused{number, refusal_reason::larger_than_burst, duration::zero()});
        return;
    }
    if (available(now) < queued() + it.size && must_fail(it.size, now)) {
        out.decisions.emplace_back(refusal(it, now));
        return;
    }
    queue_.push_back(it);
    const std::size_t before = out.decisions.size();
    pump(now, out);
    const bool is_decided = queue_.empty() || queue_.back().number != number;
    if (!is_decided) {
        out.decisions.insert(out.decisions.begin() + static_cast<std::ptrdiff_t>(before),
                             waiting{number});
    }
}

void account_pool::serve_queue(time_point now, quota_output& out) {
    while (!queue_.empty() && debt_ == 0) {
        charge made;
        if (!take(queue_.front().size, now, &made)) {
            return;
        }
        const admission_number number = queue_.front().number;
        charges_.emplace(number, std::move(made));
        out.decisions.emplace_back(admitted{number});
        queue_.pop_front();
    }
}

void account_pool::refuse_overdue(time_point now, quota_output& out) {
    while (!queue_.empty() && queue_.front().deadline <= now) {
        const waiting_request it = queue_.front();
        queue_.pop_front();
        const refused decision = refusal(it, now);
        if (decision.reason == refusal_reason::over_rate) {
            token_amount known = available(now);
            for (std::size_t i = 0; i < views_.size(); ++i) {
                known += expected_balance(static_cast<slot_number>(i), now);
            }
            shortage_ = known;
            shortage_at_ = now;
        }
        out.decisions.emplace_back(decision);
        serve_queue(now, out);
    }
}

refused account_pool::refusal(const waiting_request& it, time_point now) const {
    bool is_reachable = !views_.empty();
    for (std::size_t i = 0; i < views_.size(); ++i) {
        const auto slot = static_cast<slot_number>(i);
        is_reachable = is_reachable && is_owned(slot) && views_[i].silent_until <= now;
    }
    const duration wait = time_until(it.size + debt_, now);
    const auto reason =
        is_reachable ? refusal_reason::over_rate : refusal_reason::slots_unreachable;
    return {it.number, reason, wait};
}

duration account_pool::time_until(token_amount size, time_point now) const {
    const duration loans_end = context_.policy.loan_lifetime + context_.policy.drift_margin;
    std::vector<token_amount> own(views_.size(), 0);
    for (const auto& [number, it] : loans_) {
        if (now < it.ends_at && it.slot < own.size()) {
            own[it.slot] += it.unspent();
        }
    }
    const auto held_after = [&](duration wait) {
        token_amount sum = 0;
        for (std::size_t i = 0; i < views_.size(); ++i) {
            const auto slot = static_cast<slot_number>(i);
            const slot_view& view = views_[i];
            const token_amount burst = share_burst(slot);
            const token_amount lent =
                view.level && wait < loans_end
                    ? std::max<token_amount>(0, view.level->outstanding - own[i])
                    : 0;
            const duration not_ready = view.level ? view.level->ready_in : duration::zero();
            const duration accruing = std::max(duration::zero(), wait - not_ready);
            const token_amount held =
                expected_balance(slot, now) + own[i] + product(share_rate(slot), accruing);
            sum += std::min(held, std::max<token_amount>(0, burst - lent));
        }
        return sum;
    };
    const duration full = time_to_add(limits_.burst, limits_.rate);
    if (full == duration::max()) {
        return duration::max();
    }
    const token_amount wanted = std::min(size, limits_.burst);
    const duration debt_time = time_to_add(size - wanted, limits_.rate);
    duration low = duration::zero();
    duration high = full + loans_end;
    for (int i = 0; i < search_steps && high - low > std::chrono::milliseconds(1); ++i) {
        const duration middle = low + (high - low) / 2;
        (held_after(middle) >= wanted ? high : low) = middle;
    }
    return high + debt_time + context_.policy.round_wait;
}

void account_pool::pump(time_point now, quota_output& out) {
    pay_debt(now);
    serve_queue(now, out);
    refuse_overdue(now, out);
    if (queue_.empty()) {
        end_collection(now, out);
        give_back_surplus(now, out);
        top_up(now, out);
    } else {
        collect(now, out);
    }
    report_due(now, out);
}

// Collecting tokens for requests that wait.

bool account_pool::round_is_over(time_point now) {
    bool is_answered = true;
    for (const auto& [slot, number] : collection_) {
        const auto it = loans_.find(number);
        if (it != loans_.end() && !it->second.answered) {
            is_answered = false;
        }
    }
    if (is_answered || now < round_until_) {
        return is_answered;
    }
    note_silence(now);
    return true;
}

void account_pool::note_silence(time_point now) {
    for (const auto& [slot, number] : collection_) {
        const auto it = loans_.find(number);
        if (it != loans_.end() && !it->second.answered &&
            now - it->second.asked_at >= context_.policy.round_wait) {
            views_[slot].silent_until = now + silence;
        }
    }
}

void account_pool::begin_collection(time_point now) {
    collection_.clear();
    priority_ =
        stable_hash(context_.self.vm.str() + "/" + std::to_string(context_.self.incarnation) + "/" +
                    std::to_string(queue_.front().number));
    round_until_ = now;
}

void account_pool::collect(time_point now, quota_output& out) {
    const token_amount missing = std::min(queued(), limits_.burst) - available(now);
    if (missing <= 0 || context_.table.slots.empty()) {
        return;
    }
    if (round_ == collecting::idle) {
        begin_collection(now);
        if (shortage_ && now - shortage_at_ < context_.policy.admission_wait) {
            round_ = collecting::all_slots;
            ask_all(missing, now, out);
            return;
        }
        round_ = collecting::likely_slots;
        round_until_ = now + context_.policy.round_wait;
        ask_fullest(missing + spare_target(now) / 2, now, out);
    } else if (round_ == collecting::likely_slots && round_is_over(now)) {
        round_ = collecting::known_slots;
        round_until_ = now + context_.policy.round_wait;
        ask_fullest(missing, now, out);
    } else if (round_ == collecting::known_slots && round_is_over(now)) {
        round_ = collecting::all_slots;
        ask_all(missing, now, out);
    } else if (round_ == collecting::all_slots) {
        const duration longest = context_.policy.round_wait * 2;
        const token_amount first = queue_.front().size + debt_ - available(now);
        round_until_ = std::clamp(expected_at(first, now), all_asked_at_ + least_round_gap,
                                  all_asked_at_ + longest);
        if (now >= round_until_) {
            note_silence(now);
            ask_all(missing, now, out);
        }
    }
}

time_point account_pool::expected_at(token_amount missing, time_point now) const {
    token_amount known = 0;
    for (std::size_t i = 0; i < views_.size(); ++i) {
        known += expected_balance(static_cast<slot_number>(i), now);
    }
    const duration wait = time_to_add(std::max<token_amount>(0, missing - known), limits_.rate);
    return wait < context_.policy.admission_wait ? now + wait
                                                 : now + context_.policy.admission_wait;
}

// Takes from the fullest slots down to a common level: a slot that stays full while others are
// short adds no tokens.
void account_pool::ask_fullest(token_amount need, time_point now, quota_output& out) {
    const std::vector<slot_number> slots = slots_by_balance(now);
    const auto above = [&](token_amount level) {
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
        if (above(middle) > need) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    token_amount missing = need;
    for (const slot_number slot : slots) {
        const token_amount balance = expected_balance(slot, now);
        const token_amount least = share_burst(slot) / least_parts_of_slot + 1;
        const token_amount wanted = std::min(balance, std::max(least, balance - high + 1));
        const token_amount amount = std::min(missing, wanted);
        if (amount > 0) {
            ask({slot, amount}, false, now, out);
            missing -= amount;
        }
    }
}

void account_pool::ask_all(token_amount need, time_point now, quota_output& out) {
    all_asked_at_ = now;
    round_until_ = now + context_.policy.round_wait * 2;
    for (const slot_number slot : slots_by_balance(now)) {
        ask({slot, need}, true, now, out);
    }
}

void account_pool::ask(const slot_need& need, bool recall, time_point now, quota_output& out) {
    const auto known = collection_.find(need.slot);
    const auto existing = known == collection_.end() ? loans_.end() : loans_.find(known->second);
    const bool is_usable = existing != loans_.end() && !existing->second.closed &&
                           existing->second.fence == context_.table.slots[need.slot].fence &&
                           now - existing->second.requested_at < context_.policy.admission_wait;
    if (is_usable) {
        loan& it = existing->second;
        it.wanted = std::max(it.wanted, it.granted + need.amount);
        it.asked_at = it.answered ? now : it.asked_at;
        it.answered = false;
        send_request(existing->first, it, recall, now, out);
        return;
    }
    const loan_number number = ++context_.last_loan;
    loan it;
    it.slot = need.slot;
    it.fence = context_.table.slots[need.slot].fence;
    it.owner = *context_.table.slots[need.slot].owner;
    it.requested_at = now;
    it.asked_at = now;
    it.ends_at = now + context_.policy.loan_lifetime;
    it.wanted = need.amount;
    send_request(number, it, recall, now, out);
    loans_.emplace(number, it);
    collection_[need.slot] = number;
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
    if (round_ == collecting::idle) {
        return;
    }
    round_ = collecting::idle;
    for (const auto& [slot, number] : collection_) {
        const auto it = loans_.find(number);
        if (it != loans_.end() && it->second.granted < it->second.wanted) {
            it->second.closed = true;
            report(number, it->second, now, out);
        }
    }
    collection_.clear();
}

// Spare tokens, kept so that small requests need no message.

token_amount account_pool::spare_target(time_point now) const {
    if (now < no_spare_until_) {
        return 0;
    }
    token_amount expected = 0;
    for (std::size_t i = 0; i < views_.size(); ++i) {
        expected += expected_balance(static_cast<slot_number>(i), now);
    }
    const token_amount target =
        std::min(product(demand_.rate(now), context_.policy.prefetch), expected / spare_part);
    // Fewer tokens than a few requests need would only lie idle here.
    return target < usual_size_ * least_spare_requests ? 0 : target;
}

void account_pool::top_up(time_point now, quota_output& out) {
    const token_amount target = spare_target(now);
    const token_amount held = available(now) - debt_;
    if (target <= 0 || held >= target / 2 || context_.table.slots.empty()) {
        return;
    }
    if (spare_loan_ && now < spare_asked_at_ + least_spare_interval) {
        return;
    }
    const auto pending = loans_.find(spare_loan_.value_or(0));
    if (pending != loans_.end() && !pending->second.answered) {
        if (now < spare_asked_at_ + context_.policy.round_wait) {
            return;
        }
        views_[pending->second.slot].silent_until = now + silence;
    }
    const std::vector<slot_number> slots = slots_by_balance(now);
    if (slots.empty() || views_[slots.front()].silent_until > now ||
        expected_balance(slots.front(), now) <= 0) {
        return;
    }
    ask_fullest(target - held, now, out);
    spare_loan_ = context_.last_loan;
    spare_asked_at_ = now;
    collection_.clear();
}

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
    pump(now, out);
    if (now >= held.ends_at) {
        give_back(it->first, held, held.unspent(), now, out);
    }
}

void account_pool::on_recall(const loan_recall& message, time_point now, quota_output& out) {
    if (!queue_.empty() && priority_ <= message.priority) {
        return;
    }
    no_spare_until_ = now + spare_pause;
    for (auto& [number, it] : loans_) {
        if (it.slot != message.slot || it.fence != message.fence || now >= it.ends_at) {
            continue;
        }
        const token_amount amount = it.unspent();
        give_back(number, it, amount, now, out);
        const auto asked = collection_.find(it.slot);
        if (amount > 0 && !queue_.empty() && asked != collection_.end() &&
            asked->second == number && !it.closed) {
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
        views_[message.key.slot].silent_until = now + silence;
    }
    pump(now, out);
}

void account_pool::give_back(loan_number number, loan& it, token_amount amount, time_point now,
                             quota_output& out) {
    if (amount <= 0) {
        return;
    }
    it.returned += amount;
    report(number, it, now, out);
}

void account_pool::give_back_surplus(time_point now, quota_output& out) {
    token_amount surplus = available(now) - debt_ - spare_target(now);
    for (auto& [number, it] : loans_) {
        if (surplus <= 0) {
            break;
        }
        if (now >= it.ends_at) {
            continue;
        }
        const token_amount amount = std::min(surplus, it.unspent());
        give_back(number, it, amount, now, out);
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

// A slot that is full adds nothing until it hears of spending.
duration account_pool::report_interval(const loan& it) const {
    if (it.slot >= views_.size() || !views_[it.slot].level) {
        return context_.policy.report_interval;
    }
    const slot_level& level = *views_[it.slot].level;
    const token_amount burst = share_burst(it.slot);
    const bool is_full = level.balance + level.outstanding >= burst - burst / full_margin_part;
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

void account_pool::end_loans(time_point now, quota_output& out) {
    for (auto it = loans_.begin(); it != loans_.end();) {
        loan& held = it->second;
        if (now - held.requested_at >= context_.policy.return_age) {
            give_back(it->first, held, held.unspent(), now, out);
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
            forget_.emplace_back(now + context_.policy.settle_limit, it->first);
        }
        it = loans_.erase(it);
    }
    while (!forget_.empty() && forget_.front().first <= now) {
        ended_.erase(forget_.front().second);
        forget_.pop_front();
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
        // What the owner has not yet heard of need not be told.
        const bool is_live = now < held->ends_at;
        const token_amount untold =
            is_live ? std::min(share, held->spent - held->reported_spent) : 0;
        held->spent -= untold;
        held->refunded += share - untold;
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
    const charge made = std::move(it->second);
    charges_.erase(it);
    if (used > made.amount) {
        debt_ += used - made.amount;
    } else if (used < made.amount) {
        refund(made, made.amount - std::max<token_amount>(0, used), now, out);
    }
    release_charge(made);
    if (used != made.amount) {
        pump(now, out);
    }
}

void account_pool::cancel(admission_number number, time_point now, quota_output& out) {
    if (charges_.count(number) != 0) {
        settle(number, 0, now, out);
        return;
    }
    const auto it = std::find_if(queue_.begin(), queue_.end(), [&](const waiting_request& entry) {
        return entry.number == number;
    });
    if (it != queue_.end()) {
        queue_.erase(it);
        pump(now, out);
    }
}

// Time.

void account_pool::advance(time_point now, quota_output& out) {
    end_loans(now, out);
    pump(now, out);
}

void account_pool::drop_loans() {
    for (auto& [number, it] : loans_) {
        it.returned += it.unspent();
        it.ends_at = std::min(it.ends_at, it.requested_at);
    }
}

void account_pool::return_loans(time_point now, quota_output& out) {
    no_spare_until_ = never;
    for (auto& [number, it] : loans_) {
        give_back(number, it, it.unspent(), now, out);
    }
}

time_point account_pool::next_event() const {
    time_point next = never;
    for (const auto& [number, it] : loans_) {
        if (it.unspent() > 0) {
            next = std::min(next, it.requested_at + context_.policy.return_age);
        }
        if (it.is_dirty()) {
            next = std::min(next, std::max(it.reported_at, it.requested_at) + report_interval(it));
        }
        next = std::min(next, it.ends_at);
    }
    if (!forget_.empty()) {
        next = std::min(next, forget_.front().first);
    }
    if (!queue_.empty()) {
        next = std::min({next, queue_.front().deadline, round_until_});
    }
    return next;
}

}  // namespace radishpulley::quota::detail
