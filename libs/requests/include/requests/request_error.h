/// The common form of all errors that callers receive.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::requests {

/// Stable error code. New codes are appended at the end.
enum class error_code {
    bad_request,
    unauthenticated,
    forbidden,
    not_found,
    too_large,
    rate_limited,
    queue_full,
    deadline_unreachable,
    deadline_exceeded,
    no_endpoint,
    endpoint_failed,
    stream_cut,
    wrong_answer,
    key_withdrawn,
    shutting_down,
    record_unavailable,
    key_reused,
    outcome_unknown,
    outcome_not_kept,
    caller_too_slow,
    caller_left,
    configuration_stale
};
constexpr std::size_t error_code_count = 22;

/// Whether a failed request may have run.
enum class run_state {
    /// No byte of it was sent to an endpoint, so a repeat is safe.
    not_run,
    /// It was sent, and no response shows whether it ran.
    unknown,
    /// An endpoint began to respond, and the response is incomplete.
    failed_after_start,
    /// An endpoint ran it to completion.
    ran
};

/// An error as the caller receives it.
struct request_error {
    error_code code = error_code::bad_request;
    run_state run = run_state::not_run;
    request_id request;
    /// One sentence for the caller's developer.
    std::string message;
    /// Set only if there is a known reason why a repeat after this time can succeed.
    std::optional<duration> retry_after;
};

/// Returns the code's name in responses, such as `queue_full`.
std::string_view name_of(error_code code);

/// Returns the run state's name in responses, such as `not_run`.
std::string_view name_of(run_state run);

/// Returns the HTTP status of a code.
int http_status(error_code code);

/// Returns the value of the Retry-After header in whole seconds, rounded up so that a repeat is not
/// too early.
std::optional<long> retry_after_seconds(const request_error& it);

/// Returns the JSON body:
/// {"error": {"code", "message", "run_state", "request_id", "retry_after_ms"?}}.
std::string to_json_text(const request_error& it);

/// Returns the server-sent event that ends a broken stream: `event: error` with the JSON body as
/// data.
std::string to_stream_event(const request_error& it);

}  // namespace radishpulley::requests
