/// Membership, configuration and freshness of one daemon as one state machine.
///
/// Pure: events and time in, actions out. The daemon runs the actions on its connections and on the
/// object API and reports back what happened; tests and measurements do the same with fakes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "keys/freshness.h"
#include "membership/member_table.h"
#include "tickets/config_replica.h"
#include "tickets/rollout.h"

namespace radishpulley::fleet {

/// Message: sent at the heartbeat interval on each connection; carries only news.
struct status {
    membership::heartbeat beat;
    model::ticket_number in_force = 0;
    std::optional<keys::evidence_report> evidence;
    std::vector<keys::hold_report> holds;
    std::vector<tickets::in_force_report> numbers;
    std::vector<membership::member_report> members;
};

/// All messages of this package. The order on a connection is kept.
using message = std::variant<status, tickets::ticket_message>;

/// Event: the platform's VM list was read.
struct vm_list_read {
    std::vector<object_api::vm_entry> vms;
};

/// Event: the incarnation was raised after a start without one.
struct incarnation_raised {
    incarnation_number incarnation = 0;
};

/// Event: a connection to a peer is open and authenticated, whichever side opened it.
struct peer_connected {
    vm_id vm;
};

/// Event: a connection ended or could not be opened. `refused` only when the operating system told
/// that nothing listens on the peer's port.
struct peer_disconnected {
    vm_id vm;
    bool refused = false;
};

/// Event: a message arrived.
struct peer_message {
    vm_id from;
    message content;
};

/// Event: the object API answered the watch of `probe_api`.
struct probe_answered {
    /// When the call was made.
    time_point sent;
    object_api::store_revision revision = 0;
    /// The head changed, or the answer was not complete, or the watch began at revision 0.
    bool changed = false;
};

/// Event: the object API gave the head.
struct head_answered {
    /// When the call was made.
    time_point sent;
    tickets::head at;
};

/// Event: a call of probe_api or read_head was given up at its deadline.
struct api_silent {};

/// Event: the object API gave a shard, or did not when `shard.text` is empty.
struct shard_answered {
    tickets::shard_read shard;
};

/// Event: ticket_store::accept starts and ends. While it runs, this daemon gives no hold.
struct accept_started {};
struct accept_ended {
    /// Set when the ticket was accepted.
    std::optional<tickets::accepted_here> result;
};

/// Event: time passed. At least every 50 ms.
struct time_passed {};

using event = std::variant<vm_list_read, incarnation_raised, peer_connected, peer_disconnected,
                           peer_message, probe_answered, head_answered, api_silent, shard_answered,
                           accept_started, accept_ended, time_passed>;

/// Action: watch the head since `since` without waiting. When there is no answer within `deadline`,
/// report api_silent and use a fresh connection next time.
struct probe_api {
    object_api::store_revision since = 0;
    duration deadline{0};
};

/// Action: send a message to a connected peer.
struct send_to {
    vm_id vm;
    message content;
};

using action = std::variant<membership::connect_to, membership::disconnect_from, send_to, probe_api,
                            tickets::read_head, tickets::read_shard, tickets::put_in_force>;

/// Settings of all parts.
struct fleet_settings {
    membership::membership_settings membership;
    keys::freshness_settings freshness;
    tickets::replica_settings replica;
    /// Time between two connections that only introduce this VM.
    duration introduction_gap = std::chrono::milliseconds(200);
};

/// The state machine of one daemon. One thread at a time.
///
/// Example:
///
///     for (const action& it : agent.handle(peer_connected{vm}, clock.now())) run(it);
///     if (!std::holds_alternative<keys::refuse_keyed>(agent.serving(clock.now()))) admit();
class fleet_agent {
public:
    /// `incarnation` is 0 when the object API did not give one.
    fleet_agent(object_api::vm_entry self, incarnation_number incarnation, fleet_settings settings,
                time_point started);

    std::vector<action> handle(const event& it, time_point now);

    /// This daemon leaves: peers are told, and it commits no more tickets. Not called while a
    /// ticket is being accepted.
    void leave(time_point now);

    /// Whether keyed requests are served.
    keys::serving_decision serving(time_point now) const;
    /// Whether a ticket may be committed here now; asked just before ticket_store::accept.
    keys::commit_decision committing(time_point now) const;
    /// Where a ticket is in force, among all VMs that are known.
    tickets::rollout_status rollout(model::ticket_number number) const;
    const tickets::committed_configuration& in_force() const { return replica_.in_force(); }
    const membership::member_table& members() const { return members_; }

private:
    using actions = std::vector<action>;

    // What a neighbour has been told on its connection.
    struct told {
        keys::freshness::hold_cursor holds = 0;
        tickets::rollout::position numbers = 0;
        std::uint64_t members = 0;
    };

    void on(const vm_list_read& it, time_point now, actions& out);
    void on(const incarnation_raised& it, time_point now, actions& out);
    void on(const peer_connected& it, time_point now, actions& out);
    void on(const peer_disconnected& it, time_point now, actions& out);
    void on(const peer_message& it, time_point now, actions& out);
    void on(const probe_answered& it, time_point now, actions& out);
    void on(const head_answered& it, time_point now, actions& out);
    void on(const api_silent& it, time_point now, actions& out);
    void on(const shard_answered& it, time_point now, actions& out);
    void on(const accept_started& it, time_point now, actions& out);
    void on(const accept_ended& it, time_point now, actions& out);
    void on(const time_passed& it, time_point now, actions& out);

    void on_status(const vm_id& from, const status& it, time_point now, actions& out);
    void introduce_next(time_point now);
    void update_roster();
    void update_peers(time_point now, actions& out);
    void run(const tickets::replica_event& it, time_point now, actions& out);
    void report_own_number();
    status make_status(const vm_id& to, const membership::heartbeat& beat, time_point now);
    void run_membership(time_point now, actions& out);
    void probe_when_due(time_point now, actions& out);

    const fleet_settings settings_;
    membership::member_table members_;
    keys::freshness freshness_;
    tickets::config_replica replica_;
    tickets::rollout rollout_;
    std::map<vm_id, told> told_;
    std::vector<vm_id> peers_;
    std::uint64_t roster_version_ = 0;
    std::size_t next_introduction_ = 0;
    time_point introduction_due_;
    /// Revision of a probe whose head is still to be read.
    object_api::store_revision revision_ = 0;
    bool head_wanted_ = false;
};

}  // namespace radishpulley::fleet
