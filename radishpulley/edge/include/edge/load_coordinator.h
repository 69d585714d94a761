/// Orders adapters onto engines: finds out who may order an engine, keeps the engines that this
/// daemon holds, and passes wishes on to the holders of the others.
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
#include "routing/engine_controller.h"
#include "routing/load_capacity_estimator.h"
#include "routing/adapter_usage_tracker.h"

namespace radishpulley::edge {

/// The part of the daemon that loads adapters.
class load_coordinator final : public gateway::load_broker {
public:
    load_coordinator(boost::asio::io_context& loop, const clock& time,
                     gateway::object_collections& store, gateway::engine_port& engines,
                     fleet_member& fleet, gateway::gateway& data_path,
                     bool endpoints_check_fencing);
    ~load_coordinator() override;

    void start();
    /// Asks the store again for the holders, because its answers may have been lost.
    void renew() { follower_.renew(); }
    /// Takes an engine's entry in the directory, after the data path took it.
    void on_endpoint(const routing::endpoint& it);
    void on_endpoint_removed(const endpoint_id& id);
    void on_version(const routing::model_ref& adapter, std::uint64_t version);
    void on_hint(const routing::hint_message& it);
    /// Sets whether engines refuse orders with an old fencing number, so that a suspected holder
    /// can be replaced.
    void set_endpoints_check_fencing(bool they_do) {
        endpoints_check_fencing_ = they_do;
        engines_changed_ = true;
    }
    /// The copy of the engines' holders.
    gateway::collection_follower& holders() { return follower_; }
    /// Sets what is called when the store has confirmed that copy.
    void set_on_holders_confirmed(std::function<void()> call) {
        on_holders_confirmed_ = std::move(call);
    }
    /// Engines that this VM orders.
    std::size_t engines_held() const { return kept_.size(); }
    /// Gives up all engines: this VM is leaving.
    void leave();

    bool request_load(const endpoint_id& engine, const routing::model_ref& adapter,
              duration patience) override;
    void note_request_start(const endpoint_id& engine, const routing::model_ref& adapter) override;
    void note_large_prefill() override { on_large_work_(); }
    /// Sets what is called when a long prompt was sent.
    void set_on_large_work(std::function<void()> call) { on_large_work_ = std::move(call); }
    void note_request_end(const endpoint_id& engine, const routing::model_ref& adapter) override;
    void note_adapter_missing(const endpoint_id& engine, const routing::model_ref& adapter) override;

private:
    struct kept_engine {
        routing::engine_controller keeper;
        bool busy = false;
    };

    void tick();
    /// Takes a shard that was read by a call that began at `read_began`.
    void on_shard_object(const gateway::stored_object& it, time_point read_began);
    void take_shard(const ownership::shard& it, time_point read_began);
    /// Reads the holders again after a pause of this process, in which it may have been replaced.
    void read_again();
    void ensure_policy();
    /// Returns what a model engine's service has room for, or null for other endpoints.
    const routing::engine_capacity* capacity_of(const routing::endpoint& it) const;
    void configure_policy();
    void plan(time_point now);
    void commit(const ownership::shard_update& update);
    void on_committed(const ownership::shard& next, const gateway::write_result& result,
                      time_point began);
    void hand_over(time_point now);
    void update_keepers();
    void pump(const endpoint_id& engine);
    void give(const endpoint_id& engine, const routing::engine_order& order,
              ownership::fencing_number fence);
    void tell(const endpoint_id& engine, const routing::adapter_change& change);
    /// An order was carried out: learns from it and tells the other daemons.
    void on_order_done(const endpoint_id& engine, routing::engine_controller& keeper,
                       routing::order_outcome outcome);
    /// A request found an adapter missing at an engine that this daemon keeps.
    void on_missing(const endpoint_id& engine, routing::engine_controller& keeper,
                    const routing::model_ref& adapter);
    /// Requests for adapters were sent to an engine that this daemon keeps.
    void on_use(const endpoint_id& engine, routing::engine_controller& keeper,
                const routing::model_ref& adapter);
    /// Tells the holders of uses at their engines.
    void flush_uses();
    void tell_uses(const endpoint_id& engine);
    std::optional<vm_incarnation> holder_of(const endpoint_id& engine) const;
    routing::load_response ask_keeper(const endpoint_id& engine, const routing::model_ref& adapter,
                                    duration patience);

    const clock& time_;
    gateway::object_collections& store_;
    gateway::engine_port& engines_;
    fleet_member& fleet_;
    gateway::gateway& data_path_;
    bool endpoints_check_fencing_;
    gateway::collection_follower follower_;
    boost::asio::steady_timer tick_timer_;
    bool has_list_ = false;
    bool is_reading_again_ = false;
    time_point read_again_at_ = time_point::min();
    /// Whether engines changed since the policy was configured, and what it was configured from.
    bool engines_changed_ = true;
    std::uint64_t known_fleet_ = 0;
    std::uint64_t known_configuration_ = 0;
    /// Whether something changed that decides which engines this VM orders.
    bool keepers_changed_ = true;
    time_point keepers_updated_{};
    std::optional<ownership::ownership_policy> policy_;
    std::optional<ownership::holder_guard> guard_;
    std::map<ownership::shard_index, ownership::shard> shards_;
    std::set<ownership::shard_index> being_written_;
    std::map<endpoint_id, kept_engine> kept_;
    std::map<routing::model_ref, std::uint64_t> versions_;
    routing::adapter_usage_tracker uses_;
    routing::load_capacity_estimator speed_;
    std::function<void()> on_large_work_ = [] {};
    std::function<void()> on_holders_confirmed_ = [] {};
    time_point flushed_at_{};
};

}  // namespace radishpulley::edge
