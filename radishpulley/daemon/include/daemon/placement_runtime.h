/// Runs adapter placement: this daemon's router, and the keepers of the engines that it holds.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "daemon/message_bus.h"
#include "daemon/worker_pool.h"
#include "http/client.h"
#include "model/configuration.h"
#include "ownership/holder_guard.h"
#include "ownership/ownership_policy.h"
#include "ownership/ownership_store.h"
#include "placement/load_budget.h"
#include "placement/router.h"
#include "placement/slot_controller.h"

namespace radishpulley::daemon {

/// Where a request may go.
using placement_outcome = std::variant<placement::send_request, placement::refuse_request>;

/// Table of engines, pins and holdings. Lock order: its lock is taken before the bus's; handlers
/// and calls to engines and to the object API run on workers without it.
class placement_runtime {
public:
    using outcome_handler = std::function<void(const placement_outcome&)>;

    placement_runtime(vm_incarnation self, zone_id zone, region_id region, duration longest_request,
                      const clock& time, object_api::object_store& api, message_bus& bus,
                      worker_pool& workers);

    /// Starts the timers.
    void start();

    void configure(const model::configuration& now);
    void on_vms(const std::vector<object_api::vm_entry>& vms);
    /// A daemon showed that it runs.
    void on_alive(const vm_incarnation& who);
    void on_message(const placement::message& it);

    /// A daemon says that it leaves: it gets nothing more to hold.
    void on_leaving(const vm_incarnation& who);

    /// Asks for a place on an engine of `service`; `done` gets one outcome, and another one after
    /// not_sent().
    void place(const service_id& service, const placement::placement_request& it,
               outcome_handler done);
    /// The request has certainly ended at its engine.
    void ended(const request_id& id);
    /// No byte of the request left this VM; it is placed again.
    void not_sent(const request_id& id);
    void cancelled(const request_id& id);
    void adapter_missing(const endpoint_id& endpoint, const placement::adapter_ref& adapter);
    /// A call to the endpoint failed: it gets no new requests for a while.
    void endpoint_failed(const endpoint_id& endpoint);

    /// Hands over every engine that it can. Call it until held() is 0 or time is up.
    void leave();
    std::size_t held() const;
    std::vector<ownership::holding> holdings() const;

private:
    struct engine {
        model::endpoint configured;
        std::shared_ptr<http::client> client;
        time_point unhealthy_until{};
    };
    struct held_engine {
        std::unique_ptr<placement::slot_controller> keeper;
        bool report_pending = false;
    };

    // A request that waits for a place or has one.
    struct placed_request {
        service_id service;
        placement::placement_request request;
        outcome_handler handler;
        time_point since{};
    };

    placement::router& router_of(const service_id& service);
    placement::router* find_router(const endpoint_id& engine);
    placement::router* find_router(const request_id& id);
    void apply(placement::router_decisions out);
    void apply(const placement::send_request& it);
    void apply(const placement::refuse_request& it);
    bool is_waiting_for_holders(const service_id& service) const;
    void place_again(const request_id& id);
    void send_handoffs();
    void apply(const endpoint_id& engine, placement::slot_controller_decisions out);
    void refuse_as_not_holder(const placement::pin_request& it);
    void drop_ended_daemons(time_point now);
    void apply_budget();
    void deliver(const vm_id& to, const placement::message& it);
    void dispatch_queued();
    void dispatch(const placement::message& it);
    void send_engine_order(const placement::engine_order& it);
    void send_to_weight_store(const placement::message& it);
    void update_router(time_point now);
    void update_holdings(time_point now);
    void start_term(const ownership::holding& it, time_point now);
    void end_term(const ownership::holding_id& id);
    void tick();
    void poll_reports();
    void poll_report(const endpoint_id& id, const std::shared_ptr<http::client>& client);
    void poll_ownership();
    void read_shards(const std::set<ownership::shard_index>& indexes);
    void write_plans();
    void hand_over();
    void take_shard(const ownership::shard& it, time_point read_began);
    bool is_mine(const ownership::holding_id& id);

    const vm_incarnation self_;
    const duration longest_request_;
    const clock& clock_;
    message_bus& bus_;
    worker_pool& workers_;
    object_api::object_store& api_;
    ownership::ownership_store store_;
    // Serializes reads and writes of the ownership table; taken before mutex_.
    std::mutex ownership_mutex_;
    object_api::store_revision ownership_revision_ = 0;

    mutable std::mutex mutex_;
    ownership::ownership_policy policy_;
    ownership::failure_detector vms_;
    ownership::holder_guard guard_;
    const zone_id zone_;
    const region_id region_;
    std::map<service_id, placement::router> routers_;
    std::map<endpoint_id, engine> engines_;
    std::map<endpoint_id, held_engine> held_;
    // Daemons that may have pins or permits here.
    std::set<vm_incarnation> daemons_;
    std::optional<placement::load_budget> budget_;
    std::map<placement::adapter_ref, std::string> sources_;
    std::map<request_id, placed_request> requests_;
    // What the next holders of engines need, until there is one to send it to.
    std::map<endpoint_id, placement::keeper_handoff> handoffs_;
    std::deque<placement::message> local_;
    bool dispatching_ = false;
    bool leaving_ = false;
};

}  // namespace radishpulley::daemon
