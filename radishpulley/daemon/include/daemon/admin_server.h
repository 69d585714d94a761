/// The operators' port: tickets, resources, keys, status and metrics.
///
/// POST /v1/tickets; GET /v1/tickets/N; GET /v1/resources/KIND[/NAME]; POST /v1/keys {id, account,
/// number}; GET /v1/status; GET /metrics, /healthz, /readyz. All but the last three need the
/// operators' token as a bearer token.
#pragma once

#include <memory>
#include <string>

#include "daemon/caller_server.h"
#include "daemon/services.h"
#include "http/server.h"
#include "telemetry/metrics.h"

namespace radishpulley::daemon {

/// What the administration port needs besides the services.
struct admin_settings {
    std::string address;
    http::tls_files tls;
    /// SHA-256 of the operators' token, hexadecimal.
    std::string token_digest;
    /// HMAC secret of the key digests.
    std::string key_secret;
};

/// Listens from construction to destruction.
class admin_server {
public:
    admin_server(admin_settings settings, services& with, service_state& state,
                 telemetry::registry& metrics);

private:
    void take(const http::request& it, const std::shared_ptr<http::responder>& answer);
    bool is_operator(const http::request& it) const;
    http::response accept_ticket(const http::request& it);
    http::response create_key(const http::request& it);
    http::response show_ticket(std::string_view number) const;
    http::response show_resources(std::string_view path) const;
    http::response show_status() const;

    const admin_settings settings_;
    services& services_;
    service_state& state_;
    telemetry::registry& metrics_;
    http::server server_;
};

}  // namespace radishpulley::daemon
