/// Endpoints of application services, and HTTP clients of all endpoints.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "model/configuration.h"

namespace radishpulley::daemon {

/// An endpoint and its client.
struct chosen_endpoint {
    endpoint_id id;
    std::string address;
};

/// Chooses endpoints by fewest running requests of this daemon, with failing ones last.
/// Lock order: its lock is taken after a session's; it calls nothing while it holds it.
class application_pool {
public:
    explicit application_pool(std::chrono::milliseconds silence_limit);

    void configure(const model::configuration& now);

    /// Chooses an endpoint of a service and counts the request; nothing when none takes new work.
    std::optional<chosen_endpoint> choose(const service_id& service,
                                          const std::vector<endpoint_id>& avoid, time_point now);
    void ended(const endpoint_id& id);
    void failed(const endpoint_id& id, time_point now);

    /// Returns whether an endpoint may get new work: it is configured and not draining.
    bool may_start(const endpoint_id& id) const;
    /// Returns the address of an endpoint that is configured.
    std::optional<std::string> address_of(const endpoint_id& id) const;
    /// Returns a client of an address; clients that keep connections are shared.
    std::shared_ptr<http::client> client_for(const std::string& address,
                                             http::connection_reuse reuse);

private:
    struct entry {
        model::endpoint configured;
        std::size_t running = 0;
        time_point failed_until{};
    };

    const std::chrono::milliseconds silence_limit_;
    mutable std::mutex mutex_;
    std::map<endpoint_id, entry> endpoints_;
    std::map<std::string, std::shared_ptr<http::client>> clients_;
};

}  // namespace radishpulley::daemon
