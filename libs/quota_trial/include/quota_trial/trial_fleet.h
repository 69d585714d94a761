/// A few quota nodes that exchange messages under one virtual clock, with faults by seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "quota/quota_node.h"
#include "quota/slot_registry.h"
#include "standins/memory_object_store.h"

namespace radishpulley::quota {

/// Settings of a trial.
struct trial_settings {
    std::uint64_t seed = 1;
    std::size_t vm_count = 9;
    std::size_t slot_count = 16;
    quota_policy policy;
    limits_by_account limits;
    /// One-way time of a message, between these two.
    duration min_latency = std::chrono::milliseconds(1);
    duration max_latency = std::chrono::milliseconds(8);
    /// Probabilities of a message to be lost, doubled, and late by up to `most_late`.
    double loss = 0;
    double duplication = 0;
    double lateness = 0;
    duration most_late = std::chrono::seconds(6);
    /// Largest difference of a daemon's clock speed from the true one.
    double clock_drift = 0;
    /// Time between two looks at the slot table.
    duration table_period = std::chrono::milliseconds(500);
    /// Time until the platform's list shows that a VM ended or was replaced.
    duration list_lag = std::chrono::seconds(5);
};

/// Messages sent, by the bytes of their CBOR form when `measure_bytes` is set.
struct trial_counts {
    std::uint64_t messages = 0;
    std::uint64_t loan_messages_handled = 0;
};

/// Runs the trial. Times are since its start.
class trial_fleet {
public:
    using decision_handler = std::function<void(const admission_decision&)>;
    using message_watcher = std::function<void(const outgoing_message&)>;

    explicit trial_fleet(trial_settings settings);
    ~trial_fleet();

    duration now() const { return now_; }
    void at(duration when, std::function<void()> action);
    void run_until(duration end);

    /// Asks a VM for admission; `handler` gets every decision but `waiting`. Returns the number, or
    /// 0 if the VM does not run.
    admission_number admit(std::size_t vm, const client_account_id& account, token_amount size,
                           decision_handler handler);
    void settle(std::size_t vm, admission_number number, token_amount used);

    void kill(std::size_t vm);
    /// Starts the daemon of a VM again under the next incarnation.
    void replace(std::size_t vm);
    void pause(std::size_t vm, duration length);
    /// Takes a VM out of the platform's list, whether it runs or not.
    void take_off_list(std::size_t vm);
    void cut_off(std::size_t vm, bool from_peers, bool from_store);
    /// Gives a configuration to all VMs, each after a delay of up to `most_delay`.
    void set_limits(const limits_by_account& limits, duration most_delay);

    bool runs(std::size_t vm) const;
    standins::memory_object_store& store() { return store_; }
    const trial_counts& counts() const { return counts_; }
    void watch_messages(message_watcher watcher) { watcher_ = std::move(watcher); }
    std::size_t owned_slots() const;

private:
    struct member;
    struct event {
        duration at;
        std::uint64_t order = 0;
        std::function<void()> action;

        friend bool operator>(const event& a, const event& b) {
            return a.at == b.at ? a.order > b.order : a.at > b.at;
        }
    };

    time_point local_time(const member& it) const;
    void start(member& it);
    void look_at_table(std::size_t vm, incarnation_number incarnation);
    void run_member(std::size_t vm, const std::function<quota_output(member&)>& step);
    void take_output(member& it, quota_output out);
    void send(member& from, const outgoing_message& message);
    void deliver(const vm_incarnation& from, const outgoing_message& message);
    void plan_wake(member& it);
    fleet_view view_of(const member& it) const;
    duration random_duration(duration least, duration most);
    bool happens(double probability);

    trial_settings settings_;
    std::mt19937_64 random_;
    standins::memory_object_store store_;
    duration now_ = duration::zero();
    std::uint64_t last_order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::unique_ptr<member>> members_;
    std::map<vm_id, std::size_t> index_;
    std::set<vm_id> listed_;
    std::set<vm_id> seen_;
    std::map<vm_id, incarnation_number> known_incarnations_;
    std::map<admission_number, decision_handler> handlers_;
    admission_number last_admission_ = 0;
    trial_counts counts_;
    message_watcher watcher_;
};

}  // namespace radishpulley::quota
