/// The one shape of every error that a caller gets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::requests {

/// Stable reason of an error. New ones are added at the end.
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

/// What is known about the run of a request that failed.
enum class run_state {
    /// No byte of it was sent to an endpoint: a repeat is safe.
    not_run,
    /// It was sent, and no answer tells whether it ran.
    unknown,
    /// An endpoint began to answer, and the answer is not whole.
    failed_after_start,
    /// An endpoint ran it to its end.
    ran
};

/// An error as the caller gets it.
struct request_error {
    error_code code = error_code::bad_request;
    run_state run = run_state::not_run;
    request_id request;
    /// One sentence for the caller's developer.
    std::string message;
    /// Set only where a repeat after this time has a known reason to fare better.
    std::optional<duration> retry_after;
};

/// Returns the code's name in answers, such as `queue_full`.
std::string_view name_of(error_code code);

/// Returns the run state's name in answers, such as `not_run`.
std::string_view name_of(run_state run);

/// Returns the HTTP status that goes with a code.
int http_status(error_code code);

/// Returns the value of a Retry-After header in whole seconds, rounded up, so that it is true.
std::optional<long> retry_after_seconds(const request_error& it);

/// Returns the JSON body:
/// {"error": {"code", "message", "run_state", "request_id", "retry_after_ms"?}}.
std::string to_json_text(const request_error& it);

/// Returns the server-sent event that ends a broken stream: `event: error`, then the JSON as data.
std::string to_stream_event(const request_error& it);

}  // namespace radishpulley::requests
