/// Decides which VM should hold which resource. Pure: it takes copies of the table and the time and
/// returns planned updates.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "ownership/failure_detector.h"
#include "ownership/holding.h"

namespace radishpulley::ownership {

/// When the current holder of a resource can be replaced.
enum class replacement_rule {
    /// As soon as the holder is suspected: the receivers of its orders reject old fencing numbers.
    on_suspicion,
    /// Only after its end is confirmed and its orders in flight have expired.
    on_confirmed_end
};

/// A resource that has to have a holder.
struct holding_spec {
    holding_id id;
    replacement_rule rule = replacement_rule::on_confirmed_end;
    /// VMs close to the resource, which are preferred. If none of them is eligible, any VM may hold
    /// it.
    std::set<vm_id> preferred_vms = {};
    /// VMs that are cut off from the resource. While another eligible VM is not, they get no
    /// holding of it, and hand over one that they have if the receivers of its orders reject old
    /// fencing numbers.
    std::set<vm_id> cut_off_vms = {};
};

/// Timing and balancing parameters of the policy.
struct ownership_settings {
    shard_index shards = 16;
    /// Longest time that an order may spend on the network.
    duration max_order_lifetime = std::chrono::seconds(30);
    /// The VM with rank n for a shard writes after n times this delay.
    duration rank_delay = std::chrono::seconds(2);
    /// Shortest time between two handovers for load balancing.
    duration balance_interval = std::chrono::minutes(1);
    /// Time for which a VM that has started since the store came back from an older copy leaves the
    /// renewal of its entries to VMs that know what the copy lacks.
    duration newcomer_delay = std::chrono::seconds(10);
    /// Holdings above the mean that a VM may have before it hands one over for load balancing.
    std::size_t balance_slack = 2;
};

/// A new holder for one holding, or no holder.
struct assignment {
    holding_id id;
    /// The assignment applies only while the entry has this fencing number.
    fencing_number expected_fence = 0;
    vm_incarnation holder;
    /// Former holders that may still be running.
    std::vector<vm_incarnation> suspects;
    /// The entry's new fencing number is at least this.
    fencing_number min_fence = 0;

    fencing_number fence() const { return std::max(expected_fence + 1, min_fence); }
};

/// One conditional update of one object of the table.
struct shard_update {
    shard_index index = 0;
    std::vector<assignment> assignments;
};

/// Plans updates of the ownership table.
///
/// Any VM may write any assignment: conditional updates make races harmless, and ranks make them
/// rare. A holding is not a lease and has no expiry: it lasts until its holder hands it over or is
/// replaced according to `replacement_rule`. An outage of the object API therefore takes nothing
/// from a running holder.
class ownership_policy {
public:
    ownership_policy(vm_incarnation self, ownership_settings settings);

    /// Replaces the list of resources that need holders.
    void configure(std::vector<holding_spec> specs);
    /// Processes a shard as read. Copies older than the known one are ignored.
    void on_shard(const shard& it, time_point now);
    /// Sets the fencing number that is greater than all that were given out before the store last
    /// came back from an older copy. Entries with a lower one are renewed, with the same holder.
    void set_min_fence(fencing_number min_fence, time_point now);
    /// Makes this VM ineligible as a holder, because it is leaving or shutting down.
    void leave();

    /// Returns the updates that this VM has to write now.
    std::vector<shard_update> plan(const failure_detector& detector, time_point now);
    /// Returns the holdings that this VM has to hand over. The caller stops orders and grants,
    /// settles those in flight, and then commits `vacate()`.
    std::vector<holding_id> holdings_to_hand_over(const failure_detector& detector, time_point now);
    /// Returns the update with which this VM releases `id`.
    shard_update vacate(const holding_id& id) const;

    /// Returns the entry of `id` as last read.
    std::optional<holding> find(const holding_id& id) const;
    /// Returns the holdings of this VM as last read.
    std::vector<holding> own_holdings() const;
    /// Whether every shard was read at least once.
    bool complete() const { return copies_.size() == settings_.shards; }

private:
    struct shard_copy {
        object_api::object_version version = 0;
        std::map<holding_id, holding> holdings;
    };

    const holding* find_entry(const holding_id& id) const;
    /// Whether the entry may be one that the store gave out before it came back from a copy.
    bool needs_renewal(const holding_spec& spec, time_point now) const;
    assignment renew(const holding& it) const;
    bool replaceable(const holding_spec& spec, const holding& it, const failure_detector& detector,
                     time_point now) const;
    std::ptrdiff_t own_rank(shard_index index, const std::vector<vm_incarnation>& candidates) const;
    bool needs_holder(const holding_spec& spec, const failure_detector& detector,
                      time_point now) const;
    assignment assign(const holding_spec& spec, const std::vector<vm_incarnation>& candidates,
                      const failure_detector& detector, time_point now) const;
    std::vector<vm_incarnation> eligible_candidates(const failure_detector& detector,
                                                    time_point now) const;
    /// Whether this VM holds a resource from which it is cut off, unlike one of the candidates.
    bool is_cut_off_holder(const holding_spec& spec,
                           const std::vector<vm_incarnation>& candidates) const;

    vm_incarnation self_;
    ownership_settings settings_;
    std::map<holding_id, holding_spec> specs_;
    std::map<shard_index, shard_copy> copies_;
    /// Time at which this VM first observed that an entry needs a holder.
    std::map<holding_id, time_point> needed_since_;
    time_point last_balance_{};
    fencing_number min_fence_ = 0;
    /// When this VM may renew entries: at once where it knows them from before a restore.
    time_point renews_from_{};
    bool leaving_ = false;
};

/// Returns the candidates in order of preference for `subject`, by rendezvous hashing.
std::vector<vm_incarnation> rendezvous_order(std::string_view subject,
                                             std::vector<vm_incarnation> candidates);

}  // namespace radishpulley::ownership
