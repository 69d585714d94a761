#include "requests/request_machine.h"

#include <array>
#include <utility>

namespace radishpulley::requests {
namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_ok = 200;

bool is_retryable(int status) {
    return status == status_bad_gateway || status == status_unavailable ||
           status == status_gateway_timeout;
}

struct endpoint_visitor {
    endpoint_id operator()(const states::connecting& it) const { return it.endpoint; }
    endpoint_id operator()(const states::sent& it) const { return it.endpoint; }
    endpoint_id operator()(const states::answering& it) const { return it.endpoint; }
    template <typename Other>
    endpoint_id operator()(const Other&) const {
        return {};
    }
};

}  // namespace

std::string_view name_of(const request_state& state) {
    static constexpr std::array<std::string_view, std::variant_size_v<request_state>> names = {
        "received",
        "checking_key",
        "waiting_for_admission",
        "recording",
        "routing",
        "connecting",
        "sent",
        "answering",
        "asking_retry",
        "waiting_to_retry",
        "finished"};
    return names.at(state.index());
}

request_machine::request_machine(request_parameters parameters, request_limits limits)
    : parameters_(std::move(parameters)), limits_(limits) {}

decision_list request_machine::handle(const event& it, time_point now) {
    pending_decisions_.clear();
    std::visit([&](const auto& alternative) { on(alternative, now); }, it);
    return std::exchange(pending_decisions_, {});
}

endpoint_id request_machine::endpoint() const {
    return std::visit(endpoint_visitor{}, state_);
}

run_state request_machine::run() const {
    if (!was_sent_) {
        return run_state::not_run;
    }
    return response_began_ ? run_state::failed_after_start : run_state::unknown;
}

bool request_machine::has_open_attempt() const {
    return is_in<states::connecting>() || is_in<states::sent>() || is_in<states::answering>();
}

bool request_machine::is_current(attempt_number attempt) const {
    return has_open_attempt() && attempt == attempt_;
}

bool request_machine::is_stream() const {
    return response_head_.framing == body_framing::server_sent_events;
}

bool request_machine::may_retry() const {
    if (attempt_ >= limits_.max_attempts || caller_detached_) {
        return false;
    }
    if (!was_sent_) {
        return true;
    }
    if (parameters_.repeat != repeat_policy::idempotent) {
        return false;
    }
    return !head_forwarded_ || (is_stream() && endpoint_can_resume_);
}

// A run with an idempotency key continues without its caller, because a repeat will ask for its
// outcome.
bool request_machine::must_keep_outcome() const {
    return record_held_ && was_sent_;
}

void request_machine::on(const events::validated&, time_point) {
    if (!is_in<states::received>()) {
        return;
    }
    state_ = states::checking_key{};
    emit(decisions::wake_at{parameters_.deadline});
    emit(decisions::authenticate_caller{});
}

void request_machine::on(const events::authenticated&, time_point) {
    if (!is_in<states::checking_key>()) {
        return;
    }
    state_ = states::waiting_for_admission{};
    emit(decisions::admit_request{});
}

void request_machine::on(const events::queued&, time_point) {
    if (is_in<states::waiting_for_admission>()) {
        state_ = states::waiting_for_admission{true};
    }
}

void request_machine::on(const events::admitted&, time_point) {
    if (!is_in<states::waiting_for_admission>()) {
        emit(decisions::release_admission{});
        return;
    }
    if (parameters_.repeat != repeat_policy::once_with_key) {
        select_endpoint();
        return;
    }
    state_ = states::recording{};
    emit(decisions::create_record{});
}

void request_machine::on(const events::refused& it, time_point) {
    if (is_in<states::finished>() || has_open_attempt()) {
        return;
    }
    fail(it.code, it.message, it.retry_after);
}

void request_machine::on(const events::record_created&, time_point) {
    if (is_in<states::finished>() && !record_held_) {
        emit(decisions::release_record{});
        return;
    }
    if (!is_in<states::recording>()) {
        ++dropped_events_;
        return;
    }
    record_held_ = true;
    select_endpoint();
}

void request_machine::on(const events::record_found& it, time_point) {
    if (!is_in<states::recording>()) {
        return;
    }
    emit(decisions::forward_head{it.status, it.content_type});
    emit(decisions::forward_bytes{it.body});
    emit(decisions::end_response{});
    finish(run_state::not_run);
}

void request_machine::on(const events::record_refused& it, time_point) {
    if (!is_in<states::recording>()) {
        return;
    }
    request_error error = make_error(it.code, it.message);
    error.run = it.run;
    write_error(std::move(error));
    finish(run_state::not_run);
}

void request_machine::on(const events::endpoint_chosen& it, time_point) {
    if (!is_in<states::routing>()) {
        emit(decisions::release_endpoint{it.endpoint});
        return;
    }
    if (head_forwarded_ && (!it.can_resume || it.endpoint != last_endpoint_)) {
        emit(decisions::release_endpoint{it.endpoint});
        fail(last_error_code_, last_error_message_);
        return;
    }
    ++attempt_;
    endpoint_can_resume_ = it.can_resume;
    last_endpoint_ = it.endpoint;
    state_ = states::connecting{it.endpoint};
    emit(decisions::open_connection{attempt_, it.endpoint});
}

void request_machine::on(const events::connected& it, time_point now) {
    if (!is_current(it.attempt) || !is_in<states::connecting>()) {
        ++dropped_events_;
        return;
    }
    if (now >= parameters_.deadline) {
        fail(error_code::deadline_exceeded, "the deadline passed before the request was sent");
        return;
    }
    was_sent_before_attempt_ = was_sent_;
    was_sent_ = true;
    state_ = states::sent{last_endpoint_};
    emit(decisions::send_request{attempt_, body_.events_delivered()});
}

void request_machine::on(const events::not_sent& it, time_point) {
    if (!is_current(it.attempt) || !is_in<states::sent>()) {
        ++dropped_events_;
        return;
    }
    was_sent_ = was_sent_before_attempt_;
    route_again();
}

bool request_machine::is_mismatched_response(const events::response_head& it) const {
    if (it.echoed_id && *it.echoed_id != parameters_.id) {
        return true;
    }
    return !parameters_.adapter_version.empty() && it.served_version &&
           *it.served_version != parameters_.adapter_version;
}

bool request_machine::is_resume_mismatch(const events::response_head& it) const {
    if (it.resumed_from != body_.events_delivered()) {
        return true;
    }
    return head_forwarded_ &&
           (it.status != status_ok || it.framing != body_framing::server_sent_events);
}

void request_machine::on(const events::response_head& it, time_point) {
    if (!is_current(it.attempt) || !is_in<states::sent>()) {
        ++dropped_events_;
        return;
    }
    if (is_mismatched_response(it)) {
        handle_attempt_failure(error_code::wrong_answer,
                               "the endpoint responded for another request or adapter version");
        return;
    }
    if (is_resume_mismatch(it)) {
        fail(error_code::stream_cut,
             "the endpoint did not resume the stream at the expected event");
        return;
    }
    if (is_retryable(it.status) && may_retry()) {
        handle_attempt_failure(error_code::endpoint_failed,
                               "the endpoint cannot serve the request now");
        return;
    }
    for (const attempt_number attempt : std::exchange(suspended_attempts_, {})) {
        emit(decisions::release_attempt{attempt});
    }
    response_began_ = true;
    response_head_ = it;
    body_.begin_attempt(it.attempt, it.framing, it.content_length);
    buffered_.clear();
    is_fully_buffered_ = true;
    state_ = states::answering{last_endpoint_};
}

void request_machine::on(const events::chunk& it, time_point) {
    if (!is_current(it.attempt) || !is_in<states::answering>()) {
        ++dropped_events_;
        return;
    }
    chunk_result result = body_.take(it.attempt, it.sequence, it.data);
    switch (result.verdict) {
        case chunk_verdict::accepted:
            handle_body(std::move(result.ready));
            return;
        case chunk_verdict::stale:
        case chunk_verdict::duplicate:
            ++dropped_events_;
            return;
        case chunk_verdict::gap:
        case chunk_verdict::overrun:
            handle_attempt_failure(error_code::stream_cut,
                                   "the endpoint's response has gaps or is too long");
            return;
    }
}

void request_machine::on(const events::response_end& it, time_point) {
    if (!is_current(it.attempt)) {
        ++dropped_events_;
        return;
    }
    if (is_in<states::answering>() && body_.is_complete(it.clean)) {
        complete_response();
        return;
    }
    handle_attempt_failure(
        is_in<states::answering>() ? error_code::stream_cut : error_code::endpoint_failed,
        "the endpoint's response ended before it was complete");
}

void request_machine::on(const events::attempt_failed& it, time_point) {
    if (!is_current(it.attempt)) {
        ++dropped_events_;
        return;
    }
    if (it.not_connected && is_in<states::sent>()) {
        was_sent_ = was_sent_before_attempt_;
    }
    handle_attempt_failure(
        is_in<states::answering>() ? error_code::stream_cut : error_code::endpoint_failed,
        it.timed_out ? "the connection to the endpoint timed out"
                     : "the connection to the endpoint failed");
}

void request_machine::on(const events::retry_granted& it, time_point now) {
    if (!is_in<states::asking_retry>()) {
        return;
    }
    const time_point until = now + it.delay;
    if (until >= parameters_.deadline) {
        fail(last_error_code_, last_error_message_);
        return;
    }
    state_ = states::waiting_to_retry{until};
    emit(decisions::wake_at{until});
}

void request_machine::on(const events::retry_denied&, time_point) {
    if (is_in<states::asking_retry>()) {
        fail(last_error_code_, last_error_message_);
    }
}

void request_machine::on(const events::endpoint_leaving& it, time_point) {
    const bool is_resume = head_forwarded_;
    if (!is_in<states::connecting>() || endpoint() != it.endpoint || is_resume) {
        return;
    }
    route_again();
}

void request_machine::on(const events::caller_backlog& it, time_point now) {
    if (!is_in<states::answering>()) {
        return;
    }
    if (it.bytes >= limits_.backlog_high_watermark && !reading_paused_since_) {
        reading_paused_since_ = now;
        emit(decisions::pause_reading{attempt_});
        emit(decisions::wake_at{now + limits_.slow_caller_timeout});
    } else if (it.bytes <= limits_.backlog_low_watermark && reading_paused_since_) {
        reading_paused_since_.reset();
        emit(decisions::resume_reading{attempt_});
    }
}

void request_machine::on(const events::caller_left&, time_point) {
    if (is_in<states::finished>() || caller_detached_) {
        return;
    }
    caller_detached_ = true;
    detach_caller(error_code::caller_left, "the caller closed its connection");
}

void request_machine::on(const events::key_withdrawn&, time_point) {
    if (!is_in<states::finished>()) {
        detach_caller(error_code::key_withdrawn, "the API key was withdrawn");
    }
}

void request_machine::on(const events::grace_ended&, time_point) {
    if (!is_in<states::finished>()) {
        fail(error_code::shutting_down, "the daemon is shutting down and its grace period is over");
    }
}

void request_machine::on(const events::tick&, time_point now) {
    if (is_in<states::finished>()) {
        return;
    }
    if (now >= parameters_.deadline) {
        fail(error_code::deadline_exceeded, "the deadline passed");
        return;
    }
    if (reading_paused_since_ && now - *reading_paused_since_ >= limits_.slow_caller_timeout) {
        detach_caller(error_code::caller_too_slow, "the caller did not read its response in time");
        return;
    }
    const auto* waiting = std::get_if<states::waiting_to_retry>(&state_);
    if (waiting != nullptr && now >= waiting->until) {
        select_endpoint();
    }
}

void request_machine::select_endpoint() {
    state_ = states::routing{};
    decisions::select_endpoint selection{excluded_endpoints_, std::nullopt};
    if (head_forwarded_) {
        selection.resume_at = last_endpoint_;
    }
    emit(std::move(selection));
}

void request_machine::abandon_attempt() {
    emit(decisions::cancel_attempt{attempt_});
    if (!head_forwarded_) {
        excluded_endpoints_.push_back(last_endpoint_);
    }
    reading_paused_since_.reset();
    state_ = states::asking_retry{};
}

void request_machine::route_again() {
    abandon_attempt();
    if (attempt_ >= limits_.max_attempts) {
        fail(error_code::no_endpoint, "the chosen endpoints accept no new requests");
        return;
    }
    select_endpoint();
}

void request_machine::suspend_attempt() {
    emit(decisions::suspend_attempt{attempt_});
    suspended_attempts_.push_back(attempt_);
    reading_paused_since_.reset();
    state_ = states::asking_retry{};
}

void request_machine::handle_attempt_failure(error_code code, std::string message) {
    const bool can_resume = head_forwarded_ && may_retry();
    can_resume ? suspend_attempt() : abandon_attempt();
    last_error_code_ = code;
    last_error_message_ = std::move(message);
    if (!may_retry()) {
        fail(last_error_code_, last_error_message_);
        return;
    }
    emit(decisions::acquire_retry{attempt_});
}

void request_machine::handle_body(std::string data) {
    if (data.empty()) {
        return;
    }
    if (is_stream()) {
        forward(std::move(data));
    } else {
        buffer_body(std::move(data));
    }
}

// A plain response is buffered until it is complete, so that a truncated one can be retried or
// replaced by an error response. A response that exceeds the buffer is forwarded as it arrives.
void request_machine::buffer_body(std::string data) {
    if (is_fully_buffered_ && buffered_.size() + data.size() <= limits_.max_buffered_body) {
        buffered_ += data;
        return;
    }
    if (is_fully_buffered_) {
        is_fully_buffered_ = false;
        forward_buffered();
    }
    forward(std::move(data));
}

void request_machine::forward_buffered() {
    forward(buffered_);
    if (!is_fully_buffered_) {
        buffered_.clear();
    }
}

void request_machine::forward(std::string data) {
    if (caller_detached_) {
        return;
    }
    if (!head_forwarded_) {
        head_forwarded_ = true;
        emit(decisions::forward_head{response_head_.status, response_head_.content_type});
    }
    if (!data.empty()) {
        emit(decisions::forward_bytes{std::move(data)});
    }
}

void request_machine::complete_response() {
    emit(decisions::release_attempt{attempt_});
    if (!is_stream() && is_fully_buffered_) {
        forward_buffered();
    }
    if (!caller_detached_) {
        emit(decisions::end_response{});
    }
    if (record_held_) {
        const bool body_kept = !is_stream() && is_fully_buffered_;
        emit(decisions::store_outcome{response_head_.status, response_head_.content_type,
                                      std::move(buffered_), body_kept});
    }
    finish(run_state::ran);
}

request_error request_machine::make_error(error_code code, std::string message) const {
    request_error error;
    error.code = code;
    error.run = run();
    error.request = parameters_.id;
    error.message = std::move(message);
    return error;
}

void request_machine::write_error(request_error error) {
    if (caller_detached_) {
        return;
    }
    if (!head_forwarded_) {
        emit(decisions::send_error{std::move(error)});
    } else if (is_stream()) {
        emit(decisions::end_with_error_event{std::move(error)});
    } else {
        emit(decisions::abort_response{std::move(error)});
    }
}

// The record is released before the error is written: a caller that reads `not_run` may repeat at
// once through another VM.
void request_machine::fail(error_code code, std::string message,
                           std::optional<duration> retry_after) {
    if (has_open_attempt()) {
        abandon_attempt();
    }
    for (const attempt_number attempt : std::exchange(suspended_attempts_, {})) {
        emit(decisions::cancel_attempt{attempt});
    }
    if (record_held_ && !was_sent_) {
        emit(decisions::release_record{});
    }
    request_error error = make_error(code, std::move(message));
    error.retry_after = retry_after;
    write_error(std::move(error));
    finish(run());
}

void request_machine::detach_caller(error_code code, std::string message) {
    if (!must_keep_outcome() || !has_open_attempt()) {
        fail(code, std::move(message));
        return;
    }
    write_error(make_error(code, std::move(message)));
    caller_detached_ = true;
    if (reading_paused_since_) {
        reading_paused_since_.reset();
        emit(decisions::resume_reading{attempt_});
    }
}

void request_machine::finish(run_state run) {
    state_ = states::finished{};
    emit(decisions::finished{run, body_.events_delivered()});
}

}  // namespace radishpulley::requests
