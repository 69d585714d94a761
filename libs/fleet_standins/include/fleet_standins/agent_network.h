/// Fleet agents joined by a fake transport and a fake object API on virtual time, for tests and
/// measurements of the decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_agent.h"
#include "standins/memory_object_store.h"
#include "tickets/ticket_store.h"

namespace radishpulley::fleet_standins {

/// One way delays, and how often a message waits for a retransmission.
struct network_settings {
    duration zone_delay = std::chrono::microseconds(300);
    duration region_delay = std::chrono::microseconds(1500);
    duration far_delay = std::chrono::milliseconds(8);
    duration api_delay = std::chrono::milliseconds(2);
    duration retransmission = std::chrono::milliseconds(220);
    double loss = 0;
    duration tick = std::chrono::milliseconds(50);
    std::uint64_t seed = 1;
};

/// One VM.
struct node {
    object_api::vm_entry entry;
    incarnation_number incarnation = 0;
    /// Empty while no process runs.
    std::unique_ptr<fleet::fleet_agent> agent;
    /// The machine is gone: nothing answers, also no refusal.
    bool vanished = false;
    bool is_cut_from_api = false;
    bool is_cut_from_peers = false;
    bool is_paused = false;
    /// Another VM took its place; it never starts again.
    bool is_replaced = false;
    /// Events that wait for the end of a pause.
    std::vector<fleet::event> waiting;
};

/// Runs events in the order of virtual time.
class agent_network {
public:
    using size_function = std::function<void(const vm_id& from, const fleet::message&)>;
    using in_force_function = std::function<void(const vm_id& vm, model::ticket_number number)>;
    using accept_function = std::function<void(const tickets::accept_result&)>;

    agent_network(fleet::fleet_settings fleet, network_settings network);

    /// Adds VMs and starts them; they see each other on the VM list at their next reading.
    void add_vms(const std::vector<object_api::vm_entry>& vms);
    /// Starts a process on a VM, with the next incarnation when the API answers.
    void start(const vm_id& vm);
    /// Ends the process; its connections end and its port refuses new ones.
    void stop(const vm_id& vm);
    void vanish(const vm_id& vm);
    void pause(const vm_id& vm);
    void resume(const vm_id& vm);
    /// The connection between two VMs goes silent for good, until a new one replaces it.
    void silence(const vm_id& a, const vm_id& b);
    /// The platform's list drops a VM; daemons read it at `read_vm_list`.
    void unlist(const vm_id& vm);
    void read_vm_list(const vm_id& vm);

    /// Offers a ticket through a VM; `done` is called when its daemon answers the operator.
    /// Returns false when the daemon may not commit now.
    bool offer(const vm_id& vm, const model::ticket& it, accept_function done = {});

    void run_for(duration time);
    /// Called every tick of the network.
    void on_tick(std::function<void()> check) { check_ = std::move(check); }
    /// Called when a VM puts a configuration in force.
    void on_in_force(in_force_function seen) { in_force_ = std::move(seen); }
    void on_send(size_function count) { count_ = std::move(count); }

    time_point now() const { return now_; }
    standins::memory_object_store& api() { return api_; }
    std::map<vm_id, node>& nodes() { return nodes_; }
    /// Nodes with a running process.
    std::vector<node*> running();
    /// True when all running nodes have `number` in force.
    bool converged(model::ticket_number number);
    std::size_t connections() const { return links_.size(); }

private:
    using pair_of_vms = std::pair<vm_id, vm_id>;
    struct link {
        std::uint64_t epoch = 0;
        bool silent = false;
        std::map<vm_id, time_point> last_arrival;
    };

    void at(time_point when, std::function<void()> what);
    void deliver(const vm_id& vm, incarnation_number incarnation, fleet::event it);
    void handle(node& it, const fleet::event& event);
    void run(node& it, fleet::action step);
    void connect(node& from, const vm_id& to);
    void close(const pair_of_vms& ends);
    void send(node& from, const fleet::send_to& it);
    bool reachable(const node& a, const node& b) const;
    bool api_reachable(const node& it) const { return !it.is_cut_from_api && !is_down(); }
    bool is_down() const { return api_down_; }
    duration delay(const node& a, const node& b) const;
    void probe(node& it, const fleet::probe_api& call);
    void read_head(node& it);
    void read_shard(node& it, const tickets::read_shard& call);
    void schedule_tick(const vm_id& vm, incarnation_number incarnation);
    static pair_of_vms ends_of(const vm_id& a, const vm_id& b);

public:
    void set_api_down(bool down);

private:
    const fleet::fleet_settings fleet_;
    const network_settings network_;
    standins::memory_object_store api_;
    virtual_clock store_clock_;
    tickets::ticket_store store_;
    std::mt19937_64 random_;
    std::map<vm_id, node> nodes_;
    std::vector<object_api::vm_entry> listed_;
    std::map<pair_of_vms, link> links_;
    std::multimap<time_point, std::function<void()>> queue_;
    std::function<void()> check_;
    size_function count_;
    in_force_function in_force_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t epoch_ = 0;
    incarnation_number last_incarnation_ = 0;
    bool api_down_ = false;
};

/// Returns `n` VMs spread evenly over `regions` with `zones` zones each.
std::vector<object_api::vm_entry> make_vms(std::size_t n, std::size_t regions, std::size_t zones);

}  // namespace radishpulley::fleet_standins
