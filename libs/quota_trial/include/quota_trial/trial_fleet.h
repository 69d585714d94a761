/// A simulated fleet of quota nodes that exchange messages under one virtual clock, with seeded
/// random faults.
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

/// Settings of a simulation.
struct trial_settings {
    std::uint64_t seed = 1;
    std::size_t vm_count = 9;
    std::size_t slot_count = 16;
    quota_policy policy;
    limits_by_account limits;
    /// Range of the one-way latency of a message.
    duration min_latency = std::chrono::milliseconds(1);
    duration max_latency = std::chrono::milliseconds(8);
    /// Probabilities that a message is lost, is duplicated, and is delayed by up to `max_lateness`.
    double loss = 0;
    double duplication = 0;
    double lateness = 0;
    duration max_lateness = std::chrono::seconds(6);
    /// Largest relative drift of a daemon's clock.
    double clock_drift = 0;
    /// Interval at which a daemon polls the slot table.
    duration table_period = std::chrono::milliseconds(500);
    /// Time until a VM that ended is removed from the platform's list.
    duration list_lag = std::chrono::seconds(5);
};

/// Counts of messages sent and of messages delivered.
struct trial_counts {
    std::uint64_t messages = 0;
    std::uint64_t loan_messages_handled = 0;
};

/// Runs the simulation. All times count from its start.
class trial_fleet {
public:
    using decision_handler = std::function<void(const admission_decision&)>;
    using message_watcher = std::function<void(const outgoing_message&)>;

    explicit trial_fleet(trial_settings settings);
    ~trial_fleet();

    duration now() const { return now_; }
    void at(duration when, std::function<void()> action);
    void run_until(duration end);

    /// Requests admission on a VM; `handler` receives the first decision other than `waiting`.
    /// Returns the admission number, or 0 if the VM is not running.
    admission_number admit(std::size_t vm, const client_account_id& account, token_amount size,
                           decision_handler handler);
    void settle(std::size_t vm, admission_number number, token_amount used);

    void kill(std::size_t vm);
    /// Restarts the daemon of a VM under the next incarnation.
    void replace(std::size_t vm);
    void pause(std::size_t vm, duration length);
    /// Removes a VM from the platform's list, whether it is running or not.
    void remove_from_list(std::size_t vm);
    void cut_off(std::size_t vm, bool from_peers, bool from_store);
    /// Distributes new limits to all VMs, each after a random delay of up to `max_delay`.
    void set_limits(const limits_by_account& limits, duration max_delay);

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
    void start(member& target);
    void poll_table(std::size_t vm, incarnation_number incarnation);
    void run_member(std::size_t vm, const std::function<quota_output(member&)>& step);
    void process_output(member& it, quota_output out);
    void send(member& from, const outgoing_message& message);
    void deliver(const vm_incarnation& from, const outgoing_message& message);
    void schedule_wake_up(member& target);
    fleet_view view_of(const member& it) const;
    duration random_duration(duration min, duration max);
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
