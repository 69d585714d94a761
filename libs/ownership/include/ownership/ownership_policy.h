/// Decides who should hold what. Pure: copies of the table and a clock in, planned updates out.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "ownership/holding.h"
#include "ownership/failure_detector.h"

namespace radishpulley::ownership {

/// How an earlier holder of a thing can be replaced.
enum class replacement_rule {
    /// On suspicion: whoever obeys the holder refuses old fencing numbers.
    on_suspicion,
    /// Only after its certain end and a silence for orders that are still on their way.
    on_confirmed_end
};

/// One thing that must have a holder.
struct holding_spec {
    holding_id id;
    replacement_rule rule = replacement_rule::on_confirmed_end;
    /// VMs that are near it and come first; where none of them can hold it, any may.
    std::set<vm_id> near = {};
};

/// Limits of the policy.
struct ownership_settings {
    shard_index shards = 16;
    /// Longest life of an order on the network.
    duration order_silence = std::chrono::seconds(30);
    /// The VM ranked n-th for a shard writes after n times this delay.
    duration rank_delay = std::chrono::seconds(2);
    /// Shortest time between two hand-overs for balance.
    duration balance_interval = std::chrono::minutes(1);
    /// Holdings above the mean that a VM may keep before it hands over for balance.
    std::size_t balance_slack = 2;
};

/// A new holder for one holding, or none.
struct assignment {
    holding_id id;
    /// The update applies only while the entry still has this number.
    fencing_number expected_fence = 0;
    vm_incarnation holder;
    /// Earlier holders that may still be running.
    std::vector<vm_incarnation> suspects;
};

/// One conditional update of one object.
struct shard_update {
    shard_index index = 0;
    std::vector<assignment> assignments;
};

/// Plans updates of the ownership table.
///
/// Any VM may write any assignment: the conditional update makes races harmless, and ranks make
/// them rare. A holder has no time limit: it holds until it hands over or is replaced by the rules
/// of `replacement_rule`, so an outage of the object API takes nothing from a living holder.
class ownership_policy {
public:
    ownership_policy(vm_incarnation self, ownership_settings settings);

    /// Replaces the list of things that need holders.
    void configure(std::vector<holding_spec> specs);
    /// Takes a shard as read; older copies than the known one are ignored.
    void on_shard(const shard& it, time_point now);
    /// From now on this VM wants to hold nothing: it is leaving or shutting down.
    void leave();

    /// Returns the updates that this VM should write now.
    std::vector<shard_update> plan(const failure_detector& vms, time_point now);
    /// Returns the things that this VM should hand over: stop orders and grants, settle what is
    /// under way, then commit `vacate()`.
    std::vector<holding_id> holdings_to_hand_over(const failure_detector& vms, time_point now);
    /// Returns the update by which this VM gives up `id`.
    shard_update vacate(const holding_id& id) const;

    /// Returns the entry of `id` as last read.
    std::optional<holding> find(const holding_id& id) const;
    /// Returns what this VM holds as last read.
    std::vector<holding> own_holdings() const;
    /// Whether every shard was read once.
    bool complete() const { return copies_.size() == settings_.shards; }

private:
    struct shard_copy {
        object_api::object_version version = 0;
        std::map<holding_id, holding> holdings;
    };

    const holding* lookup(const holding_id& id) const;
    bool replaceable(const holding_spec& spec, const holding& it, const failure_detector& vms,
                     time_point now) const;
    std::ptrdiff_t rank_for(shard_index index, const std::vector<vm_incarnation>& candidates) const;
    bool needs_holder(const holding_spec& spec, const failure_detector& vms, time_point now) const;
    assignment assign(const holding_spec& spec, const std::vector<vm_incarnation>& candidates,
                      const failure_detector& vms, time_point now) const;
    std::vector<vm_incarnation> willing(const failure_detector& vms, time_point now) const;

    vm_incarnation self_;
    ownership_settings settings_;
    std::map<holding_id, holding_spec> specs_;
    std::map<shard_index, shard_copy> copies_;
    /// When this VM first saw that an entry needs a holder.
    std::map<holding_id, time_point> needed_since_;
    time_point last_balance_{};
    bool leaving_ = false;
};

/// Returns the candidates in order of preference for `subject` by rendezvous hashing.
std::vector<vm_incarnation> rendezvous_order(std::string_view subject,
                                             std::vector<vm_incarnation> candidates);

}  // namespace radishpulley::ownership
