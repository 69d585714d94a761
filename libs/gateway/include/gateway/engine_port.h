/// Orders to engines and their reports; the deployment's adapter implements it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "routing/endpoint.h"
#include "routing/engine_controller.h"

namespace radishpulley::gateway {

/// By what right an order is given.
struct order_authority {
    /// Name of the VM.
    std::string holder;
    std::uint64_t fencing_number = 0;
};

/// Client of all engines; callbacks come once, on the loop's thread.
class engine_port {
public:
    virtual ~engine_port() = default;
    virtual void send_order(const routing::endpoint& engine, const routing::engine_order& order,
                      const order_authority& by,
                      std::function<void(routing::order_outcome)> done) = 0;
    /// Asks an engine for its state; nothing where it did not answer.
    virtual void fetch_report(const routing::endpoint& engine,
                     std::function<void(std::optional<routing::engine_report>)> done) = 0;
};

}  // namespace radishpulley::gateway
