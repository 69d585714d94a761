/// State machine of one request, from its arrival to its end.
///
/// It takes events with their time and emits decisions. It marks the request as sent before it
/// emits send_request, so that it never reports `not_run` after a byte may have been written.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/decisions.h"
#include "requests/events.h"
#include "requests/stream_assembler.h"

namespace radishpulley::requests {

/// Whether a request may run more than once.
enum class repeat_policy {
    /// The request may run any number of times.
    idempotent,
    /// At most one run, guarded by a record under the caller's idempotency key.
    once_with_key,
    /// At most one run. A repeat by the caller is a new request.
    once_without_key
};

/// Parameters of a request that do not change.
struct request_parameters {
    request_id id;
    repeat_policy repeat = repeat_policy::idempotent;
    /// Time by which the caller must have its response.
    time_point deadline;
    /// Requested adapter and version, as `adapter@version`; empty for applications.
    std::string adapter_version;
};

/// Limits that apply to every request.
struct request_limits {
    /// Maximum number of attempts, the first one included, whether sent or only begun.
    attempt_number max_attempts = 3;
    /// Longest plain response that is buffered before the caller gets its first byte, in bytes.
    std::size_t max_buffered_body = 64'000;
    /// Number of bytes unread by the caller at which reading from the endpoint pauses and resumes.
    std::size_t backlog_high_watermark = 256'000;
    std::size_t backlog_low_watermark = 64'000;
    /// Longest time for which a slow caller may keep reading from the endpoint paused.
    duration slow_caller_timeout = std::chrono::seconds(20);
};

/// States of a request_machine.
namespace states {
struct received {};
struct checking_key {};
struct waiting_for_admission {
    bool in_queue = false;
};
struct recording {};
struct routing {};
struct connecting {
    endpoint_id endpoint;
};
/// Bytes may have been written; there is no response yet.
struct sent {
    endpoint_id endpoint;
};
struct answering {
    endpoint_id endpoint;
};
struct asking_retry {};
struct waiting_to_retry {
    time_point until;
};
struct finished {};
}  // namespace states

using request_state =
    std::variant<states::received, states::checking_key, states::waiting_for_admission,
                 states::recording, states::routing, states::connecting, states::sent,
                 states::answering, states::asking_retry, states::waiting_to_retry,
                 states::finished>;

/// Returns a state's name for logs, such as `waiting_for_admission`.
std::string_view name_of(const request_state& state);

/// Handles the events of one request. Not thread-safe. Example:
///
///     request_machine machine(terms, limits);
///     for (const decision& it : machine.handle(events::validated{}, clock.now())) { carry_out(it);
///     }
class request_machine {
public:
    request_machine(request_parameters parameters, request_limits limits);

    /// Handles one event and returns the decisions that it leads to; none for an outdated event.
    decision_list handle(const event& it, time_point now);

    const request_state& state() const { return state_; }
    bool is_finished() const { return std::holds_alternative<states::finished>(state_); }
    /// Returns the endpoint of the current attempt; empty if there is none.
    endpoint_id endpoint() const;
    /// Returns whether the request may have run so far.
    run_state run() const;
    /// Returns the number of dropped events: those of abandoned attempts, duplicate chunks and
    /// others that came too late.
    std::uint64_t dropped() const { return dropped_events_; }

private:
    void on(const events::validated& it, time_point now);
    void on(const events::authenticated& it, time_point now);
    void on(const events::queued& it, time_point now);
    void on(const events::admitted& it, time_point now);
    void on(const events::refused& it, time_point now);
    void on(const events::endpoint_chosen& it, time_point now);
    void on(const events::record_created& it, time_point now);
    void on(const events::record_found& it, time_point now);
    void on(const events::record_refused& it, time_point now);
    void on(const events::connected& it, time_point now);
    void on(const events::not_sent& it, time_point now);
    void on(const events::response_head& it, time_point now);
    void on(const events::chunk& it, time_point now);
    void on(const events::response_end& it, time_point now);
    void on(const events::attempt_failed& it, time_point now);
    void on(const events::retry_granted& it, time_point now);
    void on(const events::retry_denied& it, time_point now);
    void on(const events::endpoint_leaving& it, time_point now);
    void on(const events::caller_backlog& it, time_point now);
    void on(const events::caller_left& it, time_point now);
    void on(const events::key_withdrawn& it, time_point now);
    void on(const events::grace_ended& it, time_point now);
    void on(const events::tick& it, time_point now);

    template <typename State>
    bool is_in() const {
        return std::holds_alternative<State>(state_);
    }
    bool has_open_attempt() const;
    bool is_current(attempt_number attempt) const;
    bool is_stream() const;
    bool may_retry() const;
    bool must_keep_outcome() const;
    bool is_mismatched_response(const events::response_head& it) const;
    bool is_resume_mismatch(const events::response_head& it) const;
    void emit(decision it) { pending_decisions_.push_back(std::move(it)); }
    void select_endpoint();
    void abandon_attempt();
    void suspend_attempt();
    void route_again();
    void handle_attempt_failure(error_code code, std::string message);
    void handle_body(std::string data);
    void buffer_body(std::string data);
    void forward_buffered();
    void forward(std::string data);
    void complete_response();
    void fail(error_code code, std::string message,
              std::optional<duration> retry_after = std::nullopt);
    void detach_caller(error_code code, std::string message);
    void write_error(request_error error);
    void finish(run_state run);
    request_error make_error(error_code code, std::string message) const;

    const request_parameters parameters_;
    const request_limits limits_;
    request_state state_ = states::received{};
    decision_list pending_decisions_;
    attempt_number attempt_ = 0;
    std::vector<endpoint_id> excluded_endpoints_;
    // Attempts whose stream the endpoint keeps for a resume.
    std::vector<attempt_number> suspended_attempts_;
    // Whether any attempt was sent, not necessarily the current one.
    bool was_sent_ = false;
    bool was_sent_before_attempt_ = false;
    bool response_began_ = false;
    bool endpoint_can_resume_ = false;
    endpoint_id last_endpoint_;
    error_code last_error_code_ = error_code::endpoint_failed;
    std::string last_error_message_;
    bool record_held_ = false;
    bool caller_detached_ = false;
    bool head_forwarded_ = false;
    std::optional<time_point> reading_paused_since_;
    events::response_head response_head_;
    stream_assembler body_;
    std::string buffered_;
    bool is_fully_buffered_ = true;
    std::uint64_t dropped_events_ = 0;
};

}  // namespace radishpulley::requests
