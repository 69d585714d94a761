// The answer to the caller, from its head to the line in the log.
#include "daemon/request_session.h"

#include <utility>

#include "daemon/engine_protocol.h"
#include "details/responses.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

namespace decisions = requests::decisions;
namespace events = requests::events;
using requests::run_state;
using telemetry::log_event;
using telemetry::request_stage;
using telemetry::severity;
constexpr duration backlog_interval = std::chrono::milliseconds(20);

// A stream without a byte for this long is taken for lost, however healthy its connection looks.
constexpr duration stream_silence_limit = std::chrono::seconds(10);

constexpr duration silence_check_interval = std::chrono::seconds(1);

}  // namespace

void request_session::carry_out(const decisions::forward_head& it) {
    http::response head;
    head.status = it.status;
    head.headers["Content-Type"] = it.content_type;
    head.headers[std::string(request_id_header)] = id_.str();
    answer_->start(head);
}

void request_session::note_token() {
    const time_point now = services_.time.now();
    if (!is_model() || !as_model().streamed) {
        return;
    }
    const bool is_first = !last_token_;
    const request_stage stage =
        is_first ? request_stage::first_token : request_stage::between_tokens;
    services_.metrics.times(stage, running_.account, "model")
        .record(now - (is_first ? arrived_ : *last_token_));
    last_token_ = now;
}

void request_session::carry_out(const decisions::forward_bytes& it) {
    note_token();
    answer_->write(it.data);
    const std::size_t pending = answer_->pending();
    if (pending > services_.limits.backlog_high_watermark && !watching_backlog_) {
        queue(events::caller_backlog{pending});
        watching_backlog_ = true;
        watch_backlog();
    }
}

void request_session::watch_backlog() {
    const auto weak = weak_from_this();
    services_.workers.post_after(backlog_interval, [weak] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const std::size_t pending = self->answer_->pending();
        self->handle(events::caller_backlog{pending});
        const std::lock_guard<std::mutex> lock(self->mutex_);
        self->watching_backlog_ = self->paused_;
        if (self->paused_) {
            self->watch_backlog();
        }
    });
}

void request_session::watch_silence(requests::attempt_number attempt) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        last_byte_ = services_.time.now();
    }
    check_silence(attempt);
}

void request_session::check_silence(requests::attempt_number attempt) {
    const auto weak = weak_from_this();
    services_.workers.post_after(silence_check_interval, [weak, attempt] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!self->has_stream(attempt)) {
            return;
        }
        if (self->is_silent()) {
            self->handle(events::attempt_failed{attempt, true, false});
            return;
        }
        self->check_silence(attempt);
    });
}

bool request_session::has_stream(requests::attempt_number attempt) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return !machine_.is_finished() && sent_attempt_ == attempt && observer_;
}

bool request_session::is_silent() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return !paused_ && services_.time.now() - last_byte_ > stream_silence_limit;
}

void request_session::carry_out(const decisions::pause_reading&) {
    paused_ = true;
}

void request_session::carry_out(const decisions::resume_reading&) {
    paused_ = false;
    last_byte_ = services_.time.now();
    if (proceed_) {
        services_.workers.post(std::exchange(proceed_, nullptr));
    }
}

void request_session::carry_out(const decisions::send_error& it) {
    error_code_ = std::string(requests::name_of(it.error.code));
    services_.metrics.count_refusal(running_.account, error_code_, requests::name_of(it.error.run));
    answer_->send(detail::error_response(it.error));
}

void request_session::carry_out(const decisions::end_with_error_event& it) {
    error_code_ = std::string(requests::name_of(it.error.code));
    answer_->write(requests::to_stream_event(it.error));
    answer_->finish();
}

void request_session::carry_out(const decisions::abort_response& it) {
    error_code_ = std::string(requests::name_of(it.error.code));
    answer_->abort();
}

void request_session::carry_out(const decisions::end_response&) {
    answer_->finish();
}

void request_session::carry_out(const decisions::finished& it) {
    close_call();
    if (is_model() && holds_place_ && !place_) {
        services_.placement.cancelled(id_);
        holds_place_ = false;
    }
    release_place();
    if (admission_) {
        const bool ran = it.run != run_state::not_run;
        if (ran && is_model() && as_model().streamed && it.run == run_state::ran) {
            services_.quota.settle(
                *admission_, as_model().prompt_tokens + static_cast<double>(it.events_delivered));
        } else if (ran) {
            services_.quota.settle(*admission_, as_model().prompt_tokens + as_model().max_tokens);
        } else {
            services_.quota.cancel(*admission_);
        }
    }
    if (permit_) {
        services_.records.abandon(*permit_);
        permit_.reset();
    }
    log_end(it);
    services_.sessions.remove(id_);
}

void request_session::log_end(const decisions::finished& it) {
    const duration elapsed = services_.time.now() - arrived_;
    services_.metrics
        .times(request_stage::request_time, running_.account, is_model() ? "model" : "application")
        .record(elapsed);
    log_event(severity::info, "request_finished",
              {{"request", id_},
               {"account", running_.account},
               {"endpoint", endpoint_},
               {"run_state", requests::name_of(it.run)},
               {"error", error_code_.empty() ? "none" : error_code_},
               {"events", it.events_delivered},
               {"elapsed", elapsed}});
}

}  // namespace radishpulley::daemon
