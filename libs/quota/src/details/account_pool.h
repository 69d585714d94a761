#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "quota/borrower.h"

namespace radishpulley::quota::detail {

// State that the pools of all client accounts share.
struct pool_context {
    vm_incarnation self;
    quota_policy policy;
    slot_table table;
    loan_number last_loan = 0;
};

// Exponential moving average of the requested amount per second, over about one second.
class demand_meter {
public:
    void add(token_amount amount, time_point now);
    // Returns the amount per second.
    token_amount rate(time_point now) const;

private:
    double level_ = 0;
    time_point at_{};
};

// Admission state of one client account on one daemon: its loans, its waiting requests and its
// debt.
class account_pool {
public:
    account_pool(pool_context& context, client_account_id account);

    void set_limits(const account_limits& limits, time_point now, quota_output& out);
    void on_table();
    void admit(admission_number number, token_amount size, time_point now, quota_output& out);
    void cancel(admission_number number, time_point now, quota_output& out);
    void settle(admission_number number, token_amount used, time_point now, quota_output& out);
    void on_grant(const loan_grant& message, time_point now, quota_output& out);
    void on_recall(const loan_recall& message, time_point now, quota_output& out);
    void on_rejected(const loan_rejected& message, time_point now, quota_output& out);
    void advance(time_point now, quota_output& out);
    void drop_loans();
    void return_loans(time_point now, quota_output& out);
    time_point next_event() const;
    token_amount available(time_point now) const;

private:
    struct loan {
        slot_number slot = 0;
        fence_number fence = 0;
        vm_incarnation owner;
        time_point requested_at{};
        time_point ends_at{};
        token_amount wanted = 0;
        token_amount granted = 0;
        token_amount spent = 0;
        token_amount returned = 0;
        token_amount refunded = 0;
        // Totals in the last report to the owner.
        token_amount reported_spent = 0;
        token_amount reported_refunded = 0;
        time_point reported_at{};
        // When the oldest loan request without an answer was sent.
        time_point unanswered_since{};
        // Amount charged to requests that are not settled.
        token_amount unsettled = 0;
        bool answered = false;
        bool closed = false;

        token_amount unspent() const { return granted - spent - returned; }
        bool is_dirty() const { return spent != reported_spent || refunded != reported_refunded; }
    };

    // Last reported state of a slot's bucket.
    struct slot_view {
        std::optional<slot_level> level;
        time_point seen_at{};
        // Set when the owner did not answer or rejected a request; until then, other slots are
        // preferred.
        time_point unresponsive_until{};
    };

    struct waiting_request {
        admission_number number = 0;
        token_amount size = 0;
        time_point deadline{};
    };

    struct charge {
        token_amount amount = 0;
        std::vector<std::pair<loan_number, token_amount>> parts;
    };

    enum class collection_stage { idle, likely_slots, reported_slots, all_slots };

    struct slot_need {
        slot_number slot = 0;
        token_amount amount = 0;
    };

    token_amount share_burst(slot_number slot) const;
    token_amount share_rate(slot_number slot) const;
    bool is_owned(slot_number slot) const;
    token_amount expected_balance(slot_number slot, time_point now) const;
    std::vector<slot_number> slots_by_balance(time_point now) const;
    token_amount queued_amount() const;
    token_amount spare_target(time_point now) const;

    void process(time_point now, quota_output& out);
    void pay_debt(time_point now);
    void serve_queue(time_point now, quota_output& out);
    void refuse_overdue(time_point now, quota_output& out);
    bool spend(token_amount amount, time_point now, charge* into);
    bool must_refuse(token_amount size, time_point now) const;
    refused refusal(const waiting_request& it, time_point now) const;
    duration time_until_available(token_amount size, time_point now) const;

    void collect(time_point now, quota_output& out);
    void begin_collection(time_point now);
    void request_from_fullest(token_amount need, time_point now, quota_output& out);
    void request_from_all(token_amount need, time_point now, quota_output& out);
    void end_collection(time_point now, quota_output& out);
    bool round_is_over(time_point now);
    void mark_unresponsive(time_point now);
    // Returns when the slots are expected to hold `missing`, according to their last reported
    // states.
    time_point expected_time(token_amount missing, time_point now) const;
    void request_from(const slot_need& need, bool recall, time_point now, quota_output& out);
    void send_request(loan_number number, loan& it, bool recall, time_point now,
                      quota_output& out) const;
    void top_up(time_point now, quota_output& out);

    void return_tokens(loan_number number, loan& it, token_amount amount, time_point now,
                       quota_output& out);
    void return_surplus(time_point now, quota_output& out);
    void report(loan_number number, loan& it, time_point now, quota_output& out);
    void report_due(time_point now, quota_output& out);
    duration report_interval(const loan& it) const;
    bool is_report_due(const loan& it, time_point now) const;
    void expire_loans(time_point now, quota_output& out);
    void refund(const charge& from, token_amount amount, time_point now, quota_output& out);
    void release_charge(const charge& it);
    loan* find_loan(loan_number number);

    pool_context& context_;
    client_account_id account_;
    account_limits limits_;
    demand_meter demand_;
    // Moving average of the requested sizes.
    token_amount average_size_ = 0;
    std::map<loan_number, loan> loans_;
    // Expired loans to which unsettled requests are charged.
    std::map<loan_number, loan> ended_;
    std::deque<std::pair<time_point, loan_number>> refund_deadlines_;
    std::vector<slot_view> views_;
    std::deque<waiting_request> queue_;
    std::map<admission_number, charge> charges_;
    token_amount debt_ = 0;

    collection_stage stage_ = collection_stage::idle;
    time_point round_until_{};
    time_point all_requested_at_{};
    std::uint64_t priority_ = 0;
    std::map<slot_number, loan_number> collection_loans_;
    std::optional<loan_number> spare_loan_;
    time_point spare_requested_at_{};
    time_point spare_suspended_until_{};
    // Largest amount that was obtainable when a request last ran out of its wait for lack of
    // tokens.
    std::optional<token_amount> last_supply_;
    time_point last_supply_at_{};
};

}  // namespace radishpulley::quota::detail
