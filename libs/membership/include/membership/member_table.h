/// Which VMs there are, which of them are heard, and which of them to connect to.
///
/// Pure: the VM list, messages, connection events and time in; decisions out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "object_api/vm_list.h"

namespace radishpulley::membership {

/// Message: sent at a fixed interval on each connection, in both directions.
struct heartbeat {
    vm_incarnation from;
    /// Chosen by the sender; the peer's next heartbeat echoes it.
    std::uint64_t token = 0;
    /// Last token received from the peer; 0 when there was none.
    std::uint64_t echoed = 0;
    bool leaving = false;
    /// The sender wants the connection; it is dropped when neither side does.
    bool wanted = false;
};

/// What is known of a member.
enum class member_state : std::uint8_t {
    /// On the VM list or heard of, but not heard on a connection of ours.
    listed,
    /// Heard within the deadline.
    alive,
    /// Connected before, but past the deadline: may be dead, paused or cut off.
    silent,
    /// Its peer port refused a connection: the process has ended.
    ended,
    /// It says or the platform says that it is leaving.
    leaving
};

/// One VM as this daemon sees it.
struct member {
    object_api::vm_entry entry;
    incarnation_number incarnation = 0;
    member_state state = member_state::listed;
};

/// Message: a VM that the sender knows of, so that a lagging VM list does not hide it.
struct member_report {
    object_api::vm_entry entry;
    incarnation_number incarnation = 0;
};

/// Decision: open a connection.
struct connect_to {
    vm_id vm;
    std::string address;
};

/// Decision: drop the connection, which is silent, surplus or of an older incarnation.
struct disconnect_from {
    vm_id vm;
};

/// Decision: send this heartbeat.
struct send_heartbeat {
    vm_id to;
    heartbeat message;
};

using membership_action = std::variant<connect_to, disconnect_from, send_heartbeat>;

/// What a heartbeat proved.
struct heartbeat_proof {
    /// The peer sent it after this moment of our clock; empty when it echoed no token of ours.
    std::optional<time_point> sent_after;
    /// A higher incarnation than known: every older one of that VM has ended.
    bool new_incarnation = false;
    /// From an older incarnation than known, and so to be ignored.
    bool stale = false;
};

/// Times of the membership. All VMs use the same.
struct membership_settings {
    duration heartbeat_interval = std::chrono::milliseconds(750);
    /// A connection without a heartbeat for this long is replaced by a new one.
    duration silence_limit = std::chrono::milliseconds(2000);
    /// Pause before a connection is tried again.
    duration reconnect_pause = std::chrono::milliseconds(500);
    /// Extra pause, at most, by which VMs differ.
    duration reconnect_spread = std::chrono::milliseconds(500);
    /// Shortest time between two heartbeats on one connection when there is urgent news.
    duration urgent_gap = std::chrono::milliseconds(100);
    /// Age from which a connection that neither side wants is dropped.
    duration introduction_time = std::chrono::seconds(2);
    /// A VM that was heard of but is on no list after this long has ended. Above the list's lag.
    duration unlisted_limit = std::chrono::minutes(10);
};

/// The table of one daemon. One thread at a time.
class member_table {
public:
    member_table(object_api::vm_entry self, incarnation_number incarnation,
                 membership_settings settings = {});

    /// The platform's list was read. A VM that was on it before and no longer is has ended.
    /// Returns those VMs.
    std::vector<vm_id> vm_list_read(gsl::span<const object_api::vm_entry> vms, time_point now);

    /// A peer told of VMs that it knows. Never removes one, nor brings back one that has ended.
    void on_member_reports(gsl::span<const member_report> reports, time_point now);

    /// A connection opened, by either side, or ended. `refused` when the peer's port refused it.
    void connected(const vm_id& vm, time_point now);
    void disconnected(const vm_id& vm, bool refused, time_point now);

    /// A heartbeat arrived on a connection.
    heartbeat_proof received(const heartbeat& it, time_point now);

    /// Opens short connections to these VMs, until they answered, so that they know this one.
    void introduce(const std::vector<vm_id>& vms);

    /// Makes the next heartbeats due at once, for urgent news that travels with them.
    void expedite_heartbeats(time_point now);

    /// This daemon leaves: says so in its heartbeats.
    void leave() { leaving_ = true; }

    /// Sets the incarnation when it could not be had at the start.
    void set_incarnation(incarnation_number it) { incarnation_ = it; }

    /// Returns what to do now. Call it at least every heartbeat interval.
    std::vector<membership_action> due_actions(time_point now);

    /// Queries.
    vm_incarnation self() const { return {self_.vm, incarnation_}; }
    std::vector<member> members() const;
    /// Members that changed after `told`, which moves to now; 0 gives all.
    std::vector<member_report> news(std::uint64_t& told) const;
    /// VMs other than this one that may be running: what the freshness rule accounts for.
    std::vector<vm_id> roster() const;
    /// True once a VM list was read or a peer told of its members.
    bool roster_known() const { return roster_known_; }
    /// Connected and heard within the deadline.
    std::vector<vm_id> connected_peers(time_point now) const;
    /// What this daemon tells of itself.
    member_report self_report() const { return {self_, incarnation_}; }
    /// Changes whenever roster() may have changed.
    std::uint64_t version() const { return last_change_; }
    /// True when one of the two sides has the other among its neighbours; false on a connection
    /// that only introduces a VM.
    bool is_neighbour(const vm_id& vm) const;
    /// True when this daemon opens the connection to the peer, not only the peer to it.
    bool is_dialed(const vm_id& vm) const;
    /// VMs to which this one opens connections.
    std::vector<vm_id> chosen() const;

private:
    struct peer {
        member known;
        bool on_list = false;
        time_point first_seen;
        time_point last_sent;
        std::uint64_t changed = 0;
        bool is_connected = false;
        /// Chosen by neighbours().
        bool chosen = false;
        bool to_introduce = false;
        bool wanted_by_peer = false;
        time_point connected_at;
        time_point last_heard;
        time_point retry_at;
        time_point next_heartbeat;
        std::uint64_t echo = 0;
        /// Tokens sent on this connection, oldest first.
        std::map<std::uint64_t, time_point> tokens;
    };

    peer& add(const object_api::vm_entry& entry, incarnation_number incarnation, time_point now);
    void choose();
    bool is_wanted(const peer& it) const { return it.chosen || it.to_introduce; }
    void drop(peer& it, time_point now, std::vector<membership_action>& out);
    void check_silence(peer& it, time_point now, std::vector<membership_action>& out);
    void check_connection(peer& it, time_point now, std::vector<membership_action>& out);
    void send_due(peer& it, time_point now, std::vector<membership_action>& out);
    duration spread(const vm_id& other) const;

    const object_api::vm_entry self_;
    incarnation_number incarnation_;
    const membership_settings settings_;
    std::map<vm_id, peer> peers_;
    /// Those of peers_ that are connected or wanted, so that a tick costs no pass over the fleet.
    std::map<vm_id, peer*> active_;
    /// Incarnations of VMs that have ended, so that late news does not bring them back.
    std::map<vm_id, incarnation_number> ended_;
    std::uint64_t last_token_ = 0;
    std::uint64_t last_change_ = 1;
    bool leaving_ = false;
    bool roster_known_ = false;
};

}  // namespace radishpulley::membership
