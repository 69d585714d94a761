/// The life of one request, from its arrival to its end.
///
/// Events and time in, decisions out. The request is marked as sent before the decision
/// send_request leaves the machine, so that `not_run` is never said after a byte may have been
/// written.
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
    /// Any number of attempts is harmless.
    idempotent,
    /// At most one attempt, guarded by a record under the caller's idempotency key.
    once_with_key,
    /// At most one attempt; a repeat by the caller is another request.
    once_without_key
};

/// What the machine has to know about a request.
struct request_parameters {
    request_id id;
    repeat_policy repeat = repeat_policy::idempotent;
    /// When the caller must have its answer.
    time_point deadline;
    /// Adapter and version asked for, as `adapter@version`; empty for applications.
    std::string adapter_version;
};

/// Bounds that hold for every request.
struct request_limits {
    /// Attempts that may be sent or begun, the first one included.
    attempt_number max_attempts = 3;
    /// Longest plain answer that is collected before the caller gets its first byte, in bytes.
    std::size_t max_collected = 64'000;
    /// Unread bytes of a caller at which reading from the endpoint stops, and goes on again.
    std::size_t backlog_high_watermark = 256'000;
    std::size_t backlog_low_watermark = 64'000;
    /// Longest time that a caller may keep the endpoint stopped.
    duration slow_caller_timeout = std::chrono::seconds(20);
};

/// States of a request.
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
/// Bytes may have been written; no answer yet.
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

/// Decides for one request. Not safe for concurrent calls. Example:
///
///     request_machine machine(terms, limits);
///     for (const decision& it : machine.handle(events::validated{}, clock.now())) { carry_out(it);
///     }
class request_machine {
public:
    request_machine(request_parameters terms, request_limits limits);

    /// Takes one event. Events that no longer matter yield no decisions.
    decision_list handle(const event& it, time_point now);

    const request_state& state() const { return state_; }
    bool is_finished() const { return std::holds_alternative<states::finished>(state_); }
    /// The endpoint of the present attempt; empty without one.
    endpoint_id endpoint() const;
    /// What may be said of the run now.
    run_state run() const;
    /// Events of given-up attempts, doubled chunks and the like that were dropped.
    std::uint64_t dropped() const { return dropped_; }

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
    bool has_attempt() const;
    bool is_current(attempt_number attempt) const;
    bool is_stream() const;
    bool may_retry() const;
    bool keeps_outcome() const;
    bool is_wrong_answer(const events::response_head& it) const;
    bool resumes_elsewhere(const events::response_head& it) const;
    void decide(decision it) { out_.push_back(std::move(it)); }
    void select_endpoint();
    void drop_attempt();
    void suspend_attempt();
    void reroute();
    void lose_attempt(error_code code, std::string message);
    void deliver(std::string data);
    void collect(std::string data);
    void forward_collected();
    void forward(std::string data);
    void finish_whole();
    void fail(error_code code, std::string message,
              std::optional<duration> retry_after = std::nullopt);
    void stop_caller(error_code code, std::string message);
    void answer(request_error error);
    void finish(run_state run);
    request_error error_of(error_code code, std::string message) const;

    const request_parameters terms_;
    const request_limits limits_;
    request_state state_ = states::received{};
    decision_list out_;
    attempt_number attempt_ = 0;
    std::vector<endpoint_id> avoid_;
    // Attempts whose stream is kept at the endpoint.
    std::vector<attempt_number> suspended_;
    // Some attempt was sent, though perhaps not the present one.
    bool sent_ = false;
    bool sent_before_attempt_ = false;
    bool answer_began_ = false;
    bool can_resume_ = false;
    endpoint_id last_endpoint_;
    error_code last_code_ = error_code::endpoint_failed;
    std::string last_message_;
    bool record_held_ = false;
    bool caller_gone_ = false;
    bool head_forwarded_ = false;
    std::optional<time_point> paused_since_;
    events::response_head head_;
    stream_assembler body_;
    std::string collected_;
    bool collected_all_ = true;
    std::uint64_t dropped_ = 0;
};

}  // namespace radishpulley::requests
