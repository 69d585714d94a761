/// What happens to a request, as the daemon tells its request_machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/request_error.h"
#include "requests/stream_assembler.h"

namespace radishpulley::requests::events {

/// The request is well formed and names a service that exists.
struct validated {};
/// The caller's key is valid for the request's client account, or the route is open.
struct authenticated {};
/// The request waits for a place.
struct queued {};
/// Rate, burst, bounds and order let the request go.
struct admitted {};
/// A step before the endpoint refused the request: parser, keys, limits, queue or routing.
struct refused {
    error_code code = error_code::bad_request;
    std::string message;
    std::optional<duration> retry_after;
};
/// Routing chose an endpoint, and the use of its adapter is counted.
struct endpoint_chosen {
    endpoint_id endpoint;
    /// It can continue a stream from a number of delivered events.
    bool can_resume = false;
};
/// The idempotency record was created for this request.
struct record_created {};
/// The idempotency record holds the outcome of an earlier request with the same key.
struct record_found {
    int status = 0;
    std::string content_type;
    std::string body;
};
/// The idempotency record forbids a run: the earlier outcome is unknown or not kept, the key was
/// used for other content, or the record could not be made.
struct record_refused {
    error_code code = error_code::outcome_unknown;
    run_state run = run_state::unknown;
    std::string message;
};
/// The connection for an attempt is open and no byte was written.
struct connected {
    attempt_number attempt = 0;
};
/// The writer gave the attempt back before it wrote a byte, because the endpoint or the state was
/// no longer to be trusted.
struct not_sent {
    attempt_number attempt = 0;
};
/// The endpoint's status line and headers.
struct response_head {
    attempt_number attempt = 0;
    int status = 0;
    std::string content_type;
    body_framing framing = body_framing::chunked;
    std::optional<std::uint64_t> content_length;
    /// Request id that the endpoint echoes, where it does.
    std::optional<request_id> echoed_id;
    /// Adapter and version that the endpoint says it ran, as `adapter@version`, where it does.
    std::optional<std::string> served_version;
    /// Events that the endpoint skipped because they were delivered before.
    std::uint64_t resumed_from = 0;
};
/// Bytes of the answer's body.
struct chunk {
    attempt_number attempt = 0;
    std::uint64_t sequence = 0;
    std::string data;
};
/// The answer's end. `clean` is false where the connection broke.
struct response_end {
    attempt_number attempt = 0;
    bool clean = true;
};
/// The attempt failed: connection refused, broken, or silent beyond its deadline.
struct attempt_failed {
    attempt_number attempt = 0;
    bool silent = false;
    /// No connection was made, so no byte was written. For HTTP clients that connect and write in
    /// one call: they get `connected` before it and report this after it.
    bool not_connected = false;
};
/// The retry budget lets the request try again after `delay`.
struct retry_granted {
    duration delay{0};
};
/// The retry budget is spent.
struct retry_denied {};
/// The endpoint takes no new work from now on.
struct endpoint_leaving {
    endpoint_id endpoint;
};
/// Bytes that wait to be read by the caller.
struct caller_backlog {
    std::size_t bytes = 0;
};
/// The caller closed its connection.
struct caller_left {};
/// The caller's key was withdrawn.
struct key_withdrawn {};
/// The daemon's grace at shutdown is over.
struct grace_ended {};
/// Time passed.
struct tick {};

}  // namespace radishpulley::requests::events

namespace radishpulley::requests {

/// Any event of a request.
using event =
    std::variant<events::validated, events::authenticated, events::queued, events::admitted,
                 events::refused, events::endpoint_chosen, events::record_created,
                 events::record_found, events::record_refused, events::connected,
                 events::not_sent, events::response_head, events::chunk, events::response_end,
                 events::attempt_failed, events::retry_granted, events::retry_denied,
                 events::endpoint_leaving, events::caller_backlog, events::caller_left,
                 events::key_withdrawn, events::grace_ended, events::tick>;

}  // namespace radishpulley::requests
