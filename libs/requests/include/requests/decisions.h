/// Decisions that a request_machine emits and the daemon carries out in order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/request_error.h"
#include "requests/stream_assembler.h"

namespace radishpulley::requests::decisions {

/// Check the caller's API key. Answered by events::authenticated or events::refused.
struct authenticate_caller {};
/// Charge the rate limits and enqueue the request. Answered by events::queued, events::admitted or
/// events::refused.
struct admit_request {};
/// Create the idempotency record. Answered by events::record_created, events::record_found or
/// events::record_refused.
struct create_record {};
/// Choose an endpoint that is not in `avoid` and count the use of its adapter. Answered by
/// events::endpoint_chosen or events::refused. If `resume_at` is set, only that endpoint can
/// continue the stream.
struct select_endpoint {
    std::vector<endpoint_id> avoid;
    std::optional<endpoint_id> resume_at;
};
/// Release an endpoint that was chosen too late: its adapter is no longer in use by this request.
struct release_endpoint {
    endpoint_id endpoint;
};
/// Release an admission that came too late.
struct release_admission {};
/// Open a connection or take one from the pool, without writing to it. Answered by
/// events::connected or events::attempt_failed.
struct open_connection {
    attempt_number attempt = 0;
    endpoint_id endpoint;
};
/// Write the request, which may have run from here on. Immediately before the first byte, the
/// writer checks the endpoint gate and the state's freshness again, and answers with
/// events::not_sent if either forbids sending. The HTTP client must not retry on its own.
struct send_request {
    attempt_number attempt = 0;
    /// Number of events to skip because the caller has already received them.
    std::uint64_t resume_from = 0;
};
/// Cancel an attempt at its endpoint, release its adapter and close its connection.
struct cancel_attempt {
    attempt_number attempt = 0;
};
/// Close an attempt's connection. The endpoint keeps the stream for a resume, and the adapter stays
/// in use, until release_attempt or cancel_attempt follows.
struct suspend_attempt {
    attempt_number attempt = 0;
};
/// Release the adapter and the connection of an attempt whose response has ended.
struct release_attempt {
    attempt_number attempt = 0;
};
/// Request a retry from the retry budget. Answered by events::retry_granted or
/// events::retry_denied.
struct acquire_retry {
    attempt_number failed_attempt = 0;
};
/// Deliver events::tick at this time.
struct wake_at {
    time_point when;
};
/// Write the status and the content type to the caller.
struct forward_head {
    int status = 0;
    std::string content_type;
};
/// Write body bytes to the caller.
struct forward_bytes {
    std::string data;
};
/// Stop reading from the endpoint until resume_reading follows.
struct pause_reading {
    attempt_number attempt = 0;
};
struct resume_reading {
    attempt_number attempt = 0;
};
/// Delete the idempotency record because the request has not run.
struct release_record {};
/// Store the outcome in the idempotency record. `body_kept` is false if the body was too long.
struct store_outcome {
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true;
};
/// Write an error response; nothing has been written to the caller yet.
struct send_error {
    request_error error;
};
/// End the stream with an error event and without the terminator.
struct end_with_error_event {
    request_error error;
};
/// Abort the caller's connection, so that the caller detects the truncated response.
struct abort_response {
    request_error error;
};
/// End the response, which is complete.
struct end_response {};
/// The request has finished: release its admission and settle its charge.
struct finished {
    run_state run = run_state::not_run;
    /// Number of stream events delivered to the caller.
    std::uint64_t events_delivered = 0;
};

}  // namespace radishpulley::requests::decisions

namespace radishpulley::requests {

/// Any decision that a request_machine emits.
using decision =
    std::variant<decisions::authenticate_caller, decisions::admit_request, decisions::create_record,
                 decisions::select_endpoint, decisions::release_endpoint,
                 decisions::release_admission, decisions::open_connection, decisions::send_request,
                 decisions::cancel_attempt, decisions::suspend_attempt, decisions::release_attempt,
                 decisions::acquire_retry, decisions::wake_at, decisions::forward_head,
                 decisions::forward_bytes, decisions::pause_reading, decisions::resume_reading,
                 decisions::release_record, decisions::store_outcome, decisions::send_error,
                 decisions::end_with_error_event, decisions::abort_response,
                 decisions::end_response, decisions::finished>;

/// Decisions in the order in which the daemon must carry them out.
using decision_list = std::vector<decision>;

}  // namespace radishpulley::requests
