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

request_machine::request_machine(request_parameters terms, request_limits limits)
    : terms_(std::move(terms)), limits_(limits) {}

decision_list request_machine::handle(const event& it, time_point now) {
    out_.clear();
    std::visit([&](const auto& held) { on(held, now); }, it);
    return std::exchange(out_, {});
}

endpoint_id request_machine::endpoint() const {
    return std::visit(endpoint_visitor{}, state_);
}

run_state request_machine::run() const {
    if (!sent_) {
        return run_state::not_run;
    }
    return answer_began_ ? run_state::failed_after_start : run_state::unknown;
}

bool request_machine::has_attempt() const {
    return is_in<states::connecting>() || is_in<states::sent>() || is_in<states::answering>();
}

bool request_machine::is_current(attempt_number attempt) const {
    return has_attempt() && attempt == attempt_;
}

bool request_machine::is_stream() const {
    return head_.framing == body_framing::server_sent_events;
}

bool request_machine::may_retry() const {
    if (attempt_ >= limits_.max_attempts || caller_gone_) {
        return false;
    }
    if (!sent_) {
        return true;
    }
    if (terms_.repeat != repeat_policy::idempotent) {
        return false;
    }
    return !head_forwarded_ || (is_stream() && can_resume_);
}

// The outcome of a keyed run is worth waiting for without its caller, whose repeat will ask for it.
bool request_machine::keeps_outcome() const {
    return record_held_ && sent_;
}

void request_machine::on(const events::validated&, time_point) {
    if (!is_in<states::received>()) {
        return;
    }
    state_ = states::checking_key{};
    decide(decisions::wake_at{terms_.deadline});
    decide(decisions::authenticate_caller{});
}

void request_machine::on(const events::authenticated&, time_point) {
    if (!is_in<states::checking_key>()) {
        return;
    }
    state_ = states::waiting_for_admission{};
    decide(decisions::admit_request{});
}

void request_machine::on(const events::queued&, time_point) {
    if (is_in<states::waiting_for_admission>()) {
        state_ = states::waiting_for_admission{true};
    }
}

void request_machine::on(const events::admitted&, time_point) {
    if (!is_in<states::waiting_for_admission>()) {
        decide(decisions::release_admission{});
        return;
    }
    if (terms_.repeat != repeat_policy::once_with_key) {
        select_endpoint();
        return;
    }
    state_ = states::recording{};
    decide(decisions::create_record{});
}

void request_machine::on(const events::refused& it, time_point) {
    if (is_in<states::finished>() || has_attempt()) {
        return;
    }
    fail(it.code, it.message, it.retry_after);
}

void request_machine::on(const events::record_created&, time_point) {
    if (is_in<states::finished>() && !record_held_) {
        decide(decisions::release_record{});
        return;
    }
    if (!is_in<states::recording>()) {
        ++dropped_;
        return;
    }
    record_held_ = true;
    select_endpoint();
}

void request_machine::on(const events::record_found& it, time_point) {
    if (!is_in<states::recording>()) {
        return;
    }
    decide(decisions::forward_head{it.status, it.content_type});
    decide(decisions::forward_bytes{it.body});
    decide(decisions::end_response{});
    finish(run_state::not_run);
}

void request_machine::on(const events::record_refused& it, time_point) {
    if (!is_in<states::recording>()) {
        return;
    }
    request_error error = error_of(it.code, it.message);
    error.run = it.run;
    answer(std::move(error));
    finish(run_state::not_run);
}

void request_machine::on(const events::endpoint_chosen& it, time_point) {
    if (!is_in<states::routing>()) {
        decide(decisions::release_endpoint{it.endpoint});
        return;
    }
    if (head_forwarded_ && (!it.can_resume || it.endpoint != last_endpoint_)) {
        decide(decisions::release_endpoint{it.endpoint});
        fail(last_code_, last_message_);
        return;
    }
    ++attempt_;
    can_resume_ = it.can_resume;
    last_endpoint_ = it.endpoint;
    state_ = states::connecting{it.endpoint};
    decide(decisions::open_connection{attempt_, it.endpoint});
}

void request_machine::on(const events::connected& it, time_point now) {
    if (!is_current(it.attempt) || !is_in<states::connecting>()) {
        ++dropped_;
        return;
    }
    if (now >= terms_.deadline) {
        fail(error_code::deadline_exceeded, "the deadline passed before the request was sent");
        return;
    }
    sent_before_attempt_ = sent_;
    sent_ = true;
    state_ = states::sent{last_endpoint_};
    decide(decisions::send_request{attempt_, body_.events_delivered()});
}

void request_machine::on(const events::not_sent& it, time_point) {
    if (!is_current(it.attempt) || !is_in<states::sent>()) {
        ++dropped_;
        return;
    }
    sent_ = sent_before_attempt_;
    reroute();
}

bool request_machine::is_wrong_answer(const events::response_head& it) const {
    if (it.echoed_id && *it.echoed_id != terms_.id) {
        return true;
    }
    return !terms_.adapter_version.empty() && it.served_version && *it.served_version != terms_.adapter_version;
}

bool request_machine::resumes_elsewhere(const events::response_head& it) const {
    if (it.resumed_from != body_.events_delivered()) {
        return true;
    }
    return head_forwarded_ &&
           (it.status != status_ok || it.framing != body_framing::server_sent_events);
}

void request_machine::on(const events::response_head& it, time_point) {
    if (!is_current(it.attempt) || !is_in<states::sent>()) {
        ++dropped_;
        return;
    }
    if (is_wrong_answer(it)) {
        lose_attempt(error_code::wrong_answer,
                     "the endpoint answered for another request or adapter version");
        return;
    }
    if (resumes_elsewhere(it)) {
        fail(error_code::stream_cut, "the endpoint did not resume the stream where it broke");
        return;
    }
    if (is_retryable(it.status) && may_retry()) {
        lose_attempt(error_code::endpoint_failed, "the endpoint is not able to answer now");
        return;
    }
    for (const attempt_number attempt : std::exchange(suspended_, {})) {
        decide(decisions::release_attempt{attempt});
    }
    answer_began_ = true;
    head_ = it;
    body_.begin_attempt(it.attempt, it.framing, it.content_length);
    collected_.clear();
    collected_all_ = true;
    state_ = states::answering{last_endpoint_};
}

void request_machine::on(const events::chunk& it, time_point) {
    if (!is_current(it.attempt) || !is_in<states::answering>()) {
        ++dropped_;
        return;
    }
    chunk_result result = body_.take(it.attempt, it.sequence, it.data);
    switch (result.verdict) {
        case chunk_verdict::accepted:
            deliver(std::move(result.ready));
            return;
        case chunk_verdict::stale:
        case chunk_verdict::duplicate:
            ++dropped_;
            return;
        case chunk_verdict::gap:
        case chunk_verdict::overrun:
            lose_attempt(error_code::stream_cut, "the endpoint's answer has gaps or is too long");
            return;
    }
}

void request_machine::on(const events::response_end& it, time_point) {
    if (!is_current(it.attempt)) {
        ++dropped_;
        return;
    }
    if (is_in<states::answering>() && body_.is_whole(it.clean)) {
        finish_whole();
        return;
    }
    lose_attempt(is_in<states::answering>() ? error_code::stream_cut : error_code::endpoint_failed,
                 "the endpoint's answer ended before it was whole");
}

void request_machine::on(const events::attempt_failed& it, time_point) {
    if (!is_current(it.attempt)) {
        ++dropped_;
        return;
    }
    if (it.not_connected && is_in<states::sent>()) {
        sent_ = sent_before_attempt_;
    }
    lose_attempt(is_in<states::answering>() ? error_code::stream_cut : error_code::endpoint_failed,
                 it.silent ? "the connection to the endpoint went silent"
                           : "the connection to the endpoint failed");
}

void request_machine::on(const events::retry_granted& it, time_point now) {
    if (!is_in<states::asking_retry>()) {
        return;
    }
    const time_point until = now + it.delay;
    if (until >= terms_.deadline) {
        fail(last_code_, last_message_);
        return;
    }
    state_ = states::waiting_to_retry{until};
    decide(decisions::wake_at{until});
}

void request_machine::on(const events::retry_denied&, time_point) {
    if (is_in<states::asking_retry>()) {
        fail(last_code_, last_message_);
    }
}

void request_machine::on(const events::endpoint_leaving& it, time_point) {
    const bool resumes = head_forwarded_;
    if (!is_in<states::connecting>() || endpoint() != it.endpoint || resumes) {
        return;
    }
    reroute();
}

void request_machine::on(const events::caller_backlog& it, time_point now) {
    if (!is_in<states::answering>()) {
        return;
    }
    if (it.bytes >= limits_.backlog_high_watermark && !paused_since_) {
        paused_since_ = now;
        decide(decisions::pause_reading{attempt_});
        decide(decisions::wake_at{now + limits_.slow_caller_timeout});
    } else if (it.bytes <= limits_.backlog_low_watermark && paused_since_) {
        paused_since_.reset();
        decide(decisions::resume_reading{attempt_});
    }
}

void request_machine::on(const events::caller_left&, time_point) {
    if (is_in<states::finished>() || caller_gone_) {
        return;
    }
    caller_gone_ = true;
    stop_caller(error_code::caller_left, "the caller left");
}

void request_machine::on(const events::key_withdrawn&, time_point) {
    if (!is_in<states::finished>()) {
        stop_caller(error_code::key_withdrawn, "the key was withdrawn");
    }
}

void request_machine::on(const events::grace_ended&, time_point) {
    if (!is_in<states::finished>()) {
        fail(error_code::shutting_down, "the daemon stops and its grace is over");
    }
}

void request_machine::on(const events::tick&, time_point now) {
    if (is_in<states::finished>()) {
        return;
    }
    if (now >= terms_.deadline) {
        fail(error_code::deadline_exceeded, "the deadline passed");
        return;
    }
    if (paused_since_ && now - *paused_since_ >= limits_.slow_caller_timeout) {
        stop_caller(error_code::caller_too_slow, "the caller did not read its answer");
        return;
    }
    const auto* waiting = std::get_if<states::waiting_to_retry>(&state_);
    if (waiting != nullptr && now >= waiting->until) {
        select_endpoint();
    }
}

void request_machine::select_endpoint() {
    state_ = states::routing{};
    decisions::select_endpoint ask{avoid_, std::nullopt};
    if (head_forwarded_) {
        ask.resume_at = last_endpoint_;
    }
    decide(std::move(ask));
}

void request_machine::drop_attempt() {
    decide(decisions::cancel_attempt{attempt_});
    if (!head_forwarded_) {
        avoid_.push_back(last_endpoint_);
    }
    paused_since_.reset();
    state_ = states::asking_retry{};
}

void request_machine::reroute() {
    drop_attempt();
    if (attempt_ >= limits_.max_attempts) {
        fail(error_code::no_endpoint, "the chosen endpoints take no new work");
        return;
    }
    select_endpoint();
}

void request_machine::suspend_attempt() {
    decide(decisions::suspend_attempt{attempt_});
    suspended_.push_back(attempt_);
    paused_since_.reset();
    state_ = states::asking_retry{};
}

void request_machine::lose_attempt(error_code code, std::string message) {
    const bool resumes = head_forwarded_ && may_retry();
    resumes ? suspend_attempt() : drop_attempt();
    last_code_ = code;
    last_message_ = std::move(message);
    if (!may_retry()) {
        fail(last_code_, last_message_);
        return;
    }
    decide(decisions::acquire_retry{attempt_});
}

void request_machine::deliver(std::string data) {
    if (data.empty()) {
        return;
    }
    if (is_stream()) {
        forward(std::move(data));
    } else {
        collect(std::move(data));
    }
}

// A plain answer is held back until it is whole, so that a cut one can be retried or answered with
// a clear error. One that is too long for that is passed on as it comes.
void request_machine::collect(std::string data) {
    if (collected_all_ && collected_.size() + data.size() <= limits_.max_collected) {
        collected_ += data;
        return;
    }
    if (collected_all_) {
        collected_all_ = false;
        forward_collected();
    }
    forward(std::move(data));
}

void request_machine::forward_collected() {
    forward(collected_);
    if (!collected_all_) {
        collected_.clear();
    }
}

void request_machine::forward(std::string data) {
    if (caller_gone_) {
        return;
    }
    if (!head_forwarded_) {
        head_forwarded_ = true;
        decide(decisions::forward_head{head_.status, head_.content_type});
    }
    if (!data.empty()) {
        decide(decisions::forward_bytes{std::move(data)});
    }
}

void request_machine::finish_whole() {
    decide(decisions::release_attempt{attempt_});
    if (!is_stream() && collected_all_) {
        forward_collected();
    }
    if (!caller_gone_) {
        decide(decisions::end_response{});
    }
    if (record_held_) {
        const bool kept = !is_stream() && collected_all_;
        decide(decisions::store_outcome{head_.status, head_.content_type, std::move(collected_),
                                        kept});
    }
    finish(run_state::ran);
}

request_error request_machine::error_of(error_code code, std::string message) const {
    request_error error;
    error.code = code;
    error.run = run();
    error.request = terms_.id;
    error.message = std::move(message);
    return error;
}

void request_machine::answer(request_error error) {
    if (caller_gone_) {
        return;
    }
    if (!head_forwarded_) {
        decide(decisions::send_error{std::move(error)});
    } else if (is_stream()) {
        decide(decisions::end_with_error_event{std::move(error)});
    } else {
        decide(decisions::abort_response{std::move(error)});
    }
}

// The record goes first: a caller that reads `not_run` may repeat at once through another VM.
void request_machine::fail(error_code code, std::string message,
                           std::optional<duration> retry_after) {
    if (has_attempt()) {
        drop_attempt();
    }
    for (const attempt_number attempt : std::exchange(suspended_, {})) {
        decide(decisions::cancel_attempt{attempt});
    }
    if (record_held_ && !sent_) {
        decide(decisions::release_record{});
    }
    request_error error = error_of(code, std::move(message));
    error.retry_after = retry_after;
    answer(std::move(error));
    finish(run());
}

void request_machine::stop_caller(error_code code, std::string message) {
    if (!keeps_outcome() || !has_attempt()) {
        fail(code, std::move(message));
        return;
    }
    answer(error_of(code, std::move(message)));
    caller_gone_ = true;
    if (paused_since_) {
        paused_since_.reset();
        decide(decisions::resume_reading{attempt_});
    }
}

void request_machine::finish(run_state run) {
    state_ = states::finished{};
    decide(decisions::finished{run, body_.events_delivered()});
}

}  // namespace radishpulley::requests
