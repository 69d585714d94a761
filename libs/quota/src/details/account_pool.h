#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "quota/borrower.h"

namespace radishpulley::quota::detail {

// What the pools of all client accounts share.
struct pool_context {
    vm_incarnation self;
    quota_policy policy;
    slot_table table;
    loan_number last_loan = 0;
};

// Average of what was asked for a second, over about one second.
class demand_meter {
public:
    void add(token_amount amount, time_point now);
    // Amount a second.
    token_amount rate(time_point now) const;

private:
    double level_ = 0;
    time_point at_{};
};

// One client account on one daemon: its loans, the requests that wait, and what is owed.
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
        // What the owner was last told.
        token_amount reported_spent = 0;
        token_amount reported_refunded = 0;
        time_point reported_at{};
        // When the first request that is not answered yet was sent.
        time_point asked_at{};
        // Charged to requests that are not settled.
        token_amount unsettled = 0;
        bool answered = false;
        bool closed = false;

        token_amount unspent() const { return granted - spent - returned; }
        bool is_dirty() const { return spent != reported_spent || refunded != reported_refunded; }
    };

    // What is known of a slot's bucket.
    struct slot_view {
        std::optional<slot_level> level;
        time_point seen_at{};
        // No answer came to a request; other slots go first until then.
        time_point silent_until{};
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

    enum class collecting { idle, likely_slots, known_slots, all_slots };

    struct slot_need {
        slot_number slot = 0;
        token_amount amount = 0;
    };

    token_amount share_burst(slot_number slot) const;
    token_amount share_rate(slot_number slot) const;
    bool is_owned(slot_number slot) const;
    token_amount expected_balance(slot_number slot, time_point now) const;
    std::vector<slot_number> slots_by_balance(time_point now) const;
    token_amount queued() const;
    token_amount spare_target(time_point now) const;

    void pump(time_point now, quota_output& out);
    void pay_debt(time_point now);
    void serve_queue(time_point now, quota_output& out);
    void refuse_overdue(time_point now, quota_output& out);
    bool take(token_amount amount, time_point now, charge* into);
    bool must_fail(token_amount size, time_point now) const;
    refused refusal(const waiting_request& it, time_point now) const;
    duration time_until(token_amount size, time_point now) const;

    void collect(time_point now, quota_output& out);
    void begin_collection(time_point now);
    void ask_fullest(token_amount need, time_point now, quota_output& out);
    void ask_all(token_amount need, time_point now, quota_output& out);
    void end_collection(time_point now, quota_output& out);
    bool round_is_over(time_point now);
    void note_silence(time_point now);
    /// When the slots are expected to hold `missing`, by what is known of them.
    time_point expected_at(token_amount missing, time_point now) const;
    void ask(const slot_need& need, bool recall, time_point now, quota_output& out);
    void send_request(loan_number number, loan& it, bool recall, time_point now,
                      quota_output& out) const;
    void top_up(time_point now, quota_output& out);

    void give_back(loan_number number, loan& it, token_amount amount, time_point now,
                   quota_output& out);
    void give_back_surplus(time_point now, quota_output& out);
    void report(loan_number number, loan& it, time_point now, quota_output& out);
    void report_due(time_point now, quota_output& out);
    duration report_interval(const loan& it) const;
    bool is_report_due(const loan& it, time_point now) const;
    void end_loans(time_point now, quota_output& out);
    void refund(const charge& from, token_amount amount, time_point now, quota_output& out);
    void release_charge(const charge& it);
    loan* find_loan(loan_number number);

    pool_context& context_;
    client_account_id account_;
    account_limits limits_;
    demand_meter demand_;
    // Average of the sizes asked for.
    token_amount usual_size_ = 0;
    std::map<loan_number, loan> loans_;
    // Loans that ended while requests charged to them were not settled.
    std::map<loan_number, loan> ended_;
    std::deque<std::pair<time_point, loan_number>> forget_;
    std::vector<slot_view> views_;
    std::deque<waiting_request> queue_;
    std::map<admission_number, charge> charges_;
    token_amount debt_ = 0;

    collecting round_ = collecting::idle;
    time_point round_until_{};
    time_point all_asked_at_{};
    std::uint64_t priority_ = 0;
    std::map<slot_number, loan_number> collection_;
    std::optional<loan_number> spare_loan_;
    time_point spare_asked_at_{};
    time_point no_spare_until_{};
    // Amount that could be had at most when a collection from all slots last failed.
    std::optional<token_amount> shortage_;
    time_point shortage_at_{};
};

}  // namespace radishpulley::quota::detail
