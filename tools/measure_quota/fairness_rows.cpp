#include "fairness_rows.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>

#include "fairness/fair_queue.h"

namespace radishpulley::measure {
namespace {

using namespace fairness;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t vm_count = 9;
constexpr std::size_t account_count = 5;
constexpr std::size_t capacity = 18;
constexpr double service_seconds = 1;
constexpr double least_share = 0.9;
constexpr duration warm_up = seconds(30);
constexpr duration length = seconds(330);
constexpr duration hint_period = seconds(1);
constexpr duration hint_latency = milliseconds(200);
constexpr duration fault_start = seconds(100);
constexpr duration fault_end = seconds(140);
constexpr duration patience = seconds(10);

enum class scheme { fleet_shares, local_queues, engine_order };
constexpr scheme schemes[] = {scheme::fleet_shares, scheme::local_queues, scheme::engine_order};

enum class fault { none, hints_lost, vm_dead };

struct row {
    std::string name;
    // Requests of the first account all come to one VM, those of the last to another.
    bool is_skewed = false;
    // Demand of the other accounts, as a multiple of their fair share.
    double load = 1.5;
    double first_weight = 1;
    fault broken = fault::none;
};

const char* name_of(scheme it) {
    return it == scheme::fleet_shares   ? "fleet shares"
           : it == scheme::local_queues ? "local queues"
                                        : "engine order";
}

client_account_id account(std::size_t i) {
    return client_account_id("account-" + std::to_string(i));
}

// Nine daemons before one group of endpoints that runs what it gets in order.
class trial {
public:
    trial(const row& shape, scheme kind, std::uint64_t seed)
        : shape_(shape), kind_(kind), random_(seed), queues_(vm_count, fair_queue(queue_policy())) {
        weights_.assign(account_count, 1);
        weights_[0] = shape.first_weight;
        served_.assign(account_count, 0);
        running_.assign(vm_count, 0);
        is_dead_.assign(vm_count, false);
    }

    // Worst served account's time on endpoints as a part of what was fair.
    double run() {
        for (std::size_t i = 0; i < account_count; ++i) {
            plan_arrival(i);
        }
        if (kind_ == scheme::fleet_shares) {
            exchange_hints();
        }
        at(fault_start, [this] {
            is_broken_ = true;
            set_dead(true);
        });
        at(fault_end, [this] {
            is_broken_ = false;
            set_dead(false);
        });
        while (!events_.empty() && events_.top().at <= length) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        double worst = 1e9;
        for (std::size_t i = 0; i < account_count; ++i) {
            const double offered = i == 0 ? 5 : shape_.load;
            const double fair = fair_share(i) * std::min(1.0, offered);
            const double span = std::chrono::duration<double>(length - warm_up).count();
            worst = std::min(worst, served_[i] / (fair * span));
        }
        return worst;
    }

    double busy() const {
        double sum = 0;
        for (const double it : served_) {
            sum += it;
        }
        return sum / (capacity * std::chrono::duration<double>(length - warm_up).count());
    }

private:
    struct event {
        duration at;
        std::uint64_t order = 0;
        std::function<void()> action;

        friend bool operator>(const event& a, const event& b) {
            return a.at == b.at ? a.order > b.order : a.at > b.at;
        }
    };
    struct call {
        std::size_t vm = 0;
        std::size_t account = 0;
        queue_number number = 0;
    };

    double fair_share(std::size_t i) const {
        double sum = 0;
        for (const double it : weights_) {
            sum += it;
        }
        return capacity * weights_[i] / sum;
    }

    time_point time() const { return time_point(seconds(1000) + now_); }

    void at(duration when, std::function<void()> action) {
        events_.push({when, ++order_, std::move(action)});
    }

    duration exponential(double mean) {
        return duration(
            static_cast<duration::rep>(std::exponential_distribution<>(1 / mean)(random_) * 1e9));
    }

    void set_dead(bool is_dead) { is_dead_[1] = is_dead && shape_.broken == fault::vm_dead; }

    void plan_arrival(std::size_t i) {
        const double load = i == 0 ? 5 : shape_.load;
        at(now_ + exponential(service_seconds / (load * fair_share(i))), [this, i] {
            arrive(i);
            plan_arrival(i);
        });
    }

    void arrive(std::size_t i) {
        std::size_t vm = random_() % vm_count;
        if (shape_.is_skewed && (i == 0 || i + 1 == account_count)) {
            vm = i == 0 ? 0 : 2;
        }
        if (is_dead_[vm]) {
            vm = (vm + 1) % vm_count;
        }
        const call it{vm, i, ++number_};
        calls_[it.number] = it;
        if (kind_ == scheme::engine_order) {
            start(it);
            return;
        }
        queues_[vm].push({it.number, account(i), weights_[i], time() + patience,
                          duration(static_cast<duration::rep>(service_seconds * 1e9))},
                         time());
        drain(vm);
    }

    void drain(std::size_t vm) {
        queues_[vm].remove_expired(time());
        const std::size_t limit = kind_ == scheme::local_queues ? capacity / vm_count : capacity;
        while (running_[vm] < limit) {
            const auto number = queues_[vm].pop(time());
            if (!number) {
                break;
            }
            start(calls_.at(*number));
        }
        const time_point next = queues_[vm].next_event(time());
        if (running_[vm] < limit && next != time_point::max()) {
            const duration wait = std::max(duration(next - time()), duration(milliseconds(10)));
            const std::uint64_t wake = ++wakes_[vm];
            at(now_ + wait, [this, vm, wake] {
                if (wakes_[vm] == wake) {
                    drain(vm);
                }
            });
        }
    }

    void start(const call& it) {
        ++running_[it.vm];
        engine_.push_back(it);
        run_engine();
    }

    void run_engine() {
        while (busy_ < capacity && !engine_.empty()) {
            const call it = engine_.front();
            engine_.pop_front();
            ++busy_;
            const duration took = exponential(service_seconds);
            at(now_ + took, [this, it, took] { end(it, took); });
        }
    }

    void end(const call& it, duration took) {
        --busy_;
        --running_[it.vm];
        const duration from = std::max(warm_up, now_ - took);
        served_[it.account] += std::max(0.0, std::chrono::duration<double>(now_ - from).count());
        calls_.erase(it.number);
        run_engine();
        if (kind_ != scheme::engine_order) {
            queues_[it.vm].finish(it.number, time());
            drain(it.vm);
        }
    }

    void exchange_hints() {
        demand_summary sum;
        for (std::size_t i = 0; i < vm_count; ++i) {
            if (!is_dead_[i]) {
                merge(sum, queues_[i].demand());
            }
        }
        const fair_ratios shares = divide(sum, target_in_flight(capacity));
        const bool is_lost = is_broken_ && shape_.broken == fault::hints_lost;
        at(now_ + hint_latency, [this, shares, is_lost] {
            for (std::size_t i = 0; i < vm_count && !is_lost; ++i) {
                queues_[i].set_shares(shares, time());
                drain(i);
            }
        });
        at(now_ + hint_period, [this] { exchange_hints(); });
    }

    row shape_;
    scheme kind_;
    std::mt19937_64 random_;
    std::vector<fair_queue> queues_;
    std::vector<double> weights_;
    std::vector<double> served_;
    std::vector<std::size_t> running_;
    std::vector<bool> is_dead_;
    std::map<std::size_t, std::uint64_t> wakes_;
    std::map<queue_number, call> calls_;
    std::deque<call> engine_;
    std::size_t busy_ = 0;
    queue_number number_ = 0;
    duration now_ = duration::zero();
    std::uint64_t order_ = 0;
    bool is_broken_ = false;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

std::vector<row> all_rows() {
    return {{"fair-even", false, 1.5, 1, fault::none},
            {"fair-skewed", true, 1.5, 1, fault::none},
            {"fair-just-full", false, 1, 1, fault::none},
            {"fair-weight-3", false, 1.5, 3, fault::none},
            {"fair-hints-lost", true, 1.5, 1, fault::hints_lost},
            {"fair-vm-dead", false, 1.5, 1, fault::vm_dead}};
}

}  // namespace

std::vector<std::string> run_fairness_rows(std::uint64_t seed, const std::string& only) {
    std::vector<std::string> missed;
    std::printf("%-24s %-14s %24s %16s\n", "row", "scheme", "worst account / fair",
                "endpoints busy");
    for (const row& shape : all_rows()) {
        if (!only.empty() && only != shape.name) {
            continue;
        }
        for (const scheme kind : schemes) {
            trial it(shape, kind, seed);
            const double worst = it.run();
            std::printf("%-24s %-14s %23.1f%% %15.1f%%\n", shape.name.c_str(), name_of(kind),
                        worst * 100, it.busy() * 100);
            if (kind == scheme::fleet_shares && worst < least_share) {
                missed.push_back(shape.name + ": worst account below 90 % of its fair share");
            }
        }
    }
    return missed;
}

}  // namespace radishpulley::measure
