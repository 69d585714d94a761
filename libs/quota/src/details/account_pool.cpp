#include "details/account_pool.h"

#include <algorithm>
#include <cmath>

#include "base/digest.h"

namespace radishpulley::quota::detail {
namespace {

constexpr duration demand_window = std::chrono::seconds(1);
constexpr token_amount size_smoothing = 8;

// Longest queue of waiting requests. The total size of the queue is limited to the burst and the
// tokens that accrue within the wait; requests beyond this count are refused whatever their size.
constexpr std::size_t max_queue = 4096;

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

// State of the slots.

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
        bool is_unresponsive = false;
        bool is_remote = false;
        token_amount balance = 0;
        slot_number slot = 0;
    };
    // Each daemon starts at a different slot, so that daemons with the same view do not all select
    // the same one.
    const std::size_t offset = stable_hash(context_.self.vm.str() + "/" + account_.str()) % n;
    std::vector<candidate> list;
    for (std::size_t i = 0; i < n; ++i) {
        const auto slot = static_cast<slot_number>((i + offset) % n);
        if (is_owned(slot)) {
            list.push_back({views_[slot].unresponsive_until > now,
                            context_.table.slots[slot].owner != context_.self,
                            expected_balance(slot, now), slot});
        }
    }
    std::stable_sort(list.begin(), list.end(), [](const candidate& a, const candidate& b) {
        return std::make_tuple(a.is_unresponsive, -a.balance, a.is_remote) <
               std::make_tuple(b.is_unresponsive, -b.balance, b.is_remote);
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
        views_[i].unresponsive_until = time_point{};
    }
}

void account_pool::set_limits(const account_limits& limits, time_point now, quota_output& out) {
    if (limits == limits_) {
        return;
    }
    limits_ = limits;
    last_supply_.reset();
    for (slot_view& it : views_) {
        it.level.reset();
    }
    while (!queue_.empty() && queue_.front().size > limits_.burst) {
        out.decisions.emplace_back(
            refused{queue_.front().number, refusal_reason::larger_than_burst, duration::zero()});
        queue_.pop_front();
    }
    process(now, out);
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

token_amount account_pool::queued_amount() const {
    token_amount sum = debt_;
    for (const waiting_request& it : queue_) {
        sum += it.size;
    }
    return sum;
}

bool account_pool::spend(token_amount amount, time_point now, charge* into) {
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
    if (amount > 0 && spend(amount, now, nullptr)) {
        debt_ -= amount;
    }
}

bool account_pool::must_refuse(token_amount size, time_point now) const {
    const token_amount ahead = queued_amount() + size;
    const token_amount accrued = product(limits_.rate, context_.policy.admission_wait);
    if (queue_.size() >= max_queue || ahead > limits_.burst + accrued) {
        return true;
    }
    if (!last_supply_ || now - last_supply_at_ > context_.policy.level_lifetime) {
        return false;
    }
    return ahead > *last_supply_ + product(limits_.rate, now - last_supply_at_);
}

void account_pool::admit(admission_number number, token_amount size, time_point now,
                         quota_output& out) {
    const waiting_request request{number, std::max<token_amount>(0, size),
                                  now + context_.policy.admission_wait};
    demand_.add(std::min(request.size, limits_.burst), now);
    average_size_ += (request.size - average_size_) / size_smoothing;
    if (request.size > limits_.burst) {
        out.decisions.emplace_back(
            refused{number, refusal_reason::larger_than_burst, duration::zero()});
        return;
    }
    if (available(now) < queued_amount() + request.size && must_refuse(request.size, now)) {
        out.decisions.emplace_back(refusal(request, now));
        return;
    }
    queue_.push_back(request);
    const std::size_t before = out.decisions.size();
    process(now, out);
    const bool is_decided = queue_.empty() || queue_.back().number != number;
    if (!is_decided) {
        out.decisions.insert(out.decisions.begin() + static_cast<std::ptrdiff_t>(before),
                             waiting{number});
    }
}

void account_pool::serve_queue(time_point now, quota_output& out) {
    while (!queue_.empty() && debt_ == 0) {
        charge charged;
        if (!spend(queue_.front().size, now, &charged)) {
            return;
        }
        const admission_number number = queue_.front().number;
        charges_.emplace(number, std::move(charged));
        out.decisions.emplace_back(admitted{number});
        queue_.pop_front();
    }
}

void account_pool::refuse_overdue(time_point now, quota_output& out) {
    while (!queue_.empty() && queue_.front().deadline <= now) {
        const waiting_request overdue = queue_.front();
        queue_.pop_front();
        const refused decision = refusal(overdue, now);
        if (decision.reason == refusal_reason::over_rate) {
            token_amount known = available(now);
            for (std::size_t i = 0; i < views_.size(); ++i) {
                known += expected_balance(static_cast<slot_number>(i), now);
            }
            last_supply_ = known;
            last_supply_at_ = now;
        }
        out.decisions.emplace_back(decision);
        serve_queue(now, out);
    }
}

refused account_pool::refusal(const waiting_request& it, time_point now) const {
    bool is_reachable = !views_.empty();
    for (std::size_t i = 0; i < views_.size(); ++i) {
        const auto slot = static_cast<slot_number>(i);
        is_reachable = is_reachable && is_owned(slot) && views_[i].unresponsive_until <= now;
    }
    const duration wait = time_until_available(it.size + debt_, now);
    const auto reason =
        is_reachable ? refusal_reason::over_rate : refusal_reason::slots_unreachable;
    return {it.number, reason, wait};
}

duration account_pool::time_until_available(token_amount size, time_point now) const {
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

void account_pool::process(time_point now, quota_output& out) {
    pay_debt(now);
    serve_queue(now, out);
    refuse_overdue(now, out);
    if (queue_.empty()) {
        end_collection(now, out);
        return_surplus(now, out);
        top_up(now, out);
    } else {
        collect(now, out);
    }
    report_due(now, out);
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
        process(now, out);
    }
}

// Expiry and timers.

void account_pool::advance(time_point now, quota_output& out) {
    expire_loans(now, out);
    process(now, out);
}

void account_pool::drop_loans() {
    for (auto& [number, it] : loans_) {
        it.returned += it.unspent();
        it.ends_at = std::min(it.ends_at, it.requested_at);
    }
}

void account_pool::return_loans(time_point now, quota_output& out) {
    spare_suspended_until_ = never;
    for (auto& [number, it] : loans_) {
        return_tokens(number, it, it.unspent(), now, out);
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
    if (!refund_deadlines_.empty()) {
        next = std::min(next, refund_deadlines_.front().first);
    }
    if (!queue_.empty()) {
        next = std::min({next, queue_.front().deadline, round_until_});
    }
    return next;
}

}  // namespace radishpulley::quota::detail
