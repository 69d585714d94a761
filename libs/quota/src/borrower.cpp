#include "quota/borrower.h"

#include <algorithm>

#include "details/account_pool.h"

namespace radishpulley::quota {
namespace {

struct account_of_message {
    const client_account_id& operator()(const loan_request& it) const { return it.key.account; }
    const client_account_id& operator()(const loan_grant& it) const { return it.key.account; }
    const client_account_id& operator()(const loan_return& it) const { return it.key.account; }
    const client_account_id& operator()(const loan_recall& it) const { return it.account; }
    const client_account_id& operator()(const loan_rejected& it) const { return it.key.account; }
};

struct message_handler {
    detail::account_pool& pool;
    time_point now;
    quota_output& out;

    void operator()(const loan_grant& it) const { pool.on_grant(it, now, out); }
    void operator()(const loan_recall& it) const { pool.on_recall(it, now, out); }
    void operator()(const loan_rejected& it) const { pool.on_rejected(it, now, out); }
    void operator()(const loan_request& /*it*/) const {}
    void operator()(const loan_return& /*it*/) const {}
};

}  // namespace

borrower::borrower(vm_incarnation self, quota_policy policy)
    : context_(std::make_unique<detail::pool_context>()) {
    context_->self = std::move(self);
    context_->policy = policy;
}

borrower::~borrower() = default;
borrower::borrower(borrower&&) noexcept = default;
borrower& borrower::operator=(borrower&&) noexcept = default;

template <typename Event>
quota_output borrower::run(const client_account_id& account, Event event) {
    quota_output out;
    const auto it = pools_.find(account);
    if (it != pools_.end()) {
        event(*it->second, out);
    }
    return out;
}

quota_output borrower::set_limits(const limits_by_account& limits, time_point now) {
    quota_output out;
    for (const auto& [account, whole] : limits) {
        auto& pool = pools_[account];
        if (!pool) {
            pool = std::make_unique<detail::account_pool>(*context_, account);
        }
    }
    for (auto& [account, pool] : pools_) {
        const auto it = limits.find(account);
        pool->set_limits(it == limits.end() ? account_limits{} : it->second, now, out);
    }
    return out;
}

quota_output borrower::set_table(const slot_table& table, time_point now) {
    context_->table = table;
    quota_output out;
    for (auto& [account, pool] : pools_) {
        pool->on_table();
        pool->advance(now, out);
    }
    return out;
}

quota_output borrower::admit(admission_number number, const client_account_id& account,
                             token_amount size, time_point now) {
    if (pools_.count(account) == 0) {
        return {{}, {refused{number, refusal_reason::unknown_account, duration::zero()}}};
    }
    admissions_[number] = account;
    quota_output out = run(account, [&](detail::account_pool& pool, quota_output& buf) {
        pool.admit(number, size, now, buf);
    });
    erase_refused(out);
    return out;
}

void borrower::erase_refused(const quota_output& out) {
    for (const admission_decision& it : out.decisions) {
        if (const auto* refusal = std::get_if<refused>(&it)) {
            admissions_.erase(refusal->number);
        }
    }
}

quota_output borrower::cancel(admission_number number, time_point now) {
    const auto it = admissions_.find(number);
    if (it == admissions_.end()) {
        return {};
    }
    const client_account_id account = it->second;
    admissions_.erase(it);
    quota_output out = run(account, [&](detail::account_pool& pool, quota_output& buf) {
        pool.cancel(number, now, buf);
    });
    erase_refused(out);
    return out;
}

quota_output borrower::settle(admission_number number, token_amount used, time_point now) {
    const auto it = admissions_.find(number);
    if (it == admissions_.end()) {
        return {};
    }
    const client_account_id account = it->second;
    admissions_.erase(it);
    quota_output out = run(account, [&](detail::account_pool& pool, quota_output& buf) {
        pool.settle(number, used, now, buf);
    });
    erase_refused(out);
    return out;
}

quota_output borrower::receive(const vm_incarnation& /*from*/, const quota_message& message,
                               time_point now) {
    quota_output out = run(std::visit(account_of_message{}, message),
                           [&](detail::account_pool& pool, quota_output& buf) {
                               std::visit(message_handler{pool, now, buf}, message);
                           });
    erase_refused(out);
    return out;
}

quota_output borrower::advance(time_point now) {
    quota_output out;
    for (auto& [account, pool] : pools_) {
        if (pool->next_event() <= now) {
            pool->advance(now, out);
        }
    }
    erase_refused(out);
    return out;
}

void borrower::drop_loans() {
    for (auto& [account, pool] : pools_) {
        pool->drop_loans();
    }
}

quota_output borrower::return_loans(time_point now) {
    quota_output out;
    for (auto& [account, pool] : pools_) {
        pool->return_loans(now, out);
    }
    return out;
}

time_point borrower::next_event() const {
    time_point next = time_point::max();
    for (const auto& [account, pool] : pools_) {
        next = std::min(next, pool->next_event());
    }
    return next;
}

token_amount borrower::available(const client_account_id& account, time_point now) const {
    const auto it = pools_.find(account);
    return it == pools_.end() ? 0 : it->second->available(now);
}

}  // namespace radishpulley::quota
