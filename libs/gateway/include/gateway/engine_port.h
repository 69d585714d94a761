/// Sends orders to engines and fetches their reports; the deployment's adapter implements it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "routing/endpoint.h"
#include "routing/engine_controller.h"

namespace radishpulley::gateway {

/// Credentials of an order: its issuer and the fencing number.
struct order_authority {
    /// Name of the VM that holds the engine.
    std::string holder;
    std::uint64_t fencing_number = 0;
};

/// Client of all engines; each callback runs once, on the loop's thread.
class engine_port {
public:
    virtual ~engine_port() = default;
    virtual void send_order(const routing::endpoint& engine, const routing::engine_order& order,
                            const order_authority& by,
                            std::function<void(routing::order_outcome)> done) = 0;
    /// Requests an engine's state; yields nothing if the engine does not respond.
    virtual void fetch_report(const routing::endpoint& engine,
                              std::function<void(std::optional<routing::engine_report>)> done) = 0;
};

}  // namespace radishpulley::gateway
