/// What callers ask for, parsed and checked against the configuration. Pure.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/identifier.h"
#include "http/message.h"
#include "model/configuration.h"
#include "placement/messages.h"
#include "requests/request_error.h"
#include "requests/request_machine.h"

namespace radishpulley::daemon {

/// A completion by an adapter.
struct model_call {
    service_id service;
    placement::adapter_ref adapter;
    bool open = false;
    bool streamed = false;
    /// Tokens charged at admission: of the prompt, and the most that may be generated.
    double prompt_tokens = 0;
    double max_tokens = 0;
    /// Hash of the prompt's first part.
    std::uint64_t prefix = 0;
    /// The request to send to an engine, without any key.
    http::request to_endpoint;
};

/// A call of an application service.
struct application_call {
    service_id service;
    bool open = false;
    requests::repeat_policy repeat = requests::repeat_policy::idempotent;
    std::string idempotency_key;
    http::request to_endpoint;
};

/// The list of adapters that the caller's account may use.
struct list_models_call {};

/// Why a request cannot be served.
struct call_error {
    requests::error_code code = requests::error_code::bad_request;
    std::string message;
};

using caller_call = std::variant<model_call, application_call, list_models_call, call_error>;

/// Parses a request. Everything that only depends on the request and the configuration is checked.
caller_call parse_call(const http::request& it, const model::configuration& now);

/// Returns the caller's key, or nothing.
std::optional<std::string> bearer_token(const http::request& it);

/// Returns whether `account` may use an adapter.
bool may_use(const model::adapter& it, const client_account_id& account);

/// Returns the body of GET /v1/models for one account.
std::string models_body(const model::configuration& now, const client_account_id& account);

}  // namespace radishpulley::daemon
