/// Daemon side of placement: chooses an engine for each request and sends it only under a valid
/// pin.
///
/// The router has no side effects: it takes events with their time and returns decisions.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "placement/messages.h"

namespace radishpulley::placement {

/// Configuration of an engine.
struct engine_info {
    endpoint_id endpoint;
    zone_id zone;
    region_id region;
    std::uint32_t concurrency = 16;
    bool draining = false;
};

/// Costs and limits of the router.
struct router_settings {
    /// Number of candidate engines per adapter.
    std::size_t candidates = 4;
    duration pin_validity = std::chrono::seconds(10);
    duration longest_request = std::chrono::seconds(120);
    /// Safety margin subtracted from every validity, because clocks run at different rates.
    duration clock_margin = std::chrono::seconds(1);
    /// Remaining validity below which a pin is renewed.
    duration renew_before = std::chrono::seconds(4);
    /// Time after which a pin without requests is released.
    duration idle_pin_timeout = std::chrono::seconds(5);
    /// Time after which a message without a response is sent again.
    duration answer_timeout = std::chrono::seconds(1);
    /// Cost of a further copy of an adapter, as time. A copy is loaded only if it saves more than
    /// that.
    duration load_cost = std::chrono::milliseconds(1500);
    /// Requests per second of an adapter below which the cost of a further copy rises inversely to
    /// the rate.
    double copy_reference_rate = 0.5;
    /// Time for which an engine is assumed to keep an adapter after it granted a pin.
    duration copy_ttl = std::chrono::minutes(2);
    /// Minimum interval between two messages about one pin.
    duration min_message_interval = std::chrono::milliseconds(100);
    /// Number of unanswered messages above which the holder counts as unreachable.
    std::size_t max_unanswered = 4;
    /// Maximum expected wait for a load; a request is refused if the wait is expected to be longer.
    /// A longer wait does not increase the capacity of an overloaded weight store.
    duration max_load_wait = std::chrono::seconds(8);
    /// Cost of a request to another zone and to another region, as time.
    duration zone_cost = std::chrono::milliseconds(5);
    duration region_cost = std::chrono::milliseconds(400);
    /// Gain of an engine that recently processed the prompt's prefix, as time.
    duration prefix_cache_gain = std::chrono::milliseconds(200);
    /// Time for which a prefix is expected to stay cached.
    duration prefix_ttl = std::chrono::minutes(2);
    /// Initial value of the mean run time of a request on a full engine.
    duration initial_run_time = std::chrono::seconds(4);
    /// Weight of the latest request in the moving average of the run time.
    double run_time_smoothing = 0.05;
    /// Interval after which a daemon requests a new window while requests wait for one.
    duration window_refresh_interval = std::chrono::milliseconds(500);
    /// Maximum number of requests that wait at this daemon.
    std::size_t max_waiting = 2000;
    /// Share of `max_waiting` that one account may use while other accounts also wait.
    double max_account_share = 0.5;
};

/// A request to place.
struct placement_request {
    request_id id;
    client_account_id account;
    double weight = 1;
    adapter_ref adapter;
    /// Hash of the prompt's prefix; 0 if unknown.
    std::uint64_t prefix = 0;
    /// Time until which the caller waits.
    time_point deadline = time_point::max();
    /// Region from which most requests for this adapter come; empty if unknown.
    region_id home_region;
};

/// Send the request to the engine. It must have ended or be cancelled by `end_by`.
struct send_request {
    request_id request;
    endpoint_id endpoint;
    adapter_ref adapter;
    fencing_number fence = 0;
    /// Latest time at which the first byte may be sent. If it has passed, call `on_not_sent`.
    time_point send_by{};
    time_point end_by{};
};

/// Refuse the request, which was not sent and will not be.
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

/// Places the requests of one daemon. Requests that it has not sent wait here and have not run.
class router {
public:
    router(vm_incarnation self, zone_id zone, region_id region, router_settings settings);

    /// Replaces the engines. Requests that wait for a removed or draining engine are placed again.
    router_decisions configure(std::vector<engine_info> engines, time_point now);
    /// Sets the current holder of an engine; its VM id is empty if there is none.
    router_decisions on_holder(const endpoint_id& endpoint, const vm_incarnation& holder,
                               fencing_number fence, time_point now);
    router_decisions on_request(const placement_request& it, time_point now);
    /// The request has certainly ended at the engine: it was answered, failed, or its cancellation
    /// was confirmed.
    router_decisions on_request_ended(const request_id& id, time_point now);
    /// No byte of the request left this VM. It is placed again.
    router_decisions on_not_sent(const request_id& id, time_point now);
    /// The caller cancelled a waiting request. Has no effect if the request was already sent.
    void on_cancelled(const request_id& id);
    /// The engine reported that the adapter is not loaded, or responded with another adapter.
    router_decisions on_adapter_missing(const endpoint_id& endpoint, const adapter_ref& adapter,
                                        time_point now);
    router_decisions on_message(const message& it, time_point now);
    /// Must be called at intervals between 100 ms and 1 s.
    router_decisions tick(time_point now);

    std::size_t waiting() const { return waiting_at_.size(); }
    std::size_t running() const { return running_.size(); }
    std::size_t pin_count() const { return pins_.size(); }
    /// Returns the candidate engines of an adapter in order of preference.
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
        /// Adapters for which its holder granted a pin, and when.
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
    struct engine_choice {
        endpoint_id endpoint;
        duration wait{};
    };
    struct pin {
        /// Send times of messages without a response.
        std::map<message_number, time_point> unanswered;
        message_number last_answered = 0;
        fencing_number fence = 0;
        time_point valid_until = time_point::min();
        time_point last_request_at = time_point::min();
        time_point last_use{};
        std::uint32_t running = 0;
        std::uint32_t arrived = 0;
        duration expected_wait{};
        /// Whether the expected wait for the load was accepted as short enough.
        bool load_wait_accepted = false;
        /// Whether the pin was granted and not released since.
        bool is_granted = false;
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
    void drop_stale_entries(time_point now);
    duration queue_wait(const engine_view& engine) const;
    duration cost_of(const engine_view& engine, std::size_t rank, const placement_request& it,
                     time_point now) const;
    std::optional<engine_choice> choose_engine(const placement_request& it, time_point now,
                                               const endpoint_id& avoid) const;
    bool is_queue_full_for(const client_account_id& account) const;
    void place(const placement_request& it, time_point since, time_point now,
               const endpoint_id& avoid, router_decisions& out);
    void reroute_waiting(const pin_key& key, time_point now, router_decisions& out);
    std::vector<waiting_request> take_waiting(const pin_key& key, pin& it);
    void request_pin(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void release(const pin_key& key, pin& it, router_decisions& out);
    void flush(const endpoint_id& endpoint, time_point now, router_decisions& out);
    void send(const pin_key& key, pin& from, std::size_t position, time_point now,
              router_decisions& out);
    void refuse(const placement_request& it, duration wait, router_decisions& out) const;
    void expire_waiting(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void release_expired(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void maintain(const pin_key& key, pin& it, time_point now, router_decisions& out);
    void update_engine_state(const endpoint_id& endpoint, const engine_digest& state);
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
    /// Virtual time of each account: the number of sent requests divided by the account's weight.
    std::map<client_account_id, double> account_virtual_time_;
    double virtual_time_ = 0;
    /// Moving average of the run time of requests.
    duration mean_run_;
    /// Latest request rate that a holder reported for an adapter.
    std::map<adapter_ref, double> rates_;
    mutable std::map<std::pair<adapter_ref, region_id>, std::vector<endpoint_id>> candidates_;
    message_number last_number_ = 0;
    time_point last_cleanup_at_{};
};

}  // namespace radishpulley::placement
