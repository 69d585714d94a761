/// Chooses the orders to one engine, on the daemon that holds the right to give them.
///
/// Orders are sent one at a time. Each carries the number of orders that the engine has accepted so
/// far, so an order that arrives late fails instead of being applied to a state that it was not
/// meant for. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "routing/configuration.h"
#include "routing/endpoint.h"
#include "routing/load_schedule.h"
#include "routing/load_time_estimator.h"
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Limits and timeouts of a controller.
struct engine_controller_settings {
    /// Maximum number of adapters that load at one engine concurrently.
    std::uint32_t max_parallel_loads = 4;
    /// Idle time after which an adapter may be evicted; before that the report of a use may still
    /// be in transit.
    duration eviction_idle = std::chrono::milliseconds(250);
    /// Idle time after which an outdated version is replaced.
    duration replacement_idle = std::chrono::milliseconds(60);
    /// Age above which a daemon's report of running adapters is ignored.
    duration running_lifetime = std::chrono::milliseconds(6'000);
    /// Minimum residency of a newly loaded adapter that has not been used.
    duration min_residency = std::chrono::milliseconds(600);
    /// Averaging time constant of the use rate.
    duration usage_window = std::chrono::seconds(8);
    /// Factor on the expected load time up to which a missing adapter counts as a late load; beyond
    /// it, the load may have failed and the engine's report is required.
    double max_lateness = 3;
    /// Fraction of the elapsed load time after which a late load is expected to have ended.
    double late_load_step = 0.2;
    /// Time after its first use within which an adapter would be reported missing.
    duration confirmation_delay = std::chrono::milliseconds(400);
    /// Maximum time for which a load request is queued.
    duration max_queue_time = std::chrono::seconds(30);
    /// Backoff after an order that was not accepted.
    duration retry_delay = std::chrono::milliseconds(80);
    /// Delay until an engine's report reflects earlier orders.
    duration report_lag = std::chrono::milliseconds(300);
    /// Minimum time between two orders for a base model, on top of its load time.
    duration model_retry_delay = std::chrono::seconds(3);
};

enum class order_kind { load, unload };

/// An order to the engine.
struct engine_order {
    order_kind kind = order_kind::load;
    /// The base model itself if the adapter is empty.
    model_ref target;
    /// Version of the adapter to load; 0 is the newest.
    std::uint64_t version = 0;
    /// Number of orders that the engine must have accepted before this one.
    std::uint64_t expected_sequence = 0;
};

/// Outcome of an order.
enum class order_outcome {
    accepted,
    /// There was nothing to do.
    already_holds,
    /// Another order was accepted first, or the expected sequence differs.
    conflict,
    /// Another holder has sent an order with a higher fencing number.
    superseded,
    /// The engine does not support the order, or is a different engine.
    rejected,
    /// The order may have been accepted, or may be carried out later.
    no_answer
};

/// State that an engine reports on request.
struct engine_report {
    std::uint64_t order_sequence = 0;
    std::int64_t started_at_ms = 0;
    std::vector<held_model> models;
    /// Adapters that are loading, by model.
    std::vector<held_model> pending;
};

/// The adapter is usable or will be.
struct load_granted {
    duration ready_in{};
    std::uint64_t version = 0;
    /// Whether the engine has accepted the order already.
    bool ordered = false;
};

/// Reason why a load request is refused.
enum class load_obstacle {
    /// The engine does not hold the base model.
    no_model,
    /// The adapter is being evicted, or an old version of it is in use.
    being_changed,
    /// All adapter slots are in use.
    places_in_use,
    /// The load would finish too late because other loads are queued.
    many_waiting,
    /// The engine has requested a pause.
    engine_paused,
    /// The engine's availability zone is evacuated.
    zone_evacuated
};

/// The engine cannot load the adapter now.
struct load_refused {
    load_obstacle obstacle = load_obstacle::places_in_use;
    /// When the adapter could be usable, if that is known but later than the request can wait.
    std::optional<duration> ready_in;
};

using load_response = std::variant<load_granted, load_refused>;

/// Change to announce to other daemons after an order.
struct adapter_change {
    model_ref adapter;
    /// False if the adapter was evicted.
    bool held = false;
    duration ready_in{};
    std::uint64_t version = 0;
    /// For an adapter that is fetched from the weight store, the expected duration of such a load
    /// and the concurrent loads that it was estimated for; zero otherwise.
    duration load_time{};
    std::size_t concurrent_loads = 0;
};

/// Manages the adapter slots of one engine.
class engine_controller {
public:
    /// `load_times` is used and updated by all controllers of a daemon and must outlive them.
    engine_controller(endpoint_id engine, engine_capacity capacity, adapter_load_times& load_times,
                      engine_controller_settings settings = {});

    const endpoint_id& engine() const { return engine_; }

    /// Applies the engine's directory entry. The entry is delayed, so only a restart and the base
    /// models are taken from it.
    void on_entry(const endpoint& it);
    /// Records that the engine refused a request because it does not hold the adapter.
    void on_missing(const model_ref& adapter, time_point now);
    /// Applies the report that `needs_report()` asks for.
    void on_report(const engine_report& it, time_point now);
    /// Records that the engine did not answer the request for a report.
    void on_report_lost(time_point now);
    /// Records an announced version of an adapter.
    void on_version(const model_ref& adapter, std::uint64_t version);
    /// Records that a daemon sent this engine a request for the adapter.
    void on_use(const model_ref& adapter, time_point now);
    /// Records the adapters that a daemon's requests are running on at this engine.
    void on_running(const vm_id& daemon, const std::vector<model_ref>& adapters, time_point now);
    /// Handles a load request for an adapter, on behalf of a request that waits for at most
    /// `max_wait`. `fleet_loads` is the number of adapters that are loading at all engines. A load
    /// that would finish too late is refused and not ordered.
    load_response on_load_request(const model_ref& adapter, std::size_t fleet_loads, time_point now,
                                  duration max_wait = duration::max());

    /// Returns the loads that are expected to end notably later than announced.
    std::vector<adapter_change> take_postponed(time_point now);
    /// Evaluates loads whose adapters were used without being reported missing.
    void advance(time_point now);

    /// Number of adapters that the engine holds or loads, and number of those that requests are
    /// running on.
    std::size_t adapter_count() const { return slots_.size(); }
    std::size_t running_count(time_point now) const;

    /// Returns the order to send now and marks it as outstanding.
    std::optional<engine_order> next_order(time_point now);
    /// Applies the outcome of the outstanding order. Returns the resulting change.
    std::optional<adapter_change> on_outcome(order_outcome outcome, std::size_t fleet_loads,
                                             time_point now);
    /// Whether the engine's report is required before the next order.
    bool needs_report(time_point now) const;
    /// Whether an order is pending or outstanding, or a report is required.
    bool has_work(time_point now) const;

private:
    /// A load whose duration is not known yet.
    struct observed_load {
        time_point ordered_at{};
        /// Expected duration when the order was given.
        duration expected{};
        /// Concurrent loads of all engines, including this one.
        std::size_t concurrent_loads = 1;
        bool is_fetched = false;
        std::optional<time_point> first_use;
    };
    struct adapter_slot {
        bool leaving = false;
        time_point ready_at{};
        /// The ready time that other daemons were told.
        time_point announced_ready_at{};
        std::optional<observed_load> load;
        time_point last_use{};
        std::uint64_t version = 0;
        /// Exponential average of uses per second.
        double rate = 0;
        bool used = false;
    };
    struct pending_load {
        model_ref adapter;
        /// When the last request that waits for the adapter gives up.
        time_point wanted_until{};
    };

    /// Requests a report because the engine's state differs from the expected one.
    void request_report(time_point now);
    /// Answers a load request for an adapter that has a slot already.
    load_response response_for_present(const model_ref& adapter, adapter_slot& it,
                                       std::size_t fleet_loads, time_point now) const;
    /// Answers a load request for an adapter that waits at `queue_position`, or would.
    load_response response_for_queued(const model_ref& adapter, std::size_t queue_position,
                                      std::size_t fleet_loads, time_point now,
                                      duration max_wait) const;
    void merge_reported(const engine_report& it, time_point now, std::set<model_ref>& held);
    void merge_adapter(const model_ref& name, std::uint64_t version, bool is_pending,
                       time_point now);
    void postpone(adapter_slot& it, duration elapsed, time_point now);
    /// Whether the adapter may be unloaded as soon as it is idle, and since when it counts as idle.
    std::optional<time_point> evictable_at(const model_ref& adapter, const adapter_slot& it,
                                           time_point now) const;
    load_schedule schedule(time_point now) const;
    void reset();
    std::size_t loads_under_way(time_point now) const;
    std::size_t free_slots() const;
    double decayed_use_rate(const adapter_slot& it, time_point now) const;
    std::optional<model_ref> choose_victim(time_point now) const;
    bool is_outdated(const model_ref& adapter, const adapter_slot& it) const;
    std::optional<model_ref> find_outdated_adapter(time_point now) const;
    std::optional<engine_order> next_adapter_order(time_point now);
    std::optional<engine_order> choose_order(time_point now);
    void drop_settled_requests(time_point now);
    bool is_cached(const model_ref& adapter) const;
    duration expected_load_time(const model_ref& adapter, std::size_t fleet_loads) const;
    void add_to_cache(const model_ref& adapter);
    bool is_running(const model_ref& adapter, time_point now) const;
    adapter_change apply_load(const engine_order& order, std::size_t fleet_loads, time_point now);
    void apply_model_load(const engine_order& order, bool is_loaded, time_point now);
    adapter_change apply_unload(const engine_order& order, bool at_once, time_point now);

    endpoint_id engine_;
    engine_capacity capacity_;
    engine_controller_settings settings_;
    adapter_load_times& load_times_;
    std::int64_t started_at_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::set<std::string> models_;
    std::map<model_ref, adapter_slot> slots_;
    std::map<model_ref, std::uint64_t> versions_;
    struct running_report {
        std::set<model_ref> adapters;
        time_point received_at{};
    };
    std::map<vm_id, running_report> running_;
    std::deque<pending_load> pending_loads_;
    std::deque<model_ref> cached_;
    std::optional<engine_order> outstanding_order_;
    /// The sequence of accepted orders is unknown until the engine reports it.
    bool needs_report_ = true;
    time_point report_after_{};
    time_point last_order_at_{};
    time_point retry_at_{};
    time_point model_ordered_at_ = time_point::min();
};

}  // namespace radishpulley::routing
