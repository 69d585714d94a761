#include "quota/quota_node.h"

#include <algorithm>
#include <set>

namespace radishpulley::quota {
namespace {

admission_number number_of(const admission_decision& decision) {
    return std::visit([](const auto& it) { return it.number; }, decision);
}

// Drops each `waiting` decision for a request that the same output admits or refuses.
void drop_superseded(std::vector<admission_decision>& decisions) {
    std::set<admission_number> decided;
    for (const admission_decision& it : decisions) {
        if (!std::holds_alternative<waiting>(it)) {
            decided.insert(number_of(it));
        }
    }
    const auto is_superseded = [&](const admission_decision& it) {
        return std::holds_alternative<waiting>(it) && decided.count(number_of(it)) != 0;
    };
    decisions.erase(std::remove_if(decisions.begin(), decisions.end(), is_superseded),
                    decisions.end());
}

bool is_unreachable_refusal(const admission_decision& it) {
    const auto* refusal = std::get_if<refused>(&it);
    return refusal != nullptr && refusal->reason == refusal_reason::slots_unreachable;
}

// The daemon counts as cut off for this long after a refusal for unreachable owners.
constexpr duration cut_off_period = std::chrono::seconds(2);

}  // namespace

quota_node::quota_node(vm_incarnation self, quota_policy policy)
    : self_(std::move(self)), owner_(self_, policy), borrower_(self_, policy) {}

quota_output quota_node::deliver(quota_output out, time_point now) {
    quota_output result;
    result.decisions = std::move(out.decisions);
    outgoing_messages pending = std::move(out.messages);
    while (!pending.empty()) {
        outgoing_messages next;
        for (outgoing_message& it : pending) {
            if (it.to != self_) {
                result.messages.push_back(std::move(it));
                continue;
            }
            outgoing_messages lent = owner_.receive(self_, it.message, now);
            quota_output own = borrower_.receive(self_, it.message, now);
            next.insert(next.end(), lent.begin(), lent.end());
            next.insert(next.end(), own.messages.begin(), own.messages.end());
            result.decisions.insert(result.decisions.end(), own.decisions.begin(),
                                    own.decisions.end());
        }
        pending = std::move(next);
    }
    drop_superseded(result.decisions);
    if (std::any_of(result.decisions.begin(), result.decisions.end(), is_unreachable_refusal)) {
        unreachable_at_ = now;
    }
    return result;
}

quota_output quota_node::set_limits(const limits_by_account& limits, time_point now) {
    quota_output out;
    out.messages = owner_.set_limits(limits, now);
    quota_output own = borrower_.set_limits(limits, now);
    out.messages.insert(out.messages.end(), own.messages.begin(), own.messages.end());
    out.decisions = std::move(own.decisions);
    return deliver(std::move(out), now);
}

quota_output quota_node::set_table(const slot_table& table, time_point now) {
    owner_.set_table(table, now);
    return deliver(borrower_.set_table(table, now), now);
}

quota_output quota_node::admit(admission_number number, const client_account_id& account,
                               token_amount size, time_point now) {
    return deliver(borrower_.admit(number, account, size, now), now);
}

quota_output quota_node::cancel(admission_number number, time_point now) {
    return deliver(borrower_.cancel(number, now), now);
}

quota_output quota_node::settle(admission_number number, token_amount used, time_point now) {
    return deliver(borrower_.settle(number, used, now), now);
}

quota_output quota_node::receive(const vm_incarnation& from, const quota_message& message,
                                 time_point now) {
    quota_output out = borrower_.receive(from, message, now);
    const outgoing_messages lent = owner_.receive(from, message, now);
    out.messages.insert(out.messages.end(), lent.begin(), lent.end());
    return deliver(std::move(out), now);
}

quota_output quota_node::advance(time_point now) {
    quota_output out = borrower_.advance(now);
    const outgoing_messages lent = owner_.advance(now);
    out.messages.insert(out.messages.end(), lent.begin(), lent.end());
    return deliver(std::move(out), now);
}

bool quota_node::is_cut_off(time_point now) const {
    return unreachable_at_ && now - *unreachable_at_ < cut_off_period;
}

void quota_node::drop_loans() {
    borrower_.drop_loans();
}

quota_output quota_node::stop(time_point now) {
    quota_output out = deliver(borrower_.return_loans(now), now);
    owner_.stop();
    return out;
}

time_point quota_node::next_event() const {
    return std::min(borrower_.next_event(), owner_.next_event());
}

}  // namespace radishpulley::quota
