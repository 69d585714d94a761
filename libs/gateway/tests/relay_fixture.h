/// Two gateways on one loop: the fixture's own, which has the callers, and a peer to which it
/// passes requests on.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {

constexpr const char* fleet_secret = "fleet-secret";

/// A time of day that moves only when told to.
class manual_wall_clock final : public wall_clock {
public:
    std::chrono::milliseconds since_epoch() const override { return now; }
    std::chrono::milliseconds now{1'700'000'000'000};
};

/// Chooses the first VM of a list that is not excluded.
class stub_relay_peers final : public relay_peers {
public:
    explicit stub_relay_peers(const char* self) : self_(self) {}

    std::optional<relay_target> choose(const service_id&, const routing::allowed_regions& regions,
                                       const request_id&,
                                       const std::set<vm_id>& excluded) const override {
        asked_regions = regions;
        for (const relay_target& it : targets) {
            if (excluded.count(it.vm) == 0) {
                return it;
            }
        }
        return std::nullopt;
    }
    const vm_id& self() const override { return self_; }
    const std::string& secret() const override { return secret_text; }

    std::vector<relay_target> targets;
    std::string secret_text = fleet_secret;
    mutable routing::allowed_regions asked_regions;

private:
    vm_id self_;
};

/// A gateway that serves requests which other VMs pass on to it.
class relay_node {
public:
    relay_node(gateway_fixture& owner, const char* name, gateway_settings settings = {})
        : peers(name),
          proxy(owner.loop, owner.time, owner.codec, metrics, std::move(settings)),
          owner_(owner),
          acceptor_(owner.loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
        proxy.set_broker(broker);
        proxy.on_software_record({});
        proxy.set_relay_peers(peers, time_of_day);
        configure();
        accept();
    }

    void configure(double rate = 0) {
        proxy.on_configuration(std::make_shared<routing::configuration>(owner_.content(rate)));
    }

    relay_target target() const { return {peers.self(), address()}; }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    fake_endpoint& add_endpoint(const std::string& id, fake_endpoint::script on_request,
                                const std::string& software_version = "v1") {
        endpoints_.emplace_back(owner_.loop, std::move(on_request));
        routing::endpoint entry;
        entry.id = endpoint_id(id);
        entry.service = service_id("s");
        entry.address = endpoints_.back().address();
        entry.slots = 4;
        entry.software_version = software_version;
        proxy.on_endpoint(entry);
        return endpoints_.back();
    }

    /// Number of connections that were accepted.
    int accepted = 0;
    telemetry::registry metrics;
    stub_broker broker;
    stub_relay_peers peers;
    manual_wall_clock time_of_day;
    gateway proxy;

private:
    void accept() {
        acceptor_.async_accept([this](auto ec, tcp::socket socket) {
            if (!ec) {
                ++accepted;
                proxy.accept_peer(std::move(socket));
                accept();
            }
        });
    }

    gateway_fixture& owner_;
    tcp::acceptor acceptor_;
    std::list<fake_endpoint> endpoints_;
};

/// An origin that reaches no endpoint, and one peer.
class relay_fixture : public gateway_fixture {
public:
    relay_fixture() {
        configure();
        proxy().set_relay_peers(origin_peers, time_of_day);
        proxy().set_reaches([this](const service_id&) { return reaches; });
        origin_peers.targets = {relay.target()};
    }
    ~relay_fixture() {
        proxy().close_callers();
        relay.proxy.close_callers();
    }

    /// Sends one request on a new connection and returns its response with a length.
    std::string call(const std::string& text, const std::string& end) {
        return round_trip(text, [&](const peer& it) { return ends_with(it.received, end); });
    }

    /// Connects to a peer's port.
    std::shared_ptr<peer> connect_to(const std::string& address) {
        tcp::socket socket(loop, tcp::v4());
        socket.connect(parse_address(address));
        auto it = std::make_shared<peer>(std::move(socket));
        it->start();
        return it;
    }

    bool reaches = false;
    manual_wall_clock time_of_day;
    stub_relay_peers origin_peers{"origin"};
    relay_node relay{*this, "relay"};
};

}  // namespace radishpulley::gateway::testing
