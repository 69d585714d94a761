/// This daemon's membership in the fleet: its entry in the store, the entries of the other VMs, and
/// the hints that they exchange.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "gateway/collection_follower.h"
#include "gateway/hint_socket.h"
#include "gateway/object_collections.h"
#include "ownership/failure_detector.h"
#include "routing/hints.h"
#include "routing/relay_choice.h"
#include "routing/status_schedule.h"

namespace radishpulley::edge {

/// Identity, location and address of this daemon, and the timeouts for other VMs.
struct member_settings {
    vm_id vm;
    zone_id zone;
    region_id region;
    /// Address for hints, IP:PORT.
    std::string address;
    /// Time without a hint from another VM after which it is suspected to have failed.
    duration suspicion_timeout = std::chrono::milliseconds(3'200);
    /// Time without a hint from another VM after which it no longer counts as serving callers.
    duration serving_timeout = std::chrono::seconds(10);
    /// Time without a hint from another VM after which its entry is marked as gone.
    duration gone_timeout = std::chrono::seconds(15);
    /// Time for which a VM that is marked as gone still counts as a member, so that one that is
    /// only cut off from others can take the mark back.
    duration gone_grace = std::chrono::seconds(5);
};

/// Registers this VM in the store, follows the entries of the others, and sends and receives hints.
class fleet_member {
public:
    using hint_handler = std::function<void(const routing::hint_message&)>;

    fleet_member(boost::asio::io_context& loop, const clock& time,
                 gateway::object_collections& store, member_settings settings,
                 hint_handler on_hint);

    void start();
    /// Restarts the watch on the VM entries, because responses of the store may have been lost.
    void renew() { follower_.renew(); }
    /// Sends a hint to one VM. Returns false if its address is unknown or hints can't be sent yet.
    bool send(const vm_id& to, const routing::hint& it);
    /// Sends a hint to all VMs that are not silent.
    void broadcast(const routing::hint& it);
    /// Sends this VM's status to all VMs whose status interval has elapsed.
    void send_status(const routing::vm_status& it);
    /// Sends this VM's status immediately to the VMs of its region, and in a small fleet to all.
    void send_status_nearby(const routing::vm_status& it);
    /// Sends reports about this VM's copies of store collections to its availability zone.
    void send_store_reports(const routing::store_reports& it);
    /// Rank of this VM, from 0, among the live VMs of its availability zone, and their number. All
    /// VMs compute the same order.
    struct zone_rank {
        std::size_t rank = 0;
        std::size_t vms = 1;
    };
    zone_rank rank_in_zone(time_point now) const;
    /// Returns how long a status of another VM stays valid, at least `minimum`.
    duration lifetime_of(const vm_id& vm, duration minimum) const;

    /// Incarnation of this VM, empty until it is registered.
    const std::optional<vm_incarnation>& self() const { return self_; }
    ownership::failure_detector* detector() { return detector_ ? &*detector_ : nullptr; }
    std::uint64_t hints_dropped() const { return socket_.dropped(); }
    /// Number of changes to the set of known VMs.
    std::uint64_t change_count() const { return change_count_; }
    /// Returns the VMs of an availability zone.
    std::set<vm_id> vms_in(const zone_id& zone) const;
    /// Returns the VMs that are known to serve callers now, including this one.
    std::vector<vm_id> serving(time_point now) const;
    /// Returns the other members; those that were heard lately and don't leave are fit.
    std::vector<routing::relay_candidate> relay_candidates(time_point now) const;
    /// The secret that the VMs share; empty until it is known.
    const std::string& secret() const { return socket_.secret(); }
    /// Returns the VMs that may serve callers, including this one. A VM that was not heard lately
    /// is one of them, as it may only be cut off, until its entry in the store is marked as gone.
    std::vector<vm_id> members(time_point now) const;
    /// Returns the interval at which statuses of another VM are expected.
    duration status_interval(const vm_id& vm) const;
    /// Marks the entries of VMs that were silent for long as gone, if this VM hears most members.
    void mark_gone_vms();
    /// Whether most members, which this VM has not heard for long, may have marked its entry as
    /// gone without its knowledge. `store_age` is the age of what it knows of the store.
    bool may_be_marked_gone(duration store_age) const;

private:
    struct peer {
        std::string address;
        zone_id zone;
        region_id region;
        incarnation_number incarnation = 0;
        bool leaving = false;
        time_point last_alive = time_point::min();
        /// When the next status of this VM is due to be sent to it.
        time_point next_status = time_point::min();
        gateway::store_revision revision = 0;
        /// Since when the entry is marked as gone.
        std::optional<time_point> gone_since;
        /// When the VM took such a mark back.
        time_point confirmed_at = time_point::min();
        bool mark_in_flight = false;
    };

    routing::peer_distance distance_of(const peer& it) const;
    /// Whether the last hint from a VM is too old. For a VM that never sent one, the time since
    /// this daemon started counts.
    bool is_silent(const peer& it, time_point now) const;
    /// Whether another VM was heard so lately that it is not suspected to have failed.
    bool is_alive(const vm_id& vm, const peer& it, time_point now) const;
    void update_schedule();
    void on_list(const gateway::object_list& it);
    void on_object(const gateway::stored_object& it);
    void on_removed(const std::string& name);
    void update_failure_detector();
    /// Keeps VMs that send hints and are missing from a restored store's list, until they have
    /// registered again.
    void keep_unlisted_peers(const std::map<vm_id, peer>& previous);
    void register_self();
    void register_if_needed();
    /// Whether the store lacks the entry that this process wrote.
    bool lacks_own_entry() const;
    void write_own_entry();
    void write_own_entry_if_missing();
    /// When the last hint of a VM arrived; for one that never sent any, when this daemon started.
    time_point last_heard(const peer& it) const;
    bool is_silent_for_long(const peer& it, time_point now) const;
    bool is_member(const peer& it, time_point now) const;
    void mark_gone(const vm_id& vm);
    /// Returns how many other members were silent for long.
    std::size_t silent_members(time_point now) const;
    /// Writes this VM's entry; `revision` is that of the present one, or 0 if there is none.
    void put_entry(gateway::store_revision revision, incarnation_number incarnation,
                   std::function<void(const gateway::write_result&)> done);
    void on_registered(const gateway::write_result& result, incarnation_number incarnation);
    template <typename Predicate>
    void send_where(const routing::hint& it, Predicate is_recipient);
    void read_secret();
    /// Uses the stored secret; returns whether there is one.
    bool take_secret(const gateway::object_list& list);
    void create_secret();
    void on_hint(const routing::hint_message& it, const std::string& sender_address);
    /// Handles a hint of a VM that this VM's copy of the list does not contain yet.
    void on_unlisted_hint(const routing::hint_message& it, const std::string& sender_address);
    void retry_later(void (fleet_member::*step)());

    boost::asio::io_context& loop_;
    const clock& time_;
    gateway::object_collections& store_;
    member_settings settings_;
    hint_handler on_hint_;
    gateway::hint_socket socket_;
    gateway::collection_follower follower_;
    boost::asio::steady_timer retry_timer_;
    boost::asio::steady_timer secret_timer_;
    std::optional<vm_incarnation> self_;
    bool own_write_in_flight_ = false;
    std::optional<ownership::failure_detector> detector_;
    std::map<vm_id, peer> peers_;
    /// Addresses of VMs that sent hints before they were listed.
    std::map<vm_id, std::string> unlisted_addresses_;
    std::uint64_t change_count_ = 0;
    gateway::store_revision list_revision_ = 0;
    routing::status_schedule schedule_;
    time_point started_;
};

}  // namespace radishpulley::edge
