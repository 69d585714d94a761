/// What one daemon has in force, and how it gets to what was accepted last.
///
/// Pure: events and time in, actions out. The configuration in force never goes back: a head or a
/// ticket with a number that is not higher changes nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "tickets/head.h"

namespace radishpulley::tickets {

/// Message: an accepted ticket, relayed between daemons.
struct ticket_push {
    /// Number of the configuration that the ticket was applied to.
    model::ticket_number previous = 0;
    model::ticket change;
    /// fingerprint() of the head that committed it.
    std::string fingerprint;
};

/// Message: asks a peer for what follows configuration `have`. A peer answers with ticket_push
/// messages when it remembers all of them, and with head_reply otherwise.
struct catch_up_request {
    model::ticket_number have = 0;
};

/// Message: the head of what the sender has in force.
struct head_reply {
    head at;
};

/// Message: asks a peer for one shard.
struct shard_request {
    std::uint32_t index = 0;
    shard_name name;
};

/// Message: one shard; `text` is empty when the peer does not have it.
struct shard_reply {
    std::uint32_t index = 0;
    shard_name name;
    std::string text;
};

/// Message: the sender has this number in force, reached without a ticket_push that it can relay.
struct number_notice {
    model::ticket_number number = 0;
};

/// Messages about tickets between daemons.
using ticket_message = std::variant<ticket_push, catch_up_request, head_reply, shard_request,
                                    shard_reply, number_notice>;

/// Event: a message arrived from a connected peer.
struct message_received {
    vm_id from;
    ticket_message message;
};

/// Event: a peer's heartbeat named the number that it has in force.
struct number_seen {
    vm_id from;
    model::ticket_number number = 0;
};

/// Event: the head was read from the object API.
struct head_read {
    head at;
};

/// Event: a shard was read from the object API; `text` is empty when the read failed.
struct shard_read {
    std::uint32_t index = 0;
    shard_name name;
    std::string text;
};

/// Event: this daemon accepted a ticket.
struct accepted_here {
    committed_configuration after;
    model::ticket change;
};

/// Event: the connections to peers changed.
struct peers_changed {
    std::vector<vm_id> connected;
};

/// Event: time passed; repeats what was not answered.
struct tick {};

using replica_event = std::variant<message_received, number_seen, head_read, shard_read,
                                   accepted_here, peers_changed, tick>;

/// Action: this configuration is now in force.
struct put_in_force {
    committed_configuration now;
    /// Indexes of the shards that differ from the configuration before.
    std::vector<std::size_t> changed_shards;
};

/// Action: send a message to a peer.
struct send_message {
    vm_id to;
    ticket_message message;
};

/// Action: read the head from the object API and report it by head_read.
struct read_head {};

/// Action: read a shard from the object API and report it by shard_read.
struct read_shard {
    std::uint32_t index = 0;
    shard_name name;
};

using replica_action = std::variant<put_in_force, send_message, read_head, read_shard>;

/// Bounds of one replica.
struct replica_settings {
    /// Time after which an unanswered question goes to another peer, then to the object API.
    duration answer_deadline = std::chrono::milliseconds(400);
    /// Relayed tickets that are kept to answer peers that missed some.
    std::size_t remembered_tickets = 32;
    /// Largest ticket that is relayed whole, in bytes; peers of a larger one copy shards.
    std::size_t max_push_size = 65'536;
    /// Shards asked for at the same time.
    std::size_t max_open_shards = 8;
};

/// State machine of the configuration in force on one daemon. One thread at a time.
///
/// Example:
///
///     for (const replica_action& it : replica.handle(head_read{at}, clock.now())) run(it);
class config_replica {
public:
    explicit config_replica(replica_settings settings = {});

    std::vector<replica_action> handle(const replica_event& event, time_point now);

    const committed_configuration& in_force() const { return in_force_; }
    model::ticket_number number() const { return in_force_.at.number; }
    /// Highest number that was heard of; above number() while a copy is being made.
    model::ticket_number newest_known() const { return newest_known_; }

private:
    using actions = std::vector<replica_action>;

    struct open_shard {
        std::uint32_t index = 0;
        time_point asked;
    };

    // A copy that is being made of a newer head.
    struct copy {
        head target;
        /// Peer that named the head; empty for the object API.
        vm_id source;
        std::array<std::shared_ptr<const model::shard>, model::shard_count> shards;
        /// Shards that are neither here nor asked for.
        std::set<std::uint32_t> wanted;
        std::vector<open_shard> open;
        /// Shards that are asked from the object API because a peer did not give them.
        std::set<std::uint32_t> from_api;
    };

    void on(const message_received& it, time_point now, actions& out);
    void on(const number_seen& it, time_point now, actions& out);
    void on(const head_read& it, time_point now, actions& out);
    void on(const shard_read& it, time_point now, actions& out);
    void on(const accepted_here& it, time_point now, actions& out);
    void on(const peers_changed& it, time_point now, actions& out);
    void on(const tick& it, time_point now, actions& out);

    void on_message(const vm_id& from, const ticket_push& it, time_point now, actions& out);
    void on_message(const vm_id& from, const catch_up_request& it, time_point now, actions& out);
    void on_message(const vm_id& from, const head_reply& it, time_point now, actions& out);
    void on_message(const vm_id& from, const shard_request& it, time_point now, actions& out);
    void on_message(const vm_id& from, const shard_reply& it, time_point now, actions& out);
    void on_message(const vm_id& from, const number_notice& it, time_point now, actions& out);

    void take_head(const head& target, const vm_id& source, time_point now, actions& out);
    void take_shard(std::uint32_t index, const shard_name& name, const std::string& text,
                    time_point now, actions& out);
    void retry_shard(std::uint32_t index);
    void ask_shards(time_point now, actions& out);
    vm_id peer_for(std::uint32_t index) const;
    void finish_copy(actions& out);
    void adopt(committed_configuration next, actions& out);
    void relay(const ticket_push& it, const vm_id& except, actions& out);
    void ask_for_newer(const vm_id& peer, time_point now, actions& out);
    bool has_peer(const vm_id& vm) const;

    const replica_settings settings_;
    committed_configuration in_force_;
    model::ticket_number newest_known_ = 0;
    std::vector<vm_id> peers_;
    /// Relayed tickets in ascending order, without gaps, up to the number in force.
    std::deque<ticket_push> recent_;
    std::optional<copy> copy_;
    std::optional<time_point> asked_;
    std::size_t next_peer_ = 0;
};

}  // namespace radishpulley::tickets
