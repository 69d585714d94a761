/// Connections between the daemons as an interface.
///
/// A message is delivered at most once per connection, in order; it may be lost with its
/// connection. Whatever must not be lost is repeated by its sender and is idempotent.
#pragma once

#include <cstdint>
#include <functional>
#include <gsl/span>
#include <string>
#include <vector>

#include "base/identifier.h"
#include "peer/message.h"

namespace radishpulley::peer {

/// A daemon to connect to.
struct peer_address {
    vm_id vm;
    /// Such as ws://127.0.0.1:9100.
    std::string address;
};

/// Why a connection ended or could not be made.
enum class peer_fault {
    /// Nothing listens at the address: the VM is up and its daemon is not.
    connection_refused,
    timed_out,
    /// Nothing arrived within the heartbeat's deadline.
    silent,
    closed,
    /// The other side doesn't know the fleet's secret, or is another VM than expected.
    authentication_failed,
    wrong_version,
    /// The other side is an incarnation older than one seen before.
    old_incarnation,
    /// The other side has seen a newer incarnation of this VM: this process must end.
    superseded,
    /// A newer incarnation of the peer has connected.
    replaced,
    /// The other side broke the protocol.
    malformed
};

/// Returns the fault's name as it stands in logs, such as `connection_refused`.
const char* to_string(peer_fault fault);

/// A peer that was connected and now is not.
struct peer_loss {
    vm_incarnation peer;
    peer_fault fault = peer_fault::closed;
};

/// An attempt to connect that failed. It is repeated with jitter.
struct dial_failure {
    vm_id vm;
    peer_fault fault = peer_fault::timed_out;
};

/// Called from one thread, one at a time, without locks held. Must not throw or block.
struct transport_handlers {
    std::function<void(const peer_message&)> on_message;
    std::function<void(const vm_incarnation&)> on_connected;
    std::function<void(const peer_loss&)> on_lost;
    std::function<void(const dial_failure&)> on_dial_failed;
    /// Gives the body that heartbeats carry, null for none. May be empty.
    std::function<nlohmann::json()> heartbeat_body;
};

/// What became of a message handed to send().
enum class send_result {
    queued,
    not_connected,
    /// The peer takes its messages too slowly; this one is not sent.
    queue_full,
    too_large
};

/// Counts since start.
struct transport_counters {
    std::uint64_t frames_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t oversize_frames = 0;
    std::uint64_t malformed_frames = 0;
    std::uint64_t wrong_versions = 0;
    /// Frames that name a sender other than the authenticated one.
    std::uint64_t wrong_senders = 0;
    std::uint64_t authentication_failures = 0;
    std::uint64_t old_incarnations = 0;
    std::uint64_t silent_connections = 0;
    std::uint64_t refused_connections = 0;
    /// Heartbeats dropped from full queues.
    std::uint64_t heartbeats_dropped = 0;
    /// Messages that send() refused because the queue was full.
    std::uint64_t messages_refused = 0;
};

/// One count with its name, such as `silent_connections`.
struct counter_entry {
    const char* name = "";
    std::uint64_t value = 0;
};

/// Lists all counts, for metrics.
std::vector<counter_entry> list_counters(const transport_counters& it);

/// Sends messages to other daemons and reports what arrives. Safe to call from several threads.
class peer_transport {
public:
    virtual ~peer_transport() = default;

    /// Starts listening and connecting. Throws std::runtime_error when the port cannot be had.
    virtual void start(transport_handlers handlers) = 0;

    /// Replaces the peers that this daemon connects to. Peers connect to it as they like.
    virtual void set_peers(gsl::span<const peer_address> peers) = 0;

    /// Queues a message for a connected peer. Connects to nobody.
    virtual send_result send(const vm_id& vm, const outgoing_message& message) = 0;

    /// Returns the peers that are connected now.
    virtual std::vector<vm_incarnation> connected() const = 0;

    virtual transport_counters counters() const = 0;

    /// Closes everything. No handler is called after it returns.
    virtual void stop() = 0;
};

}  // namespace radishpulley::peer
