/// This daemon as one of the fleet: its entry in the store, the others' entries, and the hints.
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
#include "routing/status_schedule.h"

namespace radishpulley::edge {

/// Where this daemon is reached and found.
struct member_settings {
    vm_id vm;
    zone_id zone;
    region_id region;
    /// Address for hints, IP:PORT.
    std::string address;
    /// Silence after which another VM is suspected.
    duration suspicion = std::chrono::milliseconds(3'200);
    /// Silence after which a VM no longer counts as serving callers.
    duration serving_memory = std::chrono::seconds(10);
};

/// Registers this VM and knows the others.
class fleet_member {
public:
    using hint_handler = std::function<void(const routing::hint_message&)>;

    fleet_member(boost::asio::io_context& loop, const clock& time,
                 gateway::object_collections& store, member_settings settings,
                 hint_handler on_hint);

    void start();
    /// Asks the store again for the VMs, because its answers may have been lost.
    void renew() { follower_.renew(); }
    /// Sends a hint to one VM; false where its address is not known.
    bool send(const vm_id& to, const routing::hint& it);
    /// Sends a hint to all VMs that are heard.
    void broadcast(const routing::hint& it);
    /// Tells those VMs whose turn it is what this one has under way.
    void tell(const routing::vm_status& it);
    /// Tells the VMs of this region at once, and in a small fleet all.
    void tell_near(const routing::vm_status& it);
    /// Tells the VMs of this availability zone what this one knows of the store.
    void tell_zone(const routing::store_reports& it);
    /// This VM's place among those of its availability zone that are heard, from 0, in an order
    /// that all compute alike, and how many there are.
    struct zone_rank {
        std::size_t rank = 0;
        std::size_t vms = 1;
    };
    zone_rank rank_in_zone(time_point now) const;
    /// Time for which a statement of another VM counts, at least `least`.
    duration lifetime_of(const vm_id& vm, duration least) const;

    /// This start of this VM; nothing while it is not registered.
    const std::optional<vm_incarnation>& self() const { return self_; }
    ownership::failure_detector* knowledge() { return knowledge_ ? &*knowledge_ : nullptr; }
    std::uint64_t hints_dropped() const { return socket_.dropped(); }
    /// Counts the changes of the VMs known.
    std::uint64_t changes() const { return changes_; }
    /// VMs of an availability zone.
    std::set<vm_id> vms_in(const zone_id& zone) const;
    /// VMs that serve callers now, this one included.
    std::vector<vm_id> serving(time_point now) const;

private:
    struct peer {
        std::string address;
        zone_id zone;
        region_id region;
        incarnation_number incarnation = 0;
        bool leaving = false;
        time_point heard = time_point::min();
        /// When it is next to be told of this VM.
        time_point due = time_point::min();
        gateway::store_revision revision = 0;
    };

    routing::peer_distance distance_of(const peer& it) const;
    /// A VM that was heard is silent, or one that was never heard had the time to answer.
    bool is_silent(const peer& it, time_point now) const;
    void set_pace();
    void on_list(const gateway::object_list& it);
    void on_object(const gateway::stored_object& it);
    void on_removed(const std::string& name);
    void tell_knowledge();
    void register_self();
    void on_registered(const gateway::write_result& result, incarnation_number incarnation);
    template <typename Wanted>
    void send_where(const routing::hint& it, Wanted wanted);
    void read_secret();
    void create_secret();
    void on_hint(const routing::hint_message& it);
    void retry(void (fleet_member::*what)());

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
    std::optional<ownership::failure_detector> knowledge_;
    std::map<vm_id, peer> peers_;
    std::uint64_t changes_ = 0;
    routing::status_schedule schedule_;
    time_point started_;
};

}  // namespace radishpulley::edge
