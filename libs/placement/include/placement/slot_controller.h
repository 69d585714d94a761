/// Holder side of one engine: what is loaded, who uses it, what to load and to evict.
///
/// Pure: events and a clock in, decisions out.
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

/// Limits of one engine's keeper.
struct slot_controller_settings {
    std::uint32_t slots = 8;
    std::uint32_t concurrency = 16;
    bool checks_fencing = false;
    /// How long a daemon may send new requests under a pin.
    duration pin_validity = std::chrono::seconds(10);
    /// Longest time from sending a request until it has certainly ended.
    duration longest_request = std::chrono::seconds(120);
    /// Added to all that is counted by another VM's clock.
    duration clock_margin = std::chrono::seconds(1);
    /// Longest time by which a report lags behind the engine.
    duration report_lag = std::chrono::seconds(5);
    /// Longest life of an order on the network.
    duration order_silence = std::chrono::seconds(10);
    /// An order whose answer was lost is given again after this time.
    duration order_retry = std::chrono::seconds(1);
    /// A wish that its daemon does not repeat is dropped after this time.
    duration wish_life = std::chrono::seconds(5);
    /// Permits are asked for again, and idle pins recalled again, after this time.
    duration permit_retry = std::chrono::seconds(1);
    /// Shortest wait before a failed load is tried again; doubles up to 16 times itself.
    duration failed_load_delay = std::chrono::seconds(1);
    /// Time within which an answer to a load is expected.
    duration expected_load = std::chrono::milliseconds(500);
    popularity_settings popularity;
    /// Wait after which an adapter in constant use gives up its slot: it is closed to new requests
    /// and evicted when those under way have ended.
    duration patience = std::chrono::seconds(8);
    /// An adapter is not closed before it stayed for this time.
    duration shortest_stay = std::chrono::seconds(20);
    /// Requests a second above which an adapter is loaded into a free slot before anybody asks.
    double prefetch_rate = 0.002;
    /// Loads of this engine a second that need no permit: its part of the fixed split.
    double guaranteed_loads_per_second = 0;
};

/// How a keeper's term began.
struct controller_term {
    fencing_number fence = 0;
    vm_incarnation self;
    /// Earlier holders that may still be running; no eviction until each ended or handed over.
    std::vector<vm_incarnation> suspects;
    /// True only for the first holder that an engine ever had.
    bool first = false;
};

/// Send a message to the daemon named in it.
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

using slot_controller_decision = std::variant<send_to_daemon, send_to_weight_store, send_engine_order>;
using slot_controller_decisions = std::vector<slot_controller_decision>;

/// Keeps the adapter slots of one engine for the length of one term.
///
/// An adapter is evicted only when no pin on it may be valid and no request under one may run.
/// Example: `auto out = keeper.on_pin_request(request, now);` then carry out each decision in
/// order. The caller asks `holder_guard::may_act` before it carries out an order or a grant.
class slot_controller {
public:
    slot_controller(endpoint_id endpoint, slot_controller_settings settings, controller_term term, time_point now);

    slot_controller_decisions on_pin_request(const pin_request& it, time_point now);
    slot_controller_decisions on_pin_release(const pin_release& it, time_point now);
    slot_controller_decisions on_report(const engine_report& it, time_point now);
    slot_controller_decisions on_order_result(const order_result& it, time_point now);
    slot_controller_decisions on_permit(const load_permit& it, time_point now);
    slot_controller_decisions on_handoff(const keeper_handoff& it, time_point now);
    /// The daemon's certain end: its pins end with the requests that it may have sent.
    slot_controller_decisions on_daemon_ended(const vm_incarnation& who, time_point now);
    /// A weight-store holder took over: permits of lower fencing numbers count no more.
    void on_weight_store_holder(fencing_number fence);
    /// Call it every 100 ms to a second.
    slot_controller_decisions tick(time_point now);

    /// Ends the term: no decisions from here on. Returns what the next holder needs.
    keeper_handoff hand_off(time_point now);

    /// Whether an order has been sent and may still take effect; a holder hands over after it.
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
        /// When the daemon's end became certain; the far future while it lives.
        time_point daemon_ended = time_point::max();
    };
    using pin_map = std::map<vm_incarnation, pin>;
    struct slot {
        slot_state state = slot_state::loading;
        time_point since{};
        time_point last_use{};
        /// The last order for it, and whether its answer is still to come.
        fencing_number order = 0;
        time_point ordered_at{};
        bool answered = true;
        bool answer_lost = false;
        time_point recalled_at = time_point::min();
        /// No new pins: it leaves as soon as nobody uses it.
        bool closing = false;
        std::uint32_t reported_active = 0;
        std::optional<load_permit> permit;
    };
    struct wish {
        pin_request request;
        time_point since{};
        time_point heard{};
    };
    struct demand {
        std::uint32_t requests = 0;
        time_point heard{};
    };
    struct failure {
        std::uint32_t count = 0;
        time_point retry_at{};
    };
    using wish_map = std::map<vm_incarnation, wish>;

    bool may_evict(time_point now) const;
    bool in_use(const adapter_ref& adapter, const slot& it, time_point now) const;
    bool quiet_for(const adapter_ref& adapter, time_point now) const;
    double need_of(const adapter_ref& adapter, time_point now) const;
    std::vector<adapter_ref> ready_loads(time_point now) const;
    std::optional<adapter_ref> choose_victim(time_point now) const;
    std::optional<adapter_ref> choose_recall(time_point now) const;
    std::optional<adapter_ref> choose_closing(time_point now) const;
    std::uint32_t window_for(const vm_incarnation& daemon) const;
    duration expected_wait() const;
    engine_digest digest() const;
    std::size_t evicting() const;
    void set_demand(const vm_incarnation& daemon, std::uint32_t requests, time_point now);

    void grant(const pin_request& it, time_point now, slot_controller_decisions& out);
    void refuse(const pin_request& it, pin_refusal_reason reason, duration wait,
                slot_controller_decisions& out) const;
    void refuse_wishes(const adapter_ref& adapter, pin_refusal_reason reason, duration wait,
                       slot_controller_decisions& out);
    void serve_wishes(const adapter_ref& adapter, time_point now, slot_controller_decisions& out);
    void recall(const adapter_ref& adapter, bool drain, slot_controller_decisions& out) const;
    void free_a_slot(const adapter_ref& wanted, time_point now, slot_controller_decisions& out);
    void reopen_slots(time_point now, slot_controller_decisions& out);
    void work(time_point now, slot_controller_decisions& out);
    void start_loads(time_point now, slot_controller_decisions& out);
    void make_room(time_point now, slot_controller_decisions& out);
    void request_permits(time_point now, slot_controller_decisions& out);
    void repeat_orders(time_point now, slot_controller_decisions& out);
    void raise_fence(const engine_report& it, time_point now, slot_controller_decisions& out);
    void give(order_kind kind, const adapter_ref& adapter, slot& where, time_point now,
              slot_controller_decisions& out);
    void finish_permit(slot& where, slot_controller_decisions& out) const;
    void return_permit(const load_permit& it, slot_controller_decisions& out) const;
    void on_load_result(const order_result& it, slot& where, time_point now, slot_controller_decisions& out);
    void note_load(const adapter_ref& adapter, time_point now);
    void on_evict_result(const order_result& it, slot& where, time_point now);
    void note_engine(const std::string& incarnation, time_point now, slot_controller_decisions& out);
    void adopt(const engine_report& it, time_point now);
    void compare(const engine_report& it, time_point now, slot_controller_decisions& out);
    void release_pins_of_ended(const engine_report& it, time_point now);
    void drop_ended(time_point now);
    void drop_permits(time_point now, slot_controller_decisions& out);
    void refill_own_loads(time_point now);

    endpoint_id endpoint_;
    slot_controller_settings settings_;
    controller_term term_;
    time_point evict_from_;
    /// Reports received before this moment may be older than the orders of earlier holders.
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
    /// Pins outlive slots: daemons trust them also when the engine lost the adapter.
    std::map<adapter_ref, pin_map> pins_;
    /// Requests that run or wait for the engine by daemon, and of all daemons.
    std::map<vm_incarnation, demand> demand_;
    std::uint32_t all_demand_ = 0;
    std::map<adapter_ref, wish_map> wishes_;
    std::map<adapter_ref, failure> failures_;
    /// Until when an order without an answer may still take effect.
    std::map<adapter_ref, time_point> stray_orders_;
    /// When an adapter last left its slot; reports from before may still show it.
    std::map<adapter_ref, time_point> left_at_;
    popularity popularity_;
    /// Running mean of the time between two loads while some are wished for.
    duration load_interval_;
    time_point last_load_{};
    std::vector<load_permit> permits_;
    std::map<message_number, time_point> permit_requests_;
    std::size_t permits_asked_ = 0;
    fencing_number store_fence_ = 0;
    message_number last_number_ = 0;
    std::pair<fencing_number, std::uint64_t> last_permit_;
    std::uint64_t order_count_ = 0;
    double own_loads_ = 0;
    time_point own_loads_at_;
    time_point pruned_at_{};
};

}  // namespace radishpulley::placement
