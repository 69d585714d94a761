/// Reads and writes the headers of a deployment; the deployment's adapter implements it.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/identifier.h"
#include "gateway/http_text.h"
#include "routing/endpoint_notice.h"
#include "routing/request_attributes.h"

namespace radishpulley::gateway {

/// What a daemon tells an endpoint about a request in addition to the caller's own headers.
struct call_attributes {
    /// The intended endpoint; any other endpoint rejects the request.
    endpoint_id expected;
    /// Empty on routes that require no key.
    client_account_id account;
    std::optional<std::chrono::milliseconds> time_left;
    /// 0 is the highest priority.
    std::optional<int> priority;
    /// Version of the adapter that the request must run on.
    std::optional<std::uint64_t> adapter_version;
    /// Resumes the stream after this event.
    std::optional<std::string> last_event;
};

/// Attributes of a response besides its status and body.
struct response_attributes {
    /// Whether the response carries an endpoint's signature.
    bool is_signed = false;
    /// Whether the endpoint states that it did not run the request.
    bool not_run = false;
    /// What the endpoint reports about itself.
    routing::endpoint_notice notice;
};

/// Translates between the deployment's headers and the gateway's types.
class header_codec {
public:
    virtual ~header_codec() = default;
    /// Reads the attributes of a caller's request.
    virtual routing::request_attributes read_request(const header_list& headers) const = 0;
    /// Whether a caller's header is forwarded to the endpoint unchanged.
    virtual bool is_forwarded(std::string_view name) const = 0;
    /// Appends the headers that carry the call attributes.
    virtual void append_call_attributes(const call_attributes& it, std::string& out) const = 0;
    /// Reads the attributes of a response from its status and headers.
    virtual response_attributes read_response(unsigned status,
                                              const header_list& headers) const = 0;
    /// Name of the header that carries the request id in requests and responses.
    virtual std::string_view id_header() const = 0;
};

}  // namespace radishpulley::gateway
