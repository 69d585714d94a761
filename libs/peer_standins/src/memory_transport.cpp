#include "peer_standins/memory_transport.h"

#include <utility>

#include "peer/codec.h"

namespace radishpulley::peer_standins {

using peer::peer_fault;
using peer::send_result;

void memory_network::set_fault(const vm_id& from, const vm_id& to, link_fault fault) {
    faults_[{from, to}] = fault;
}

void memory_network::expire(const vm_id& a, const vm_id& b) {
    memory_transport* one = find(a);
    memory_transport* other = find(b);
    if (one != nullptr && other != nullptr && one->connected_.count(b) != 0) {
        ++one->counters_.silent_connections;
        ++other->counters_.silent_connections;
        disconnect(*one, *other, peer_fault::silent);
    }
}

void memory_network::deliver() {
    connect_all();
    while (!in_flight_.empty()) {
        const envelope next = std::move(in_flight_.front());
        in_flight_.pop_front();
        memory_transport* receiver = find(next.to.vm);
        const bool is_same = receiver != nullptr && receiver->self_ == next.to &&
                             receiver->connected_.count(next.message.sender.vm) != 0;
        if (is_same) {
            ++receiver->counters_.frames_received;
            receiver->handlers_.on_message(next.message);
        }
    }
}

void memory_network::connect_all() {
    const auto running = running_;
    for (const auto& [vm, dialer] : running) {
        const std::set<vm_id> due = std::exchange(dialer->due_, {});
        for (const vm_id& to : due) {
            if (dialer->connected_.count(to) == 0) {
                connect(*dialer, to);
            }
        }
        for (const vm_id& to : dialer->targets_) {
            if (dialer->connected_.count(to) == 0) {
                dialer->due_.insert(to);
            }
        }
    }
}

void memory_network::connect(memory_transport& dialer, const vm_id& to) {
    const auto fail = [&](peer_fault fault) { dialer.handlers_.on_dial_failed({to, fault}); };
    memory_transport* listener = find(to);
    if (listener == nullptr) {
        ++dialer.counters_.refused_connections;
        fail(peer_fault::connection_refused);
        return;
    }
    const vm_incarnation caller = dialer.self_;
    if (is_cut(caller.vm, to)) {
        fail(peer_fault::timed_out);
        return;
    }
    if (dialer.secret_ != listener->secret_) {
        ++dialer.counters_.authentication_failures;
        fail(peer_fault::authentication_failed);
        return;
    }
    if (caller.incarnation < listener->newest_[caller.vm]) {
        ++listener->counters_.old_incarnations;
        fail(peer_fault::superseded);
        return;
    }
    if (listener->self_.incarnation < dialer.newest_[to]) {
        ++dialer.counters_.old_incarnations;
        fail(peer_fault::old_incarnation);
        return;
    }
    dialer.newest_[to] = listener->self_.incarnation;
    listener->newest_[caller.vm] = caller.incarnation;
    dialer.connected_[to] = listener->self_;
    listener->connected_[caller.vm] = caller;
    dialer.handlers_.on_connected(listener->self_);
    listener->handlers_.on_connected(caller);
}

void memory_network::disconnect(memory_transport& a, memory_transport& b, peer_fault fault) {
    a.connected_.erase(b.self_.vm);
    b.connected_.erase(a.self_.vm);
    a.handlers_.on_lost({b.self_, fault});
    b.handlers_.on_lost({a.self_, fault});
}

memory_transport* memory_network::find(const vm_id& vm) const {
    const auto it = running_.find(vm);
    return it == running_.end() ? nullptr : it->second;
}

bool memory_network::is_cut(const vm_id& a, const vm_id& b) const {
    return fault(a, b) == link_fault::lose || fault(b, a) == link_fault::lose;
}

link_fault memory_network::fault(const vm_id& from, const vm_id& to) const {
    const auto it = faults_.find({from, to});
    return it == faults_.end() ? link_fault::none : it->second;
}

memory_transport::memory_transport(memory_network& network, vm_incarnation self, std::string secret)
    : network_(network), self_(std::move(self)), secret_(std::move(secret)) {}

memory_transport::~memory_transport() {
    stop();
}

void memory_transport::start(peer::transport_handlers handlers) {
    handlers_ = std::move(handlers);
    network_.running_[self_.vm] = this;
}

void memory_transport::set_peers(gsl::span<const peer::peer_address> peers) {
    targets_.clear();
    for (const peer::peer_address& it : peers) {
        if (it.vm != self_.vm) {
            targets_.insert(it.vm);
        }
    }
    due_ = targets_;
}

send_result memory_transport::send(const vm_id& vm, const peer::outgoing_message& message) {
    const auto it = connected_.find(vm);
    const peer::peer_message sent{peer::protocol_version, self_, ++sequence_, message.type,
                                  message.body};
    if (peer::encode(sent).size() > peer::max_frame_size) {
        return send_result::too_large;
    }
    if (it == connected_.end()) {
        return send_result::not_connected;
    }
    ++counters_.frames_sent;
    const link_fault fault = network_.fault(self_.vm, vm);
    const int copies = fault == link_fault::lose ? 0 : fault == link_fault::duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        network_.in_flight_.push_back({it->second, sent});
    }
    return send_result::queued;
}

std::vector<vm_incarnation> memory_transport::connected() const {
    std::vector<vm_incarnation> peers;
    for (const auto& [vm, it] : connected_) {
        peers.push_back(it);
    }
    return peers;
}

void memory_transport::stop() {
    const auto running = network_.running_.find(self_.vm);
    if (running == network_.running_.end() || running->second != this) {
        return;
    }
    network_.running_.erase(running);
    for (const auto& [vm, it] : std::exchange(connected_, {})) {
        if (memory_transport* other = network_.find(vm)) {
            other->connected_.erase(self_.vm);
            other->handlers_.on_lost({self_, peer_fault::closed});
        }
    }
}

}  // namespace radishpulley::peer_standins
