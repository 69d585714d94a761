/// Decides the orders to one engine, on the daemon that holds the right to give them.
///
/// Orders go out one at a time, each under the number of orders that the engine has accepted so
/// far. An order that is carried out late then fails instead of acting on a state that it was not
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
#include "routing/request_attributes.h"

namespace radishpulley::routing {

/// Limits of a keeper.
struct keeper_settings {
    /// Adapters that may be on their way to one engine.
    std::uint32_t parallel_loads = 4;
    /// Time from an accepted order until the adapter is usable: fetched, and held of late.
    duration fetched_load = std::chrono::milliseconds(265);
    /// Fetches of all engines together that run at full speed.
    std::size_t full_speed_loads = 8;
    /// Most by which a load is expected to take longer while many run. Loads that are expected to
    /// be slow are counted as under way for longer, so that without a bound each would slow down
    /// the estimate of the next.
    double most_slowing = 3;
    duration warm_load = std::chrono::milliseconds(40);
    /// Idle time from which an adapter may make way: until then a use may not have been heard of.
    duration idle = std::chrono::milliseconds(250);
    /// Idle time from which an outdated version is replaced.
    duration replace_idle = std::chrono::milliseconds(60);
    /// Age from which a daemon's statement of what runs no longer counts.
    duration running_lifetime = std::chrono::milliseconds(6'000);
    /// Time for which a fresh adapter stays even without use.
    duration first_stay = std::chrono::milliseconds(600);
    /// Time over which uses are averaged.
    duration use_window = std::chrono::seconds(8);
    /// Time after its expected moment in which a missing adapter counts as late, and by which it is
    /// then expected again.
    duration late_load = std::chrono::milliseconds(400);
    duration late_load_step = std::chrono::milliseconds(60);
    /// Age of a wish from which nobody waits for it.
    duration wish_lifetime = std::chrono::milliseconds(1'500);
    /// Pause after an order that was not accepted.
    duration retry_delay = std::chrono::milliseconds(80);
    /// Time until an engine's report shows what it did before.
    duration report_lag = std::chrono::milliseconds(300);
    /// Time from an order for a base model until the next one.
    duration model_retry = std::chrono::seconds(3);
};

enum class order_kind { load, unload };

/// One order.
struct engine_order {
    order_kind kind = order_kind::load;
    /// Without an adapter, the base model itself.
    model_ref target;
    /// Version of the adapter to load; 0 is the newest.
    std::uint64_t version = 0;
    /// Orders that the engine must have accepted before this one.
    std::uint64_t expected_sequence = 0;
};

/// What became of an order.
enum class order_outcome {
    accepted,
    /// Nothing was to be done.
    already_holds,
    /// Another order came first, or the expected sequence differs.
    conflict,
    /// Another holder gave an order with a higher fencing number.
    superseded,
    /// The engine does not know the order, or is another one.
    rejected,
    /// It may have been accepted, or may be carried out later.
    no_answer
};

/// What an engine says of itself when asked.
struct engine_report {
    std::uint64_t order_sequence = 0;
    std::int64_t started_at_ms = 0;
    std::vector<held_model> models;
    /// Adapters on their way, by model.
    std::vector<held_model> pending;
};

/// The adapter is or will be usable.
struct load_granted {
    duration ready_in{};
    std::uint64_t version = 0;
    /// The engine has accepted the order already.
    bool ordered = false;
};

/// Why a wish is refused.
enum class load_obstacle {
    /// The base model is not there.
    no_model,
    /// The adapter is leaving, or a replaced version of it is in use.
    being_changed,
    /// Every place is in use.
    places_in_use,
    /// It would come too late, because others wait already.
    many_waiting,
    /// The engine asked its holder for a pause.
    engine_paused
};

/// The engine has no room for it now.
struct load_refused {
    load_obstacle obstacle = load_obstacle::places_in_use;
};

using load_response = std::variant<load_granted, load_refused>;

/// What other daemons should know after an order.
struct adapter_change {
    model_ref adapter;
    /// False where it left.
    bool held = false;
    duration ready_in{};
    std::uint64_t version = 0;
    /// It comes from the weight store and not from the engine's own copies.
    bool is_fetched = false;
};

/// Keeps the adapter places of one engine.
class engine_controller {
public:
    engine_controller(endpoint_id engine, engine_capacity capacity, keeper_settings settings = {});

    const endpoint_id& engine() const { return engine_; }

    /// Takes the engine's entry in the directory, which is late: only a restart and base models
    /// are read from it.
    void on_entry(const endpoint& it);
    /// The engine refused a request because it does not hold the adapter.
    void on_missing(const model_ref& adapter, time_point now);
    /// Sets how many fetches of all engines together run at full speed.
    void set_full_speed_loads(std::size_t n) { settings_.full_speed_loads = n; }
    /// Takes an answer to `needs_report()`.
    void on_report(const engine_report& it, time_point now);
    /// The engine did not answer when asked.
    void on_report_lost(time_point now);
    /// Takes an announced version; `now` is when it was announced.
    void on_version(const model_ref& adapter, std::uint64_t version);
    /// A request for the adapter was sent to this engine, by any daemon.
    void on_use(const model_ref& adapter, time_point now);
    /// Takes the adapters that a daemon's requests run on at this engine now.
    void on_running(const vm_id& daemon, const std::vector<model_ref>& adapters, time_point now);
    /// Somebody has a request for an adapter that the engine does not hold, and waits for at most
    /// `patience`. `fleet_loads` counts the adapters on their way to all engines. What would come
    /// too late is refused and not loaded.
    load_response on_load_request(const model_ref& adapter, std::size_t fleet_loads, time_point now,
                        duration patience = duration::max());

    /// Adapters that the engine holds or loads, and those of them that requests run on.
    std::size_t adapter_count() const { return places_.size(); }
    std::size_t running_count(time_point now) const;

    /// Returns the order to give now and takes it as given.
    std::optional<engine_order> next_order(time_point now);
    /// Takes the outcome of the order that was given last. Returns what changed.
    std::optional<adapter_change> on_outcome(order_outcome outcome, std::size_t fleet_loads,
                                             time_point now);
    /// Whether the engine must be asked for its state before the next order.
    bool needs_report(time_point now) const;
    /// Whether some order waits to be given.
    bool has_work(time_point now) const;

private:
    struct place {
        bool leaving = false;
        time_point ready_at{};
        time_point last_use{};
        std::uint64_t version = 0;
        /// Exponential average of uses a second.
        double rate = 0;
        bool used = false;
    };
    struct wish {
        model_ref adapter;
        time_point since{};
    };

    /// What the engine holds is not what this keeper thinks.
    void on_doubt(time_point now);
    /// Answers a wish for an adapter that has a place already.
    load_response answer_for(const model_ref& adapter, place& it, std::size_t fleet_loads,
                           time_point now) const;
    void adopt(const std::vector<held_model>& models, time_point ready_at,
               std::set<model_ref>& held);
    void reset();
    std::size_t loads_under_way(time_point now) const;
    std::size_t room() const;
    double rate_of(const place& it, time_point now) const;
    std::optional<model_ref> choose_victim(time_point now) const;
    bool is_outdated(const model_ref& adapter, const place& it) const;
    std::optional<model_ref> outdated(time_point now) const;
    std::optional<engine_order> order_for_wishes(time_point now);
    std::optional<engine_order> decide(time_point now);
    void drop_settled_wishes(time_point now);
    bool has_copy(const model_ref& adapter) const;
    duration load_time(const model_ref& adapter, std::size_t fleet_loads) const;
    void remember_copy(const model_ref& adapter);
    bool is_running(const model_ref& adapter, time_point now) const;
    adapter_change note_load(const engine_order& order, std::size_t fleet_loads, time_point now);
    void note_model_load(const engine_order& order, bool is_there, time_point now);
    adapter_change note_unload(const engine_order& order, bool at_once, time_point now);

    endpoint_id engine_;
    engine_capacity capacity_;
    keeper_settings settings_;
    std::int64_t started_at_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::set<std::string> models_;
    std::map<model_ref, place> places_;
    std::map<model_ref, std::uint64_t> versions_;
    struct running_at {
        std::set<model_ref> adapters;
        time_point heard{};
    };
    std::map<vm_id, running_at> running_;
    std::deque<wish> wishes_;
    std::deque<model_ref> copies_;
    std::optional<engine_order> given_;
    /// What the engine has accepted so far is known from its report alone.
    bool needs_report_ = true;
    time_point report_after_{};
    time_point last_order_at_{};
    time_point quiet_until_{};
    time_point model_ordered_at_ = time_point::min();
};

}  // namespace radishpulley::routing
