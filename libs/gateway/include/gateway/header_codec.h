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

/// What a daemon tells an endpoint about a request, beside what the caller sent.
struct call_attributes {
    /// The endpoint that is meant; any other refuses the request.
    endpoint_id expected;
    /// Empty on routes that are open to all.
    client_account_id account;
    std::optional<std::chrono::milliseconds> time_left;
    /// 0 is the most urgent.
    std::optional<int> priority;
    /// Version of the adapter that the request must run on.
    std::optional<std::uint64_t> adapter_version;
    /// The stream goes on after this event.
    std::optional<std::string> last_event;
};

/// What an answer says beside its status and body.
struct response_attributes {
    /// It bears an endpoint's signature.
    bool is_signed = false;
    /// The endpoint states that it did not run the request.
    bool not_run = false;
    /// What the endpoint says of itself.
    routing::endpoint_notice notice;
};

/// Translation of headers.
class header_codec {
public:
    virtual ~header_codec() = default;
    /// Reads a caller's statements.
    virtual routing::request_attributes read_request(const header_list& headers) const = 0;
    /// Whether a caller's header goes on to the endpoint as it is.
    virtual bool is_forwarded(std::string_view name) const = 0;
    /// Appends the headers of a statement.
    virtual void append_call_attributes(const call_attributes& it, std::string& out) const = 0;
    /// Reads an answer's head.
    virtual response_attributes read_response(unsigned status, const header_list& headers) const = 0;
    /// Name of the header by which requests and answers state the request's id.
    virtual std::string_view id_header() const = 0;
};

}  // namespace radishpulley::gateway
