#include "quota_rows.h"

#include <algorithm>
#include <cstdio>
#include <memory>

#include "baselines.h"
#include "encoded_size.h"
#include "quota_trial/window_check.h"

namespace radishpulley::measure {
namespace {

using namespace quota;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t vm_count = 9;
constexpr std::size_t account_count = 5;
constexpr double rate = 100;
constexpr double burst = 1000;
constexpr duration warm_up = seconds(10);
constexpr duration length = seconds(120);
constexpr duration fault_start = warm_up + seconds(20);
constexpr duration fault_length = seconds(40);
constexpr duration service_time = seconds(3);
constexpr duration takeover = seconds(10);

enum class scheme { slots, split, holder };
constexpr scheme schemes[] = {scheme::slots, scheme::split, scheme::holder};

enum class fault { none, loss, dead, paused, cut_from_peers, store_down, store_down_and_dead };

struct row {
    std::string name;
    bool is_skewed = false;
    // Size of requests as a part of the burst.
    double size = 0.01;
    // Tokens asked for, as a multiple of the rate; the first account may ask for more.
    double load = 0.8;
    double first_load = 0.8;
    fault broken = fault::none;
};

struct figures {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongful = 0;
    double worst_account = 0;
    token_amount excess = std::numeric_limits<token_amount>::min();
    double messages = 0;
    double bytes = 0;
    double calls = 0;
};

const char* name_of(scheme it) {
    return it == scheme::slots ? "slots" : it == scheme::split ? "fixed split" : "one holder";
}

// One row under one scheme.
class trial {
public:
    trial(const row& shape, scheme kind, std::uint64_t seed)
        : shape_(shape),
          kind_(kind),
          random_(seed),
          settings_(make_settings(seed)),
          fleet_(settings_),
          split_(fleet_, settings_.limits, vm_count),
          holder_(fleet_, settings_, takeover) {
        for (std::size_t i = 0; i < account_count; ++i) {
            checks_.emplace_back(limits(), duration::zero());
            requests_.push_back(0);
            wrongful_.push_back(0);
        }
        plan_requests();
        plan_fault();
    }

    figures run() {
        fleet_.run_until(warm_up);
        const std::uint64_t messages = fleet_.counts().messages;
        const standins::store_counts before = fleet_.store().counts();
        fleet_.watch_messages([this](const outgoing_message& it) { bytes_ += encoded_size(it); });
        fleet_.run_until(warm_up + length);
        const double span = std::chrono::duration<double>(length).count();
        const standins::store_counts after = fleet_.store().counts();
        figures_.messages = static_cast<double>(fleet_.counts().messages - messages);
        if (kind_ == scheme::holder) {
            figures_.messages = static_cast<double>(holder_.messages());
        }
        figures_.messages /= span * vm_count;
        figures_.bytes = static_cast<double>(bytes_) / (span * vm_count);
        figures_.calls =
            static_cast<double>(after.reads + after.writes - before.reads - before.writes) / span;
        for (std::size_t i = 0; i < account_count; ++i) {
            const double part = requests_[i] == 0 ? 0
                                                  : static_cast<double>(wrongful_[i]) /
                                                        static_cast<double>(requests_[i]);
            figures_.worst_account = std::max(figures_.worst_account, part);
        }
        return figures_;
    }

private:
    static account_limits limits() { return {to_amount(rate), to_amount(burst)}; }
    static client_account_id account(std::size_t i) {
        return client_account_id("account-" + std::to_string(i));
    }

    trial_settings make_settings(std::uint64_t seed) const {
        trial_settings it;
        it.seed = seed;
        it.vm_count = vm_count;
        for (std::size_t i = 0; i < account_count; ++i) {
            it.limits[account(i)] = limits();
        }
        it.loss = shape_.broken == fault::loss ? 0.05 : 0;
        return it;
    }

    void plan_requests() {
        for (std::size_t i = 0; i < account_count; ++i) {
            const double load = i == 0 ? shape_.first_load : shape_.load;
            std::exponential_distribution<> gap(load * rate / (shape_.size * burst));
            double at = gap(random_);
            while (at < std::chrono::duration<double>(length).count()) {
                const std::size_t vm = shape_.is_skewed ? 0 : random_() % vm_count;
                fleet_.at(warm_up + duration(static_cast<duration::rep>(at * 1e9)),
                          [this, i, vm] { request(i, vm); });
                at += gap(random_);
            }
        }
    }

    void request(std::size_t i, std::size_t preferred) {
        std::size_t vm = preferred;
        // The balancer leaves out VMs that do not answer.
        while (!fleet_.runs(vm)) {
            vm = (vm + 1) % vm_count;
        }
        ++requests_[i];
        ++figures_.requests;
        const token_amount size = to_amount(shape_.size * burst);
        const auto done = [this, i, size](bool is_admitted) { note(i, size, is_admitted); };
        if (kind_ == scheme::split) {
            split_.request(vm, account(i), size, done);
        } else if (kind_ == scheme::holder) {
            holder_.request(vm, account(i), size, done);
        } else {
            fleet_.admit(vm, account(i), size,
                         [this, done, vm, size](const admission_decision& it) {
                             done(std::holds_alternative<admitted>(it));
                             settle_later(vm, it, size);
                         });
        }
    }

    void settle_later(std::size_t vm, const admission_decision& decision, token_amount size) {
        if (const auto* it = std::get_if<admitted>(&decision)) {
            fleet_.at(fleet_.now() + service_time,
                      [this, vm, number = it->number, size] { fleet_.settle(vm, number, size); });
        }
    }

    void note(std::size_t i, token_amount size, bool is_admitted) {
        if (is_admitted) {
            checks_[i].add(fleet_.now(), size);
            figures_.excess = std::max(figures_.excess, checks_[i].excess());
            return;
        }
        ++figures_.refused;
        // One more request of this size would have had room beside it, or the bucket was full.
        const token_amount room = std::min(2 * size, limits().burst);
        if (checks_[i].level(fleet_.now()) >= room) {
            ++wrongful_[i];
            ++figures_.wrongful;
        }
    }

    void plan_fault() {
        const std::size_t vm = shape_.is_skewed ? 0 : 1;
        const bool is_dead =
            shape_.broken == fault::dead || shape_.broken == fault::store_down_and_dead;
        const bool is_down =
            shape_.broken == fault::store_down || shape_.broken == fault::store_down_and_dead;
        fleet_.at(fault_start, [this, vm, is_dead, is_down] {
            if (is_dead) {
                fleet_.kill(vm);
            }
            if (shape_.broken == fault::paused) {
                fleet_.pause(vm, seconds(5));
            }
            if (shape_.broken == fault::cut_from_peers) {
                cut(vm, true);
            }
            set_down(is_down);
        });
        fleet_.at(fault_start + fault_length, [this, vm, is_dead] {
            set_down(false);
            cut(vm, false);
            if (is_dead) {
                fleet_.replace(vm);
                split_.replaced(vm);
            }
        });
    }

    void cut(std::size_t vm, bool is_cut) {
        fleet_.cut_off(vm, is_cut, false);
        holder_.set_cut(vm, is_cut);
    }

    void set_down(bool is_down) {
        fleet_.store().set_down(is_down);
        holder_.set_store_down(is_down);
    }

    row shape_;
    scheme kind_;
    std::mt19937_64 random_;
    trial_settings settings_;
    trial_fleet fleet_;
    fixed_split split_;
    central_holder holder_;
    std::vector<window_check> checks_;
    std::vector<std::uint64_t> requests_;
    std::vector<std::uint64_t> wrongful_;
    std::uint64_t bytes_ = 0;
    figures figures_;
};

std::vector<row> all_rows() {
    std::vector<row> rows;
    const std::pair<const char*, double> sizes[] = {
        {"1", 0.01}, {"10", 0.1}, {"50", 0.5}, {"100", 1}};
    for (const bool is_skewed : {false, true}) {
        const std::string arrival = is_skewed ? "skewed" : "even";
        for (const auto& [text, size] : sizes) {
            rows.push_back({arrival + "-" + text, is_skewed, size, 0.8, 0.8, fault::none});
        }
        rows.push_back({arrival + "-5x", is_skewed, 0.01, 0.8, 5, fault::none});
        const std::pair<const char*, fault> faults[] = {
            {"loss", fault::loss},
            {"dead", fault::dead},
            {"paused", fault::paused},
            {"cut", fault::cut_from_peers},
            {"store-down", fault::store_down},
            {"store-down-dead", fault::store_down_and_dead}};
        for (const auto& [text, broken] : faults) {
            rows.push_back({arrival + "-1-" + text, is_skewed, 0.01, 0.8, 0.8, broken});
            rows.push_back({arrival + "-10-" + text, is_skewed, 0.1, 0.8, 0.8, broken});
        }
    }
    return rows;
}

void print(const row& shape, scheme kind, const figures& it) {
    std::printf("%-24s %-12s %9llu %8llu %9llu %8.2f%% %10.2f %9.2f %9.1f %8.2f\n",
                shape.name.c_str(), name_of(kind), static_cast<unsigned long long>(it.requests),
                static_cast<unsigned long long>(it.refused),
                static_cast<unsigned long long>(it.wrongful), it.worst_account * 100,
                to_tokens(std::max<token_amount>(0, it.excess)), it.messages, it.bytes, it.calls);
}

void check_row(const row& shape, const figures& own, const figures& split,
               std::vector<std::string>& missed) {
    if (own.excess > 0) {
        missed.push_back(shape.name + ": tokens in excess");
    }
    if (shape.broken == fault::none && own.wrongful > 0) {
        missed.push_back(shape.name + ": wrongful refusals without a fault");
    }
    if (shape.broken != fault::none && own.wrongful * 10 > split.wrongful) {
        missed.push_back(shape.name + ": not 10 times fewer wrongful refusals than a fixed split");
    }
}

}  // namespace

std::vector<std::string> run_quota_rows(std::uint64_t seed, const std::string& only) {
    std::vector<std::string> missed;
    std::printf("%-24s %-12s %9s %8s %9s %9s %10s %9s %9s %8s\n", "row", "scheme", "requests",
                "refused", "wrongful", "worst", "excess", "msg/VM/s", "B/VM/s", "calls/s");
    for (const row& shape : all_rows()) {
        if (!only.empty() && only != shape.name) {
            continue;
        }
        figures split;
        figures own;
        for (const scheme kind : schemes) {
            const figures it = trial(shape, kind, seed).run();
            if (kind == scheme::split) {
                split = it;
            } else if (kind == scheme::slots) {
                own = it;
            }
            print(shape, kind, it);
        }
        check_row(shape, own, split, missed);
    }
    return missed;
}

}  // namespace radishpulley::measure
