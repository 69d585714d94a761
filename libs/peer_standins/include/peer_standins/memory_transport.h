/// A transport within one process for tests: no sockets, no threads, no time.
///
/// Nothing happens until memory_network::deliver() is called, and then everything that is due does,
/// in the order in which it was asked for.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peer/transport.h"

namespace radishpulley::peer_standins {

/// What a link does with messages in one direction.
enum class link_fault { none, lose, duplicate };

class memory_transport;

/// Connects the memory transports of one test.
class memory_network {
public:
    /// Sets what happens to messages from one VM to another.
    void set_fault(const vm_id& from, const vm_id& to, link_fault fault);

    /// Ends the connection between two VMs as after a missed heartbeat; both may connect again.
    void expire(const vm_id& a, const vm_id& b);

    /// Connects, delivers and reports until nothing is left to do.
    void deliver();

private:
    friend class memory_transport;

    struct envelope {
        vm_incarnation to;
        peer::peer_message message;
    };

    void connect_all();
    void connect(memory_transport& dialer, const vm_id& to);
    void disconnect(memory_transport& a, memory_transport& b, peer::peer_fault fault);
    memory_transport* find(const vm_id& vm) const;
    bool is_cut(const vm_id& a, const vm_id& b) const;
    link_fault fault(const vm_id& from, const vm_id& to) const;

    std::map<vm_id, memory_transport*> running_;
    std::map<std::pair<vm_id, vm_id>, link_fault> faults_;
    std::deque<envelope> in_flight_;
};

/// One daemon's transport on a memory_network, which must live longer.
class memory_transport final : public peer::peer_transport {
public:
    memory_transport(memory_network& network, vm_incarnation self, std::string secret);
    ~memory_transport() override;
    memory_transport(const memory_transport&) = delete;
    memory_transport& operator=(const memory_transport&) = delete;

    void start(peer::transport_handlers handlers) override;
    void set_peers(gsl::span<const peer::peer_address> peers) override;
    peer::send_result send(const vm_id& vm, const peer::outgoing_message& message) override;
    std::vector<vm_incarnation> connected() const override;
    peer::transport_counters counters() const override { return counters_; }
    void stop() override;

private:
    friend class memory_network;

    memory_network& network_;
    vm_incarnation self_;
    std::string secret_;
    peer::transport_handlers handlers_;
    std::set<vm_id> targets_;
    // Targets that are tried at the next deliver(); each failure is reported once until then.
    std::set<vm_id> due_;
    std::map<vm_id, vm_incarnation> connected_;
    std::map<vm_id, incarnation_number> newest_;
    std::uint64_t sequence_ = 0;
    peer::transport_counters counters_;
};

}  // namespace radishpulley::peer_standins
