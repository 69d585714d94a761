#include "fleet.h"

#include <unistd.h>

#include <algorithm>

namespace radishpulley::peer_standins {
namespace {

std::string name_of(const vm_incarnation& it) {
    return it.vm.str() + "/" + std::to_string(it.incarnation);
}

}  // namespace

peer::transport_handlers event_recorder::handlers() {
    peer::transport_handlers it;
    it.on_message = [this](const peer::peer_message& message) {
        add("message " + name_of(message.sender) + " " + message.type + " " + message.body.dump());
    };
    it.on_connected = [this](const vm_incarnation& peer) { add("connected " + name_of(peer)); };
    it.on_lost = [this](const peer::peer_loss& loss) {
        add("lost " + name_of(loss.peer) + " " + to_string(loss.fault));
    };
    it.on_dial_failed = [this](const peer::dial_failure& failure) {
        add("dial_failed " + failure.vm.str() + " " + to_string(failure.fault));
    };
    return it;
}

std::size_t event_recorder::count(const std::string& line) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<std::size_t>(std::count(lines_.begin(), lines_.end(), line));
}

void event_recorder::wait_briefly() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(10));
}

void event_recorder::add(std::string line) {
    const std::lock_guard<std::mutex> lock(mutex_);
    lines_.push_back(std::move(line));
    changed_.notify_all();
}

void fleet::start(const std::string& vm, incarnation_number incarnation,
                  const std::string& secret) {
    auto transport = make({vm_id(vm), incarnation}, secret);
    transport->start(recorders_[vm].handlers());
    on_started(vm, *transport);
    transports_[vm] = std::move(transport);
}

bool fleet::sees(const std::string& vm, const std::string& line, std::size_t times) {
    return wait(vm, [&] { return recorders_[vm].count(line) >= times; });
}

void memory_fleet::connect(const std::string& from, const std::string& to, route) {
    const std::vector<peer::peer_address> peers = {{vm_id(to), ""}};
    at(from).set_peers(peers);
}

void memory_fleet::silence(const std::string& from, const std::string& to) {
    network_.expire(vm_id(from), vm_id(to));
}

std::unique_ptr<peer::peer_transport> memory_fleet::make(const vm_incarnation& self,
                                                         const std::string& secret) {
    return std::make_unique<memory_transport>(network_, self, secret);
}

void memory_fleet::step(event_recorder&) {
    network_.deliver();
}

void websocket_fleet::connect(const std::string& from, const std::string& to, route by) {
    std::uint16_t port = ports_.at(to);
    if (by == route::breakable) {
        auto& link = forwarders_[{from, to}];
        link = std::make_unique<forwarder>(host_, port);
        port = link->port();
    }
    const std::string address = "ws://" + host_ + ":" + std::to_string(port);
    const std::vector<peer::peer_address> peers = {{vm_id(to), address}};
    at(from).set_peers(peers);
}

void websocket_fleet::silence(const std::string& from, const std::string& to) {
    forwarders_.at({from, to})->freeze();
}

std::unique_ptr<peer::peer_transport> websocket_fleet::make(const vm_incarnation& self,
                                                            const std::string& secret) {
    return peer::websocket_transport_builder(clock_)
        .self(self)
        .secret(secret)
        .listen("ws://" + host_ + ":" + std::to_string(ports_[self.vm.str()]))
        .heartbeat(deadline_ / 10, deadline_)
        .backoff(std::chrono::milliseconds(5), std::chrono::milliseconds(50))
        .jitter_seed(1)
        .build();
}

void websocket_fleet::on_started(const std::string& vm, peer::peer_transport& it) {
    ports_[vm] = dynamic_cast<peer::websocket_transport&>(it).listen_port();
}

std::string own_loopback_address() {
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 40'000 % 200) + "." + std::to_string(pid / 200 % 200) +
           "." + std::to_string(1 + pid % 200);
}

}  // namespace radishpulley::peer_standins
