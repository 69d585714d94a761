/// What a request_machine asks the daemon to do, in the order given.
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

/// Check the caller's key; answer authenticated or refused.
struct authenticate_caller {};
/// Charge the limits and find a place in the queue; answer queued, admitted or refused.
struct admit_request {};
/// Create the idempotency record; answer record_created, record_found or record_refused.
struct create_record {};
/// Choose an endpoint other than those to avoid and count the use of its adapter; answer
/// endpoint_chosen or refused. With `resume_at` only that endpoint can continue the stream.
struct select_endpoint {
    std::vector<endpoint_id> avoid;
    std::optional<endpoint_id> resume_at;
};
/// Give back a choice that came too late: its use of the adapter has ended.
struct release_endpoint {
    endpoint_id endpoint;
};
/// Give back an admission that came too late.
struct release_admission {};
/// Open or take a connection; answer connected or attempt_failed. Write nothing yet.
struct open_connection {
    attempt_number attempt = 0;
    endpoint_id endpoint;
};
/// Write the request. From here on the request may have run. Right before the first byte the writer
/// looks again at the gate and the state's age, and answers not_sent where they forbid it. The HTTP
/// client must not repeat the request on its own.
struct send_request {
    attempt_number attempt = 0;
    /// Events to skip, because the caller has them.
    std::uint64_t resume_from = 0;
};
/// Stop an attempt at its endpoint, give its use of the adapter back and close its connection.
struct cancel_attempt {
    attempt_number attempt = 0;
};
/// Close an attempt's connection, but keep its stream at the endpoint to be resumed and its use of
/// the adapter counted, until release_attempt or cancel_attempt follows.
struct suspend_attempt {
    attempt_number attempt = 0;
};
/// Give back an attempt's use of the adapter and its connection, whose answer has ended.
struct release_attempt {
    attempt_number attempt = 0;
};
/// Ask the retry budget; answer retry_granted or retry_denied.
struct acquire_retry {
    attempt_number failed_attempt = 0;
};
/// Send a tick at this time.
struct wake_at {
    time_point when;
};
/// Write status and content type to the caller.
struct forward_head {
    int status = 0;
    std::string content_type;
};
/// Write bytes of the body to the caller.
struct forward_bytes {
    std::string data;
};
/// Stop reading from the endpoint until resume_reading.
struct pause_reading {
    attempt_number attempt = 0;
};
struct resume_reading {
    attempt_number attempt = 0;
};
/// Delete the idempotency record, because the request certainly did not run.
struct release_record {};
/// Store the outcome in the idempotency record. `body_kept` is false where it was too long.
struct store_outcome {
    int status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = true;
};
/// Answer with the error; nothing was written to the caller before.
struct send_error {
    request_error error;
};
/// End the stream by an error event, without the terminator.
struct end_with_error_event {
    request_error error;
};
/// Break the caller's connection, so that the missing bytes are noticed.
struct abort_response {
    request_error error;
};
/// End the answer, which is whole.
struct end_response {};
/// The request is over: give back its place and settle its charge.
struct finished {
    run_state run = run_state::not_run;
    /// Events of the answer that went to the caller.
    std::uint64_t events_delivered = 0;
};

}  // namespace radishpulley::requests::decisions

namespace radishpulley::requests {

/// Any decision of a request_machine.
using decision =
    std::variant<decisions::authenticate_caller, decisions::admit_request, decisions::create_record,
                 decisions::select_endpoint, decisions::release_endpoint, decisions::release_admission,
                 decisions::open_connection, decisions::send_request, decisions::cancel_attempt,
                 decisions::suspend_attempt, decisions::release_attempt, decisions::acquire_retry,
                 decisions::wake_at, decisions::forward_head, decisions::forward_bytes,
                 decisions::pause_reading, decisions::resume_reading, decisions::release_record,
                 decisions::store_outcome, decisions::send_error, decisions::end_with_error_event,
                 decisions::abort_response, decisions::end_response, decisions::finished>;

/// Decisions in the order in which they are to be carried out.
using decision_list = std::vector<decision>;

}  // namespace radishpulley::requests
