/// What VMs tell each other about a request that one passes on to the other.
///
/// The headers are the product's own and appear only between VMs: they are removed from what
/// callers and endpoints send and receive.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "base/identifier.h"
#include "gateway/http_text.h"
#include "routing/endpoint.h"

namespace radishpulley::gateway {

/// Terms on which a VM passes a caller's request on to another one.
struct relay_terms {
    request_id request;
    /// The VM that has the caller.
    vm_id origin;
    service_id service;
    /// Time since the caller's request arrived.
    std::chrono::milliseconds age{};
    /// Time until the caller's deadline.
    std::chrono::milliseconds time_left{};
    /// Number of endpoints on which the relay may run the request.
    unsigned attempts = 1;
    /// The stream goes on after this event.
    std::optional<std::string> last_event;
    /// The software that began the stream; it goes on at no other.
    std::optional<routing::software> began_at;
};

/// What became of a request that was passed on; accompanies every response of a relay.
struct relay_result {
    /// The endpoint that answered, and what it runs.
    endpoint_id endpoint;
    routing::software software;
    /// Number of endpoints on which the request may have run.
    unsigned runs = 0;
    /// Number of times that it was sent to endpoints.
    unsigned sends = 0;
    /// Why the relay itself refused the request; empty for an endpoint's response.
    std::string refusal;
    /// Whether the request may have crashed its endpoint, so that it must not be sent again.
    bool is_suspect = false;
};

/// Whether the header is one of those between VMs.
bool is_relay_header(std::string_view name);

/// Appends the terms, and a token made of them, of the time of day and of the secret.
void append_relay_terms(const relay_terms& it, std::string_view secret,
                        std::chrono::milliseconds time_of_day, std::string& out);

/// Returns the terms of a request if their token was made with the secret a short time ago.
std::optional<relay_terms> read_relay_terms(const header_list& headers, std::string_view secret,
                                            std::chrono::milliseconds time_of_day);

/// Returns the header that carries the result.
header relay_result_header(const relay_result& it);

/// Returns the result that a response states, or nothing if it states none.
std::optional<relay_result> read_relay_result(const header_list& headers);

}  // namespace radishpulley::gateway
