/// Coordinates adapter loads with the other daemons. Each engine has one holder, which alone sends
/// it orders; the holders are stored in the platform's store. Loads on engines that another VM
/// holds are requested from that VM.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "edge/fleet_member.h"
#include "gateway/collection_follower.h"
#include "gateway/engine_port.h"
#include "gateway/gateway.h"
#include "ownership/holder_guard.h"
#include "ownership/ownership_policy.h"
#include "routing/adapter_usage_tracker.h"
#include "routing/engine_controller.h"

namespace radishpulley::edge {

/// Decides and sends the orders to the engines that this daemon holds, and forwards load requests
/// for all others.
class load_coordinator final : public gateway::load_broker {
public:
    load_coordinator(boost::asio::io_context& loop, const clock& time,
                     gateway::object_collections& store, gateway::engine_port& engines,
                     fleet_member& fleet, gateway::gateway& data_path,
                     bool endpoints_check_fencing);
    ~load_coordinator() override;

    void start();
    /// Restarts the watch on the holders, because responses of the store may have been lost.
    void renew() { follower_.renew(); }
    /// Applies an engine's directory entry. The data path must have applied it before.
    void on_endpoint(const routing::endpoint& it);
    void on_endpoint_removed(const endpoint_id& id);
    void on_version(const routing::model_ref& adapter, std::uint64_t version);
    void on_hint(const routing::hint_message& it);
    /// Sets whether engines reject orders with an outdated fencing number. Only then can a holder
    /// be replaced on mere suspicion.
    void set_endpoints_check_fencing(bool check) {
        endpoints_check_fencing_ = check;
        engines_changed_ = true;
    }
    /// Sets for each service the VMs that are cut off from its endpoints; they hold no engine of it
    /// while others reach them.
    void set_cut_off_vms(std::map<service_id, std::set<vm_id>> it);
    /// Follower of the collection of engine holders.
    gateway::collection_follower& holders() { return follower_; }
    /// Sets the callback for each confirmation of that collection by the store.
    void set_on_holders_confirmed(std::function<void()> call) {
        on_holders_confirmed_ = std::move(call);
    }
    /// Number of engines that this VM holds.
    std::size_t engines_held() const { return held_engines_.size(); }
    /// Hands over all held engines, because this VM is shutting down.
    void leave();

    gateway::load_request_result request_load(const endpoint_id& engine,
                                              const routing::model_ref& adapter,
                                              duration max_wait) override;
    bool can_request_load(const endpoint_id& engine) const override;
    void note_load_unanswered(const endpoint_id& engine) override;
    void note_request_start(const endpoint_id& engine, const routing::model_ref& adapter) override;
    void note_large_prefill() override { on_large_prefill_(); }
    /// Sets the callback for a long prompt that was sent to an engine.
    void set_on_large_prefill(std::function<void()> call) { on_large_prefill_ = std::move(call); }
    void note_request_end(const endpoint_id& engine, const routing::model_ref& adapter) override;
    void note_adapter_missing(const endpoint_id& engine,
                              const routing::model_ref& adapter) override;

private:
    struct held_engine {
        routing::engine_controller controller;
        bool call_in_flight = false;
    };

    void tick();
    void update();
    /// Applies a stored shard that was read by a call started at `read_began`.
    void on_shard_object(const gateway::stored_object& it, time_point read_began);
    void apply_shard(const ownership::shard& it, time_point read_began);
    /// Reads the holders again after a pause of this process, during which another VM may have
    /// replaced it.
    void reread_holders();
    void ensure_policy();
    /// Adds the shards that the store's list lacks.
    void add_missing_shards();
    /// Raises the fencing numbers above those that were given out before the store was restored.
    void update_min_fence();
    /// Returns the capacity of a model engine, or null for other endpoints.
    const routing::engine_capacity* capacity_of(const routing::endpoint& it) const;
    void configure_policy();
    void plan(time_point now);
    void commit(const ownership::shard_update& update);
    void on_committed(const ownership::shard& next, const gateway::write_result& result,
                      time_point began);
    void hand_over(time_point now);
    void update_held_engines();
    void send_next_call(const endpoint_id& engine);
    void send_order(const endpoint_id& engine, const routing::engine_order& order,
                    ownership::fencing_number fence);
    void announce_change(const endpoint_id& engine, const routing::adapter_change& change);
    /// Updates the controller with an order's outcome and announces the change to all daemons.
    void apply_outcome(const endpoint_id& engine, routing::engine_controller& controller,
                       routing::order_outcome outcome);
    /// Records that a held engine refused a request because it lacks the adapter.
    void record_missing(const endpoint_id& engine, routing::engine_controller& controller,
                        const routing::model_ref& adapter);
    /// Tells all daemons of loads that take longer than announced.
    void announce_postponed_loads();
    /// Reports the adapter usage by requests of this daemon to the engines' holders.
    void flush_usage();
    void report_usage(const endpoint_id& engine);
    std::optional<vm_incarnation> holder_of(const endpoint_id& engine) const;
    /// Why nothing may be sent to the engine now, if so.
    std::optional<routing::load_obstacle> order_obstacle(const endpoint_id& engine,
                                                         time_point now) const;
    routing::load_response load_on_held_engine(const endpoint_id& engine,
                                               const routing::model_ref& adapter,
                                               duration max_wait);

    const clock& time_;
    gateway::object_collections& store_;
    gateway::engine_port& engines_;
    fleet_member& fleet_;
    gateway::gateway& data_path_;
    bool endpoints_check_fencing_;
    gateway::collection_follower follower_;
    boost::asio::steady_timer tick_timer_;
    bool has_holder_list_ = false;
    bool reread_in_flight_ = false;
    time_point next_reread_ = time_point::min();
    std::map<service_id, std::set<vm_id>> cut_off_vms_;
    /// Whether engines changed since the policy was configured, and the fleet changes and the
    /// configuration version that it was configured from.
    bool engines_changed_ = true;
    std::uint64_t configured_fleet_changes_ = 0;
    std::uint64_t configured_version_ = 0;
    /// Whether an input of update_held_engines() changed since it last ran.
    bool held_engines_stale_ = true;
    time_point held_engines_updated_{};
    std::optional<ownership::ownership_policy> policy_;
    std::optional<ownership::holder_guard> guard_;
    std::map<ownership::shard_index, ownership::shard> shards_;
    std::set<ownership::shard_index> writes_in_flight_;
    std::map<endpoint_id, held_engine> held_engines_;
    /// VMs that left a load request unanswered, and until when they are not asked again.
    std::map<vm_id, time_point> silent_holders_;
    std::map<routing::model_ref, std::uint64_t> versions_;
    routing::adapter_usage_tracker usage_;
    std::function<void()> on_large_prefill_ = [] {};
    std::function<void()> on_holders_confirmed_ = [] {};
    time_point last_flush_{};
};

}  // namespace radishpulley::edge
