/// Tracks which VMs exist, which of them are alive, and which of them this one connects to.
///
/// Pure: it takes the VM list, messages, connection events and the time and returns decisions.
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

/// Message that both sides send at a fixed interval on each connection.
struct heartbeat {
    vm_incarnation from;
    /// Set by the sender; the next heartbeat of the peer echoes it.
    std::uint64_t token = 0;
    /// Last token received from the peer; 0 if none was received.
    std::uint64_t echoed = 0;
    bool leaving = false;
    /// The sender wants to keep the connection, which is closed when neither side does.
    bool wanted = false;
};

/// State of a member as observed by this daemon.
enum class member_state : std::uint8_t {
    /// On the VM list or reported by a peer, but no heartbeat was received from it directly.
    listed,
    /// A heartbeat was received within the timeout.
    alive,
    /// Connected before, but past the timeout: it may be dead, paused or partitioned.
    silent,
    /// Its peer port refused a connection, so its process has ended.
    ended,
    /// The VM itself or the platform reports that it is leaving.
    leaving
};

/// One VM as observed by this daemon.
struct member {
    object_api::vm_entry entry;
    incarnation_number incarnation = 0;
    member_state state = member_state::listed;
};

/// Message: a VM in the sender's member table. Reports make a VM visible while VM lists lag.
struct member_report {
    object_api::vm_entry entry;
    incarnation_number incarnation = 0;
};

/// Decision to open a connection.
struct connect_to {
    vm_id vm;
    std::string address;
};

/// Decision to close a connection that is silent, not needed, or of an older incarnation.
struct disconnect_from {
    vm_id vm;
};

/// Decision to send a heartbeat.
struct send_heartbeat {
    vm_id to;
    heartbeat message;
};

using membership_action = std::variant<connect_to, disconnect_from, send_heartbeat>;

/// What a heartbeat proves about its sender.
struct heartbeat_proof {
    /// The peer sent it after this time of the local clock; empty if it echoed no token of this
    /// daemon.
    std::optional<time_point> sent_after;
    /// It has a higher incarnation than known: every older one of that VM has ended.
    bool new_incarnation = false;
    /// It has an older incarnation than known and is ignored.
    bool stale = false;
};

/// Timing parameters of the membership. All VMs use the same values.
struct membership_settings {
    duration heartbeat_interval = std::chrono::milliseconds(750);
    /// Time without a heartbeat after which a connection is replaced by a new one.
    duration heartbeat_timeout = std::chrono::milliseconds(2000);
    /// Delay before the next connection attempt.
    duration reconnect_delay = std::chrono::milliseconds(500);
    /// Upper bound of an additional delay that differs between VMs.
    duration reconnect_jitter = std::chrono::milliseconds(500);
    /// Shortest time between two heartbeats on one connection when there are urgent updates.
    duration min_urgent_interval = std::chrono::milliseconds(100);
    /// Age from which a connection that neither side wants is closed.
    duration introduction_lifetime = std::chrono::seconds(2);
    /// A VM that was reported by peers but is on no list after this time has ended. It exceeds the
    /// lag of the list.
    duration unlisted_timeout = std::chrono::minutes(10);
};

/// Member table of one daemon. Not thread-safe.
class member_table {
public:
    member_table(object_api::vm_entry self, incarnation_number incarnation,
                 membership_settings settings = {});

    /// Processes a VM list of the platform. A VM that was on the list before and no longer is has
    /// ended. Returns the VMs that have ended.
    std::vector<vm_id> vm_list_read(gsl::span<const object_api::vm_entry> vms, time_point now);

    /// Processes the members that a peer reported. Never removes a VM or restores one that has
    /// ended.
    void on_member_reports(gsl::span<const member_report> reports, time_point now);

    /// Records that a connection was opened by either side, or closed. `refused` means that the
    /// peer's port refused it.
    void connected(const vm_id& vm, time_point now);
    void disconnected(const vm_id& vm, bool refused, time_point now);

    /// Processes a heartbeat received on a connection.
    heartbeat_proof received(const heartbeat& it, time_point now);

    /// Opens short-lived connections to these VMs, so that they add this one to their member
    /// tables. Each lasts until the VM has answered.
    void introduce(const std::vector<vm_id>& vms);

    /// Makes the next heartbeats due at once, to send urgent updates with them.
    void expedite_heartbeats(time_point now);

    /// Announces in the heartbeats that this daemon is leaving.
    void leave() { leaving_ = true; }

    /// Sets the incarnation if it was not available at the start.
    void set_incarnation(incarnation_number it) { incarnation_ = it; }

    /// Returns the actions that are due now. Called at least once every heartbeat interval.
    std::vector<membership_action> due_actions(time_point now);

    vm_incarnation self() const { return {self_.vm, incarnation_}; }
    std::vector<member> members() const;
    /// Returns the members that changed after `cursor` and advances it; 0 returns all.
    std::vector<member_report> changes_since(std::uint64_t& cursor) const;
    /// Returns the VMs other than this one that may be running. The freshness rule accounts for all
    /// of them.
    std::vector<vm_id> roster() const;
    /// True once a VM list was read or a peer reported its members.
    bool roster_known() const { return roster_known_; }
    /// Returns the peers that are connected and sent a heartbeat within the timeout.
    std::vector<vm_id> connected_peers(time_point now) const;
    /// Returns the report of this daemon about itself.
    member_report self_report() const { return {self_, incarnation_}; }
    /// Increases whenever roster() may have changed.
    std::uint64_t version() const { return last_change_; }
    /// True if one side selected the other as its neighbour; false for a connection that only
    /// introduces a VM.
    bool is_neighbour(const vm_id& vm) const;
    /// True if this daemon itself opens the connection to the peer.
    bool is_dialed(const vm_id& vm) const;
    /// Returns the VMs to which this one opens connections.
    std::vector<vm_id> dialed_vms() const;

private:
    struct peer {
        member known;
        bool on_list = false;
        time_point first_seen;
        time_point last_sent;
        std::uint64_t changed = 0;
        bool is_connected = false;
        /// Selected by select_neighbours().
        bool dialed = false;
        bool introduction_pending = false;
        bool wanted_by_peer = false;
        time_point connected_at;
        time_point last_heartbeat;
        time_point retry_at;
        time_point next_heartbeat;
        std::uint64_t echo = 0;
        /// Tokens sent on this connection and not yet echoed, oldest first.
        std::map<std::uint64_t, time_point> tokens;
    };

    peer& add(const object_api::vm_entry& entry, incarnation_number incarnation, time_point now);
    void update_dialed_peers();
    bool is_wanted(const peer& it) const { return it.dialed || it.introduction_pending; }
    void close(peer& it, time_point now, std::vector<membership_action>& out);
    void check_silence(peer& it, time_point now, std::vector<membership_action>& out);
    void check_connection(peer& it, time_point now, std::vector<membership_action>& out);
    void send_due(peer& it, time_point now, std::vector<membership_action>& out);
    duration jitter_for(const vm_id& other) const;

    const object_api::vm_entry self_;
    incarnation_number incarnation_;
    const membership_settings settings_;
    std::map<vm_id, peer> peers_;
    /// Entries of peers_ that are connected or wanted. With them a tick need not iterate over the
    /// whole fleet.
    std::map<vm_id, peer*> active_;
    /// Last incarnations of VMs that have ended, so that late reports do not restore them.
    std::map<vm_id, incarnation_number> ended_;
    std::uint64_t last_token_ = 0;
    std::uint64_t last_change_ = 1;
    bool leaving_ = false;
    bool roster_known_ = false;
};

}  // namespace radishpulley::membership
