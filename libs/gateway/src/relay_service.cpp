#include "relay_service.h"

#include <algorithm>

#include "gateway/http_status.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

// Room for the headers between VMs in addition to those of the caller.
constexpr std::size_t relay_header_bytes = 8'192;
// Idle time after which a peer's connection is closed, if the peer has not closed it before.
constexpr std::chrono::milliseconds min_idle_timeout = std::chrono::seconds(15);

void respond_forbidden(response_writer& out) {
    constexpr std::string_view body = "{\"error\":\"no_relay_token\"}";
    caller_response head;
    head.status = status_forbidden;
    head.headers.push_back({"Content-Type", "application/json"});
    head.length = body.size();
    out.send_head(head);
    out.send_body(body);
    out.send_end();
}

}  // namespace

caller_service::limits relay_service::caller_limits() const {
    limits out = owner_.caller_limits();
    out.max_header_bytes += relay_header_bytes;
    out.idle_timeout = std::max(out.idle_timeout, min_idle_timeout);
    return out;
}

std::shared_ptr<request_work> relay_service::start(caller_request request, response_writer& out) {
    if (const auto terms = owner_.relay_terms_of(request.headers)) {
        return owner_.start_relayed(std::move(request), *terms, out);
    }
    telemetry::log_event(telemetry::severity::warning, "relay_token_refused", {});
    respond_forbidden(out);
    return nullptr;
}

bool relay_service::refuse_early(caller_request head, response_writer& out) {
    if (const auto terms = owner_.relay_terms_of(head.headers)) {
        return owner_.refuse_relayed_early(std::move(head), *terms, out);
    }
    telemetry::log_event(telemetry::severity::warning, "relay_token_refused", {});
    respond_forbidden(out);
    return true;
}

void relay_service::refuse(caller_request head, std::string_view reason, response_writer& out) {
    if (const auto terms = owner_.relay_terms_of(head.headers)) {
        owner_.refuse_relayed(std::move(head), *terms, reason, out);
    } else {
        respond_forbidden(out);
    }
}

}  // namespace radishpulley::gateway
