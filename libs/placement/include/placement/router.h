/// Daemon side: chooses an engine for each request and sends it only under a valid pin.
///
/// Pure: events and a clock in, decisions out.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// An engine as configured.
struct engine_info {
    endpoint_id endpoint;
    zone_id zone;
    region_id region;
    std::uint32_t concurrency = 16;
    bool draining = false;
};

/// Costs and limits of the router.
struct router_settings {
    /// Engines considered for one adapter.
    std::size_t candidates = 4;
    duration pin_validity = std::chrono::seconds(10);
    duration longest_request = std::chrono::seconds(120);
    /// Taken from every validity, against clocks that run at different rates.
    duration clock_margin = std::chrono::seconds(1);
    /// Pins are renewed when less than this is left.
    duration renew_before = std::chrono::seconds(4);
    /// A pin without requests is released after this time.
    duration idle_pin = std::chrono::seconds(5);
    /// Message without an answer is sent again after this time.
    duration answer_timeout = std::chrono::seconds(1);
    /// Cost of one more copy as time; a copy is made only above this gain.
    duration load_cost = std::chrono::milliseconds(1500);
    /// Rate of an adapter below which a further copy costs in proportion more.
    double copy_requests_per_second = 0.5;
    /// How long another engine is taken to keep an adapter that it granted.
    duration copy_memory = std::chrono::minutes(2);
    /// Shortest time between two messages about one pin.
    duration ask_spacing = std::chrono::milliseconds(100);
    /// Unanswered messages after which the holder counts as unreachable.
    std::size_t most_unanswered = 4;
    /// A request is refused when the wait for its adapter's load is expected to be longer. Waiting
    /// longer adds no loads to a weight store that is short of them.
    duration longest_load_wait = std::chrono::seconds(8);
    /// Cost of a request to another zone, and to another region, as time.
    duration zone_cost = std::chrono::milliseconds(5);
    duration region_cost = std::chrono::milliseconds(400);
    /// Gain of an engine that saw the prompt's prefix of late.
    duration prefix_gain = std::chrono::milliseconds(200);
    /// How long a prefix is expected to stay cached.
    duration prefix_life = std::chrono::minutes(2);
    /// Expected time of one request on a full engine, until some have ended.
    duration expected_run = std::chrono::seconds(4);
    /// Weight of the last request in the running mean of that time.
    double run_smoothing = 0.05;
    /// Time after which a window that keeps requests waiting is asked for anew.
    duration window_refresh = std::chrono::milliseconds(500);
    /// Most requests that wait at this daemon.
    std::size_t most_waiting = 2000;
    /// Share of the waiting places that one account may fill while others wait too.
    double account_share = 0.5;
};

/// A request to place.
struct placement_request {
    request_id id;
    client_account_id account;
    double weight = 1;
    adapter_ref adapter;
    /// Hash of the prompt's first part; 0 where unknown.
    std::uint64_t prefix = 0;
    /// The caller waits no longer than this.
    time_point deadline = time_point::max();
    /// Region from which most requests for this adapter come; empty where unknown.
    region_id home_region;
};

/// Send the request to the engine. It must have ended, or be cancelled, by `end_by`.
struct send_request {
    request_id request;
    endpoint_id endpoint;
    adapter_ref adapter;
    fencing_number fence = 0;
    /// Last moment at which the first byte may be sent; after it, call `on_not_sent`.
    time_point send_by{};
    time_point end_by{};
};

/// The request was not sent anywhere and will not be.
struct refuse_request {
    request_id request;
    duration retry_after{};
};

/// Send a message to the holder of `endpoint`.
struct send_to_holder {
    endpoint_id endpoint;
    vm_incarnation to;
    message body;
};

using router_decision = std::variant<send_request, refuse_request, send_to_holder>;
using router_decisions = std::vector<router_decision>;

/// Places the requests of one daemon. What it does not send waits here and is known not to run.
class router {
public:
    router(vm_incarnation self, zone_id zone, region_id region, router_settings settings);

    /// Replaces the engines; requests that wait for a removed or draining one are placed again.
    router_decisions configure(std::vector<engine_info> engines, time_point now);
    /// Takes the present holder of an engine; the name is empty while there is none.
    router_decisions on_holder(const endpoint_id& endpoint, const vm_incarnation& holder,
                               fencing_number fence, time_point now);
    router_decisions on_request(const placement_request& it, time_point now);
    /// The request has certainly ended at the engine: answered, failed or cancelled and confirmed.
    router_decisions on_request_ended(const request_id& id, time_point now);
    /// The request was not sent: no byte left this VM. It is placed again.
    router_decisions on_not_sent(const request_id& id, time_point now);
    /// The caller left a waiting request. Nothing happens where it was sent already.
    void on_cancelled(const request_id& id);
    /// The engine refused an adapter as not loaded, or answered with another one.
    router_decisions on_adapter_missing(const endpoint_id& endpoint, const adapter_ref& adapter,
                                        time_point now);
    router_decisions on_message(const message& it, time_point now);
    /// Call it every 100 ms to a second.
    router_decisions tick(time_point now);

    std::size_t waiting() const { return waiting_at_.size(); }
    std::size_t running() const { return running_.size(); }
    std::size_t pin_count() const { return pins_.size(); }
    /// Returns the candidate engines for an adapter, the preferred one first.
    const std::vector<endpoint_id>& candidates_for(const adapter_ref& adapter,
                                                   const region_id& home_region) const;

private:
    struct engine_view {
        engine_info info;
        vm_incarnation holder;
        fencing_number fence = 0;
        engine_digest state;
        std::uint32_t window = 1;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::map<std::uint64_t, time_point> prefixes;
        /// Adapters with waiting requests.
        std::set<adapter_ref> waiting_adapters;
        /// Adapters that its holder granted, and when.
        std::map<adapter_ref, time_point> copies;
    };
    struct pin_key {
        endpoint_id endpoint;
        adapter_ref adapter;

        friend bool operator<(const pin_key& a, const pin_key& b) {
            return std::tie(a.endpoint, a.adapter) < std::tie(b.endpoint, b.adapter);
        }
    };
    struct waiting_request {
        placement_request request;
        time_point since{};
    };
    struct choice {
        endpoint_id endpoint;
        duration wait{};
    };
    struct pin {
        /// Sent messages that have no answer yet.
        std::map<message_number, time_point> sent;
        message_number answered = 0;
        fencing_number fence = 0;
        time_point valid_until = time_point::min();
        time_point asked_at = time_point::min();
        time_point last_use{};
        std::uint32_t running = 0;
        std::uint32_t arrived = 0;
        duration expected_wait{};
        /// The wait for its load was taken as short enough.
        bool waits_for_load = false;
        /// Granted and not released since.
        bool held = false;
        std::vector<waiting_request> waiting;
    };
    struct running_request {
        placement_request request;
        pin_key key;
        time_point since{};
    };

    using pin_map = std::map<pin_key, pin>;

    std::vector<endpoint_id> rank_engines(const adapter_ref& adapter,
                                          const region_id& home_region) const;
    bool has_copy(const engine_view& engine, const adapter_ref& adapter, time_point now) const;
    duration copy_cost(const adapter_ref& adapter) const;
    void forget_old(time_point now);
    duration queue_wait(const engine_view& engine) const;
    duration cost_of(const engine_view& engine, std::size_t rank, const placement_request& it,
                     time_point now) const;
    std::optional<choice> choose(const placement_request& it, time_point now,
                                 const endpoint_id& avoid) const;
    bool crowded_out(const client_account_id& account) const;
    void place(const placement_request& it, time_point since, time_point now,
               const endpoint_id& avoid, router_decisions& out);
    void place_again(const pin_key& key, time_point now, router_decisions& out);
    std::vector<waiting_request> take_waiting(const pin_key& key, pin& it);
    void ask(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void release(const pin_key& key, pin& it, router_decisions& out);
    void flush(const endpoint_id& endpoint, time_point now, router_decisions& out);
    void send(const pin_key& key, pin& from, std::size_t position, time_point now,
              router_decisions& out);
    void refuse(const placement_request& it, duration wait, router_decisions& out) const;
    void expire_waiting(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void release_expired(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void maintain(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void note_state(const endpoint_id& endpoint, const engine_digest& state);
    void on_grant(const pin_grant& it, time_point now, router_decisions& out);
    void on_refusal(const pin_refusal& it, time_point now, router_decisions& out);
    void refuse_waiting(const pin_key& key, pin& it, duration wait, router_decisions& out);
    void on_recall(const pin_recall& it, time_point now, router_decisions& out);
    pin* find_pin(const endpoint_id& endpoint, const adapter_ref& adapter);

    vm_incarnation self_;
    zone_id zone_;
    region_id region_;
    router_settings settings_;
    std::map<endpoint_id, engine_view> engines_;
    pin_map pins_;
    std::map<request_id, running_request> running_;
    std::map<request_id, pin_key> waiting_at_;
    std::map<client_account_id, std::size_t> waiting_by_account_;
    /// Requests sent so far divided by the account's weight, as a virtual time.
    std::map<client_account_id, double> served_;
    double virtual_time_ = 0;
    /// Running mean of the requests' times.
    duration mean_run_;
    /// Highest rate that a holder stated for an adapter, of late.
    std::map<adapter_ref, double> rates_;
    mutable std::map<std::pair<adapter_ref, region_id>, std::vector<endpoint_id>> candidates_;
    message_number last_number_ = 0;
    time_point forgot_at_{};
};

}  // namespace radishpulley::placement
