/// The callers' port: answers health checks and starts a session for every other request.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "daemon/caller_request.h"
#include "daemon/services.h"
#include "http/server.h"

namespace radishpulley::daemon {

/// Whether the daemon takes new requests.
struct service_state {
    std::atomic<bool> ready{false};
    std::atomic<bool> accepts_new{true};
};

/// Listens from construction to destruction.
class caller_server {
public:
    caller_server(const std::string& address, http::server_limits limits, http::tls_files tls,
                  services& with, service_state& state);

private:
    void take(http::request it, const std::shared_ptr<http::responder>& answer);
    void list_models(const http::request& it, http::responder& answer, const request_id& id);
    request_id next_id();

    services& services_;
    service_state& state_;
    std::atomic<std::uint64_t> last_id_{0};
    http::server server_;
};

}  // namespace radishpulley::daemon
