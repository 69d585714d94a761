#include "peer/websocket_transport.h"

#include "base/digest.h"
#include "base/findings.h"
#include "details/listen_address.h"
#include "details/websocket_engine.h"

namespace radishpulley::peer {
namespace {

constexpr std::size_t min_secret_bytes = 16;

findings check(const websocket_transport_options& it) {
    findings found;
    if (it.self.vm.empty()) {
        found.add("self", "must name a VM");
    }
    if (it.secret.size() < min_secret_bytes) {
        found.add("secret", "must have at least 16 bytes");
    }
    if (!detail::parse_listen_address(it.listen)) {
        found.add("listen", "must be an address such as ws://127.0.0.1:9100");
    }
    if (it.heartbeat_interval <= duration::zero()) {
        found.add("heartbeat_interval", "must be longer than zero");
    }
    if (it.heartbeat_deadline <= it.heartbeat_interval) {
        found.add("heartbeat_deadline", "must be longer than heartbeat_interval");
    }
    if (it.min_backoff <= duration::zero() || it.max_backoff < it.min_backoff) {
        found.add("backoff", "must be longer than zero and in order");
    }
    return found;
}

}  // namespace

websocket_transport::websocket_transport(const clock& time, websocket_transport_options options)
    : engine_(std::make_unique<engine>(time, std::move(options))) {}

websocket_transport::~websocket_transport() = default;

void websocket_transport::start(transport_handlers handlers) {
    engine_->start(std::move(handlers));
}

void websocket_transport::set_peers(gsl::span<const peer_address> peers) {
    engine_->set_peers({peers.begin(), peers.end()});
}

send_result websocket_transport::send(const vm_id& vm, const outgoing_message& message) {
    return engine_->send(vm, message);
}

std::vector<vm_incarnation> websocket_transport::connected() const {
    return engine_->connected();
}

transport_counters websocket_transport::counters() const {
    return engine_->counters();
}

void websocket_transport::stop() {
    engine_->stop();
}

std::uint16_t websocket_transport::listen_port() const {
    return engine_->listen_port();
}

websocket_transport_builder& websocket_transport_builder::self(vm_incarnation it) {
    options_.self = std::move(it);
    return *this;
}

websocket_transport_builder& websocket_transport_builder::secret(std::string text) {
    options_.secret = std::move(text);
    return *this;
}

websocket_transport_builder& websocket_transport_builder::listen(std::string address) {
    options_.listen = std::move(address);
    return *this;
}

websocket_transport_builder& websocket_transport_builder::heartbeat(duration interval,
                                                                    duration deadline) {
    options_.heartbeat_interval = interval;
    options_.heartbeat_deadline = deadline;
    return *this;
}

websocket_transport_builder& websocket_transport_builder::backoff(duration low, duration high) {
    options_.min_backoff = low;
    options_.max_backoff = high;
    return *this;
}

websocket_transport_builder& websocket_transport_builder::jitter_seed(std::uint64_t seed) {
    options_.jitter_seed = seed;
    has_seed_ = true;
    return *this;
}

websocket_transport_builder& websocket_transport_builder::version(std::uint32_t number) {
    options_.version = number;
    return *this;
}

std::unique_ptr<websocket_transport> websocket_transport_builder::build() const {
    const findings found = check(options_);
    if (!found.empty()) {
        throw invalid_input(found);
    }
    websocket_transport_options options = options_;
    if (!has_seed_) {
        options.jitter_seed = stable_hash(options.self.vm.str());
    }
    return std::make_unique<websocket_transport>(time_, std::move(options));
}

}  // namespace radishpulley::peer
