/// The transport over websocketpp, one thread for all connections of a daemon.
///
/// Example:
///     auto transport = websocket_transport_builder(clock)
///                          .self({vm, incarnation})
///                          .secret(fleet_secret)
///                          .listen("ws://127.0.0.1:9100")
///                          .build();
///     transport->start(handlers);
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "peer/transport.h"

namespace radishpulley::peer {

/// Settings of a transport. See websocket_transport_builder for their meaning.
struct websocket_transport_options {
    vm_incarnation self;
    std::string secret;
    std::string listen;
    duration heartbeat_interval = std::chrono::seconds(1);
    duration heartbeat_deadline = std::chrono::seconds(3);
    duration min_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(5);
    std::uint64_t jitter_seed = 0;
    std::uint32_t version = protocol_version;
};

/// Transport over WebSocket connections with CBOR frames.
class websocket_transport final : public peer_transport {
public:
    websocket_transport(const clock& time, websocket_transport_options options);
    ~websocket_transport() override;
    websocket_transport(const websocket_transport&) = delete;
    websocket_transport& operator=(const websocket_transport&) = delete;

    void start(transport_handlers handlers) override;
    void set_peers(gsl::span<const peer_address> peers) override;
    send_result send(const vm_id& vm, const outgoing_message& message) override;
    std::vector<vm_incarnation> connected() const override;
    transport_counters counters() const override;
    void stop() override;

    /// Returns the port listened on; differs from the settings where these say 0.
    std::uint16_t listen_port() const;

private:
    class engine;
    std::unique_ptr<engine> engine_;
};

/// Builds a transport; build() throws invalid_input with every fault of what was set.
class websocket_transport_builder {
public:
    /// `time` must live longer than the transport.
    explicit websocket_transport_builder(const clock& time) : time_(time) {}

    /// This daemon. Required.
    websocket_transport_builder& self(vm_incarnation it);
    /// The fleet's secret, by which daemons authenticate each other. Required, 16 bytes or more.
    websocket_transport_builder& secret(std::string text);
    /// Address such as ws://127.0.0.1:9100; port 0 lets the operating system choose. Required.
    websocket_transport_builder& listen(std::string address);
    /// Time between heartbeats, and the silence after which a connection is replaced.
    websocket_transport_builder& heartbeat(duration interval, duration deadline);
    /// Bounds of the time between two attempts to connect.
    websocket_transport_builder& backoff(duration low, duration high);
    /// Seed of the jitter. Differs between VMs by default.
    websocket_transport_builder& jitter_seed(std::uint64_t seed);
    /// Protocol version to claim; other than the default in tests only.
    websocket_transport_builder& version(std::uint32_t number);

    std::unique_ptr<websocket_transport> build() const;

private:
    const clock& time_;
    websocket_transport_options options_;
    bool has_seed_ = false;
};

}  // namespace radishpulley::peer
