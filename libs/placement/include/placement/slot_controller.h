/// Holder side of placement for one engine: tracks loaded adapters and their pins, and decides
/// which adapters to load and to evict.
///
/// The controller has no side effects: it takes events with their time and returns decisions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "placement/messages.h"
#include "placement/popularity.h"

namespace radishpulley::placement {

/// Settings of one engine's slot controller.
struct slot_controller_settings {
    std::uint32_t slots = 8;
    std::uint32_t concurrency = 16;
    bool checks_fencing = false;
    /// Time during which a daemon may send new requests under a pin.
    duration pin_validity = std::chrono::seconds(10);
    /// Maximum time from the sending of a request until it has certainly ended.
    duration longest_request = std::chrono::seconds(120);
    /// Safety margin added to every time span that another VM's clock measures.
    duration clock_margin = std::chrono::seconds(1);
    /// Maximum delay of a report behind the engine's state.
    duration report_lag = std::chrono::seconds(5);
    /// Maximum time for which an order may be in transit.
    duration max_order_lifetime = std::chrono::seconds(10);
    /// Time after which an order without a response is issued again.
    duration order_retry = std::chrono::seconds(1);
    /// Time after which a waiting pin request is dropped if its daemon does not repeat it.
    duration waiting_request_ttl = std::chrono::seconds(5);
    /// Interval after which permits are requested again and idle pins are recalled again.
    duration permit_retry = std::chrono::seconds(1);
    /// Initial backoff before a failed load is retried. It doubles up to 16 times this value.
    duration failed_load_delay = std::chrono::seconds(1);
    /// Initial value of the mean load interval: the time within which a load is expected to
    /// complete.
    duration initial_load_interval = std::chrono::milliseconds(500);
    popularity_settings popularity;
    /// Wait after which an adapter in constant use must give up its slot: it drains, gets no new
    /// requests and is evicted when the running ones have ended.
    duration max_wait_before_draining = std::chrono::seconds(8);
    /// Minimum time for which an adapter stays loaded before it may drain.
    duration min_residency = std::chrono::seconds(20);
    /// Requests per second at or above which an adapter is prefetched into a free slot.
    double prefetch_rate = 0.002;
    /// Loads per second of this engine that need no permit: its fixed part of the weight store's
    /// capacity.
    double guaranteed_loads_per_second = 0;
};

/// Start of a slot controller's term.
struct controller_term {
    fencing_number fence = 0;
    vm_incarnation self;
    /// Earlier holders that may still be running. Nothing is evicted until each has ended or handed
    /// over.
    std::vector<vm_incarnation> suspects;
    /// Whether this is the first holder that the engine has ever had.
    bool first = false;
};

/// Send a message to the named daemon.
struct send_to_daemon {
    vm_incarnation to;
    message body;
};

/// Send a message to the weight store's holder.
struct send_to_weight_store {
    message body;
};

/// Send an order to the engine.
struct send_engine_order {
    engine_order order;
};

using slot_controller_decision =
    std::variant<send_to_daemon, send_to_weight_store, send_engine_order>;
using slot_controller_decisions = std::vector<slot_controller_decision>;

/// Controls the adapter slots of one engine for one term.
///
/// An adapter is evicted only when no pin on it can be valid and no request can run under one.
/// Example: `auto out = controller.on_pin_request(request, now);`, then carry out each decision
/// in order. The caller must check `holder_guard::may_act` before it carries out an order or a
/// grant.
class slot_controller {
public:
    slot_controller(endpoint_id endpoint, slot_controller_settings settings, controller_term term,
                    time_point now);

    slot_controller_decisions on_pin_request(const pin_request& it, time_point now);
    slot_controller_decisions on_pin_release(const pin_release& it, time_point now);
    slot_controller_decisions on_report(const engine_report& it, time_point now);
    slot_controller_decisions on_order_result(const order_result& it, time_point now);
    slot_controller_decisions on_permit(const load_permit& it, time_point now);
    slot_controller_decisions on_handoff(const keeper_handoff& it, time_point now);
    /// Records that a daemon has certainly ended. Its pins end with the requests that it may have
    /// sent.
    slot_controller_decisions on_daemon_ended(const vm_incarnation& who, time_point now);
    /// Records a new weight-store holder, which invalidates permits with lower fencing numbers.
    void on_weight_store_holder(fencing_number fence);
    /// Must be called at intervals between 100 ms and 1 s.
    slot_controller_decisions tick(time_point now);

    /// Ends the term; no decisions follow. Returns the state that the next holder needs.
    keeper_handoff hand_off(time_point now);

    /// Returns whether an issued order may still take effect. A holder hands over only when none
    /// can.
    bool orders_outstanding(time_point now) const;
    bool is_loaded(const adapter_ref& it) const;
    bool is_pinned(const adapter_ref& it, time_point now) const;
    std::size_t used_slots() const { return slots_.size(); }
    std::size_t pin_count() const;
    fencing_number fence() const { return term_.fence; }
    const endpoint_id& endpoint() const { return endpoint_; }

private:
    enum class slot_state { loading, loaded, evicting };
    struct pin {
        message_number number = 0;
        time_point hold_until{};
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        /// When the daemon's end became certain; the maximum value while it runs.
        time_point daemon_ended = time_point::max();
    };
    using pin_map = std::map<vm_incarnation, pin>;
    struct slot {
        slot_state state = slot_state::loading;
        time_point since{};
        time_point last_use_at{};
        /// The latest order for the slot. `is_answered` is false while its response is outstanding.
        fencing_number order = 0;
        time_point ordered_at{};
        bool is_answered = true;
        bool response_lost = false;
        time_point recalled_at = time_point::min();
        /// Whether the adapter gets no new pins and is evicted as soon as it is unused.
        bool draining = false;
        std::uint32_t reported_active_requests = 0;
        std::optional<load_permit> permit;
    };
    struct waiting_pin_request {
        pin_request request;
        time_point since{};
        time_point last_request_at{};
    };
    struct demand {
        std::uint32_t requests = 0;
        time_point last_request_at{};
    };
    struct failure {
        std::uint32_t count = 0;
        time_point retry_at{};
    };
    using waiting_request_map = std::map<vm_incarnation, waiting_pin_request>;

    bool may_evict(time_point now) const;
    bool in_use(const adapter_ref& adapter, const slot& it, time_point now) const;
    bool is_safe_from_late_orders(const adapter_ref& adapter, time_point now) const;
    double load_priority(const adapter_ref& adapter, time_point now) const;
    std::vector<adapter_ref> ready_loads(time_point now) const;
    std::optional<adapter_ref> choose_eviction(time_point now) const;
    std::optional<adapter_ref> choose_adapter_to_recall(time_point now) const;
    std::optional<adapter_ref> choose_adapter_to_drain(time_point now) const;
    std::uint32_t window_for(const vm_incarnation& daemon) const;
    duration expected_wait() const;
    engine_digest digest() const;
    std::size_t evicting_count() const;
    void set_demand(const vm_incarnation& daemon, std::uint32_t requests, time_point now);

    void grant(const pin_request& it, time_point now, slot_controller_decisions& out);
    void refuse(const pin_request& it, pin_refusal_reason reason, duration wait,
                slot_controller_decisions& out) const;
    void refuse_waiting_requests(const adapter_ref& adapter, pin_refusal_reason reason,
                                 duration wait, slot_controller_decisions& out);
    void grant_waiting_requests(const adapter_ref& adapter, time_point now,
                                slot_controller_decisions& out);
    void recall(const adapter_ref& adapter, bool drain, slot_controller_decisions& out) const;
    void free_slot(const adapter_ref& wanted_adapter, time_point now,
                   slot_controller_decisions& out);
    void reopen_slots(time_point now, slot_controller_decisions& out);
    void advance(time_point now, slot_controller_decisions& out);
    void start_loads(time_point now, slot_controller_decisions& out);
    void evict_for_loads(time_point now, slot_controller_decisions& out);
    void request_permits(time_point now, slot_controller_decisions& out);
    void repeat_orders(time_point now, slot_controller_decisions& out);
    void raise_engine_fence(const engine_report& it, time_point now,
                            slot_controller_decisions& out);
    void issue_order(order_kind kind, const adapter_ref& adapter, slot& slot_entry, time_point now,
                     slot_controller_decisions& out);
    void finish_permit(slot& slot_entry, slot_controller_decisions& out) const;
    void return_permit(const load_permit& it, slot_controller_decisions& out) const;
    void on_load_result(const order_result& it, slot& slot_entry, time_point now,
                        slot_controller_decisions& out);
    void update_load_interval(const adapter_ref& adapter, time_point now);
    void on_evict_result(const order_result& it, slot& slot_entry, time_point now);
    void update_engine_incarnation(const std::string& incarnation, time_point now,
                                   slot_controller_decisions& out);
    void adopt_reported_adapters(const engine_report& it, time_point now);
    void reconcile(const engine_report& it, time_point now, slot_controller_decisions& out);
    void release_pins_of_ended(const engine_report& it, time_point now);
    void drop_expired(time_point now);
    void drop_permits(time_point now, slot_controller_decisions& out);
    void refill_guaranteed_loads(time_point now);

    endpoint_id endpoint_;
    slot_controller_settings settings_;
    controller_term term_;
    time_point evict_from_;
    /// Reports received before this time may predate the orders of earlier holders.
    time_point adopt_from_;
    bool fence_raised_ = true;
    bool ended_ = false;
    bool adopted_ = false;
    std::string engine_incarnation_;
    std::set<std::string> past_incarnations_;
    std::uint64_t report_sequence_ = 0;
    std::uint32_t reported_running_ = 0;
    std::uint32_t reported_queued_ = 0;
    std::map<adapter_ref, slot> slots_;
    /// Pins outlive slots: daemons rely on them even if the engine has lost the adapter.
    std::map<adapter_ref, pin_map> pins_;
    /// Number of requests that run or wait for the engine, by daemon and in total.
    std::map<vm_incarnation, demand> demand_;
    std::uint32_t all_demand_ = 0;
    std::map<adapter_ref, waiting_request_map> waiting_requests_;
    std::map<adapter_ref, failure> failures_;
    /// Time until which an order without a response may still take effect.
    std::map<adapter_ref, time_point> unanswered_orders_until_;
    /// When an adapter last left its slot. Earlier reports may still list it.
    std::map<adapter_ref, time_point> unloaded_at_;
    popularity popularity_;
    /// Moving average of the time between two loads while pin requests wait.
    duration load_interval_;
    time_point last_load_{};
    std::vector<load_permit> permits_;
    std::map<message_number, time_point> permit_requests_;
    std::size_t permits_asked_ = 0;
    fencing_number store_fence_ = 0;
    message_number last_number_ = 0;
    std::pair<fencing_number, std::uint64_t> last_permit_;
    std::uint64_t order_count_ = 0;
    double guaranteed_loads_ = 0;
    time_point guaranteed_loads_refilled_at_;
    time_point pruned_at_{};
};

}  // namespace radishpulley::placement
