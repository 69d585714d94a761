/// Events that the daemon delivers to a request_machine.
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

/// The request is well-formed and names an existing service.
struct validated {};
/// The API key is valid for the request's client account, or the route needs no key.
struct authenticated {};
/// The request waits in the admission queue.
struct queued {};
/// The rate limit, the burst limit, the concurrency limits and the fair order admit the request.
struct admitted {};
/// A step before the endpoint refused the request: parsing, authentication, limits, admission or
/// routing.
struct refused {
    error_code code = error_code::bad_request;
    std::string message;
    std::optional<duration> retry_after;
};
/// Routing chose an endpoint and counted the use of its adapter.
struct endpoint_chosen {
    endpoint_id endpoint;
    /// Whether the endpoint can resume a stream after a given number of delivered events.
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
/// The idempotency record forbids a run: the earlier outcome is unknown or not kept, the
/// idempotency key was used with other content, or the record could not be created.
struct record_refused {
    error_code code = error_code::outcome_unknown;
    run_state run = run_state::unknown;
    std::string message;
};
/// The connection for an attempt is open, and nothing has been written to it.
struct connected {
    attempt_number attempt = 0;
};
/// The writer wrote no byte of the attempt, because the endpoint is leaving or the local state is
/// stale.
struct not_sent {
    attempt_number attempt = 0;
};
/// The status and the headers of the endpoint's response.
struct response_head {
    attempt_number attempt = 0;
    int status = 0;
    std::string content_type;
    body_framing framing = body_framing::chunked;
    std::optional<std::uint64_t> content_length;
    /// Request id that the endpoint echoed, if any.
    std::optional<request_id> echoed_id;
    /// Adapter and version that the endpoint reports to have run, as `adapter@version`, if any.
    std::optional<std::string> served_version;
    /// Number of events that the endpoint skipped because they were delivered before.
    std::uint64_t resumed_from = 0;
};
/// Bytes of the response body.
struct chunk {
    attempt_number attempt = 0;
    std::uint64_t sequence = 0;
    std::string data;
};
/// The end of the response. `clean` is false if the connection broke.
struct response_end {
    attempt_number attempt = 0;
    bool clean = true;
};
/// The attempt failed: the connection was refused, broke, or was silent beyond its deadline.
struct attempt_failed {
    attempt_number attempt = 0;
    bool timed_out = false;
    /// No connection was established, so nothing was written. For HTTP clients that connect and
    /// write in one call: the machine gets `connected` before that call and this event after it.
    bool not_connected = false;
};
/// The retry budget grants a retry after `delay`.
struct retry_granted {
    duration delay{0};
};
/// The retry budget is exhausted.
struct retry_denied {};
/// The endpoint gets no new requests from now on.
struct endpoint_leaving {
    endpoint_id endpoint;
};
/// The number of bytes that the caller has not read yet.
struct caller_backlog {
    std::size_t bytes = 0;
};
/// The caller closed its connection.
struct caller_left {};
/// The caller's API key was withdrawn.
struct key_withdrawn {};
/// The grace period of the daemon's shutdown is over.
struct grace_ended {};
/// A requested wake-up time was reached.
struct tick {};

}  // namespace radishpulley::requests::events

namespace radishpulley::requests {

/// Any event that a request_machine handles.
using event =
    std::variant<events::validated, events::authenticated, events::queued, events::admitted,
                 events::refused, events::endpoint_chosen, events::record_created,
                 events::record_found, events::record_refused, events::connected, events::not_sent,
                 events::response_head, events::chunk, events::response_end, events::attempt_failed,
                 events::retry_granted, events::retry_denied, events::endpoint_leaving,
                 events::caller_backlog, events::caller_left, events::key_withdrawn,
                 events::grace_ended, events::tick>;

}  // namespace radishpulley::requests
