#pragma once

#include <map>
#include <vector>

#include "quota_trial/trial_fleet.h"

namespace radishpulley::measure {

using quota::account_limits;
using quota::token_amount;

// One plain token bucket.
class plain_bucket {
public:
    plain_bucket(const account_limits& limits, token_amount balance)
        : limits_(limits), balance_(balance) {}
    void start(duration now) { at_ = now; }
    bool take(token_amount amount, duration now);

private:
    account_limits limits_;
    token_amount balance_;
    duration at_ = duration::zero();
};

using result_handler = std::function<void(bool is_admitted)>;

// Every VM has an equal share of every account's rate and burst.
class fixed_split {
public:
    fixed_split(quota::trial_fleet& fleet, const quota::limits_by_account& limits,
                std::size_t vm_count);
    void request(std::size_t vm, const client_account_id& account, token_amount size,
                 const result_handler& done);
    void replaced(std::size_t vm);

private:
    quota::trial_fleet& fleet_;
    quota::limits_by_account shares_;
    std::map<std::pair<std::size_t, client_account_id>, plain_bucket> buckets_;
};

// One VM holds an account's bucket; every admission asks it. The next VM takes over, with an empty
// bucket, when the holder was away for longer than `takeover`.
class central_holder {
public:
    central_holder(quota::trial_fleet& fleet, const quota::trial_settings& settings,
                   duration takeover);
    void request(std::size_t vm, const client_account_id& account, token_amount size,
                 const result_handler& done);
    void set_cut(std::size_t vm, bool is_cut) { cut_[vm] = is_cut; }
    void set_store_down(bool is_down) { is_store_down_ = is_down; }
    std::uint64_t messages() const { return messages_; }

private:
    struct holding {
        std::size_t vm = 0;
        duration last_seen = duration::zero();
        plain_bucket bucket;
    };
    struct pending {
        std::size_t vm = 0;
        client_account_id account;
        token_amount size = 0;
        result_handler done;
        bool is_decided = false;
        bool is_admitted = false;
        bool is_answered = false;
        duration deadline = duration::zero();
    };

    void attempt(const std::shared_ptr<pending>& it);
    void arrive(const std::shared_ptr<pending>& it);
    void finish(const std::shared_ptr<pending>& it, bool is_admitted);
    bool passes();
    duration latency();

    quota::trial_fleet& fleet_;
    quota::trial_settings settings_;
    duration takeover_;
    std::mt19937_64 random_;
    std::map<client_account_id, holding> holdings_;
    std::vector<bool> cut_;
    bool is_store_down_ = false;
    std::uint64_t messages_ = 0;
};

}  // namespace radishpulley::measure
