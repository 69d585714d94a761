#include "baselines.h"

#include <algorithm>

namespace radishpulley::measure {
namespace {

constexpr duration retry_after = std::chrono::milliseconds(60);

}  // namespace

bool plain_bucket::take(token_amount amount, duration now) {
    const __int128 added =
        static_cast<__int128>(limits_.rate) * (now - at_).count() / 1'000'000'000;
    balance_ = static_cast<token_amount>(std::min<__int128>(limits_.burst, balance_ + added));
    at_ = now;
    if (balance_ < amount) {
        return false;
    }
    balance_ -= amount;
    return true;
}

fixed_split::fixed_split(quota::trial_fleet& fleet, const quota::limits_by_account& limits,
                         std::size_t vm_count)
    : fleet_(fleet) {
    for (const auto& [account, whole] : limits) {
        shares_[account] = quota::share_of(whole, 0, vm_count);
        for (std::size_t vm = 0; vm < vm_count; ++vm) {
            const account_limits& share = shares_[account];
            buckets_.emplace(std::pair(vm, account), plain_bucket(share, share.burst));
        }
    }
}

void fixed_split::request(std::size_t vm, const client_account_id& account, token_amount size,
                          const result_handler& done) {
    done(buckets_.at({vm, account}).take(size, fleet_.now()));
}

void fixed_split::replaced(std::size_t vm) {
    for (const auto& [account, share] : shares_) {
        // An empty bucket that accrues from now on; what accrued while the VM was away is lost.
        plain_bucket& bucket = buckets_.at({vm, account});
        bucket = plain_bucket(share, 0);
        bucket.start(fleet_.now());
    }
}

central_holder::central_holder(quota::trial_fleet& fleet, const quota::trial_settings& settings,
                               duration takeover)
    : fleet_(fleet),
      settings_(settings),
      takeover_(takeover),
      random_(settings.seed),
      cut_(settings.vm_count, false) {
    std::size_t vm = 1;
    for (const auto& [account, whole] : settings.limits) {
        holdings_.emplace(account, holding{vm++ % settings.vm_count, duration::zero(),
                                           plain_bucket(whole, whole.burst)});
    }
}

duration central_holder::latency() {
    return duration(std::uniform_int_distribution<duration::rep>(
        settings_.min_latency.count(), settings_.max_latency.count())(random_));
}

bool central_holder::passes() {
    ++messages_;
    return std::uniform_real_distribution<>(0, 1)(random_) >= settings_.loss;
}

void central_holder::request(std::size_t vm, const client_account_id& account, token_amount size,
                             const result_handler& done) {
    auto it = std::make_shared<pending>();
    it->vm = vm;
    it->account = account;
    it->size = size;
    it->done = done;
    it->deadline = fleet_.now() + settings_.policy.admission_wait;
    fleet_.at(it->deadline, [this, it] { finish(it, false); });
    attempt(it);
}

void central_holder::attempt(const std::shared_ptr<pending>& it) {
    if (it->is_answered || fleet_.now() >= it->deadline) {
        return;
    }
    holding& held = holdings_.at(it->account);
    const bool is_away = !fleet_.runs(held.vm) || (cut_[held.vm] && held.vm != it->vm);
    if (!is_away) {
        held.last_seen = fleet_.now();
    } else if (fleet_.now() - held.last_seen > takeover_ && !is_store_down_) {
        const account_limits& whole = settings_.limits.at(it->account);
        held = {(held.vm + 1) % settings_.vm_count, fleet_.now(), plain_bucket(whole, 0)};
        held.bucket.start(fleet_.now());
    }
    const bool is_local = held.vm == it->vm;
    if (is_local) {
        arrive(it);
        return;
    }
    if (passes() && !cut_[it->vm]) {
        fleet_.at(fleet_.now() + latency(), [this, it] { arrive(it); });
    }
    fleet_.at(fleet_.now() + retry_after, [this, it] { attempt(it); });
}

void central_holder::arrive(const std::shared_ptr<pending>& it) {
    holding& held = holdings_.at(it->account);
    if (!fleet_.runs(held.vm) || (cut_[held.vm] && held.vm != it->vm)) {
        return;
    }
    if (!it->is_decided) {
        it->is_decided = true;
        it->is_admitted = held.bucket.take(it->size, fleet_.now());
    }
    if (held.vm == it->vm) {
        finish(it, it->is_admitted);
    } else if (passes()) {
        fleet_.at(fleet_.now() + latency(), [this, it] { finish(it, it->is_admitted); });
    }
}

void central_holder::finish(const std::shared_ptr<pending>& it, bool is_admitted) {
    if (!it->is_answered) {
        it->is_answered = true;
        it->done(is_admitted);
    }
}

}  // namespace radishpulley::measure
