/// Carries one caller's request from its arrival to its end.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "daemon/caller_request.h"
#include "daemon/services.h"
#include "http/client.h"
#include "http/server.h"
#include "idempotency/once_guard.h"
#include "keys/running_requests.h"
#include "requests/request_machine.h"

namespace radishpulley::daemon {

/// Runs a request_machine for one request. Lock order: a session's lock is taken before those of
/// the services; nothing calls a session while it holds one of theirs.
class request_session final : public std::enable_shared_from_this<request_session> {
public:
    request_session(services& with, request_id id, http::request from, caller_call call,
                    std::shared_ptr<http::responder> answer);

    void start();
    /// Takes one event, from any thread.
    void handle(const requests::event& it);

    const request_id& id() const { return id_; }
    /// Returns the key under which the request runs; its id is empty on open routes.
    keys::running_request running() const;

private:
    class endpoint_observer;

    void drain_events();
    void queue(requests::event it) { events_.push_back(std::move(it)); }

    void carry_out(const requests::decisions::authenticate_caller& it);
    void carry_out(const requests::decisions::admit_request& it);
    void carry_out(const requests::decisions::create_record& it);
    void carry_out(const requests::decisions::select_endpoint& it);
    void carry_out(const requests::decisions::release_endpoint& it);
    void carry_out(const requests::decisions::release_admission& it);
    void carry_out(const requests::decisions::open_connection& it);
    void carry_out(const requests::decisions::send_request& it);
    void carry_out(const requests::decisions::cancel_attempt& it);
    void carry_out(const requests::decisions::suspend_attempt& it);
    void carry_out(const requests::decisions::release_attempt& it);
    void carry_out(const requests::decisions::acquire_retry& it);
    void carry_out(const requests::decisions::wake_at& it);
    void carry_out(const requests::decisions::forward_head& it);
    void carry_out(const requests::decisions::forward_bytes& it);
    void carry_out(const requests::decisions::pause_reading& it);
    void carry_out(const requests::decisions::resume_reading& it);
    void carry_out(const requests::decisions::release_record& it);
    void carry_out(const requests::decisions::store_outcome& it);
    void carry_out(const requests::decisions::send_error& it);
    void carry_out(const requests::decisions::end_with_error_event& it);
    void carry_out(const requests::decisions::abort_response& it);
    void carry_out(const requests::decisions::end_response& it);
    void carry_out(const requests::decisions::finished& it);

    void authenticate();
    void on_admission(const quota::admission_decision& it);
    void on_placement(const placement_outcome& it);
    void route_model(const requests::decisions::select_endpoint& it);
    void route_application(const requests::decisions::select_endpoint& it);
    void begin_record();
    void release_place();
    void close_call();
    void end_attempt(requests::attempt_number attempt);
    void lose_adapter(requests::attempt_number attempt);
    void watch_backlog();
    void watch_silence(requests::attempt_number attempt);
    void check_silence(requests::attempt_number attempt);
    bool has_stream(requests::attempt_number attempt) const;
    bool is_silent() const;
    void note_token();
    void log_end(const requests::decisions::finished& it);
    bool is_model() const { return std::holds_alternative<model_call>(call_); }
    const model_call& as_model() const { return std::get<model_call>(call_); }
    const application_call& as_application() const { return std::get<application_call>(call_); }
    const http::request& outgoing() const;
    bool is_open() const;
    const service_id& service() const;
    static requests::request_parameters terms_for(const request_id& id, const caller_call& call,
                                                  time_point deadline);

    services& services_;
    const request_id id_;
    const http::request from_;
    const caller_call call_;
    const std::shared_ptr<http::responder> answer_;
    const time_point arrived_;
    const time_point deadline_;

    mutable std::mutex mutex_;
    requests::request_machine machine_;
    std::deque<requests::event> events_;
    bool draining_ = false;
    keys::running_request running_;
    std::optional<quota::admission_number> admission_;
    std::optional<placement::send_request> place_;
    endpoint_id endpoint_;
    std::string endpoint_address_;
    bool holds_place_ = false;
    // Attempts whose use of the endpoint counts, suspended ones included.
    std::set<requests::attempt_number> open_attempts_;
    requests::attempt_number sent_attempt_ = 0;
    std::optional<idempotency::run_permit> permit_;
    std::shared_ptr<http::running_call> running_call_;
    std::shared_ptr<endpoint_observer> observer_;
    bool adapter_was_missing_ = false;
    bool paused_ = false;
    std::function<void()> proceed_;
    bool watching_backlog_ = false;
    std::optional<time_point> last_token_;
    time_point last_byte_{};
    time_point routed_at_{};
    std::string error_code_;
};

}  // namespace radishpulley::daemon
