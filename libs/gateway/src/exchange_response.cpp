// Handling of the endpoint's response: relaying, failures and retries.
#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using telemetry::severity;

constexpr std::size_t max_discarded_bytes = 65'536;
// Interval at which a request that was not run asks again for a retry from the budget.
constexpr duration budget_wait = std::chrono::milliseconds(100);

}  // namespace

void exchange::on_head(const response_head& head) {
    const auto self = shared_from_this();
    owner_.turns_.note_input();
    if (relay_) {
        on_relay_head(head);
        return;
    }
    const response_attributes attributes = owner_.codec_.read_response(head.status, head.headers);
    apply_notice(head, attributes);
    if (attributes.not_run) {
        rejected_ = true;
        discards_response_ = true;
        status_ = head.status;
        --runs_;
        owner_.directory_.on_call(endpoint_, routing::call_outcome::answered, owner_.time_.now());
        on_rejection(head);
        return;
    }
    const bool is_success = head.status / 100 == 2;
    const bool is_invalid = is_success && (!attributes.is_signed ||
                                           !find_header(head.headers, "content-encoding").empty());
    if (is_invalid) {
        stop_call();
        on_failure(call_failure::malformed);
        return;
    }
    const bool failed = head.status >= 500;
    owner_.directory_.on_call(
        endpoint_, failed ? routing::call_outcome::failed : routing::call_outcome::answered,
        owner_.time_.now());
    accept_head(head);
}

void exchange::accept_head(const response_head& head) {
    const bool is_success = head.status / 100 == 2;
    if (head_sent_) {
        // A resumed stream keeps the head of its first endpoint.
        if (!is_success) {
            abort_response("resume_failed");
            return;
        }
        phase_ = phase::relaying;
        watch_stream_end(head);
        return;
    }
    const bool failed = head.status >= 500;
    if (failed && may_run_again() && spend_retry()) {
        excluded_.insert(endpoint_);
        if (relay_) {
            excluded_relays_.insert(relay_->vm);
        }
        discards_response_ = true;
        status_ = head.status;
        return;
    }
    relay_head(head);
}

void exchange::apply_notice(const response_head& head, const response_attributes& attributes) {
    const time_point now = owner_.time_.now();
    const routing::endpoint_notice& it = attributes.notice;
    const bool is_complete = attributes.is_signed && head.status / 100 == 2;
    const routing::endpoint_incarnation from{endpoint_, endpoint_started_at_ms_};
    owner_.on_stated_limit(from, {it.rate_limit, sent_at_, now, is_complete});
    owner_.on_cold_notice(from, it);
    if (owner_.directory_.on_notice(from, it, now)) {
        telemetry::log_event(severity::info, "endpoint_notice",
                             {{"endpoint", endpoint_},
                              {"request", attributes_.id},
                              {"status", head.status},
                              {"leaving", it.leaving},
                              {"pause", it.pause.value_or(duration::zero())}});
    }
}

void exchange::watch_stream_end(const response_head& head) {
    const bool is_stream = route_->kind == routing::request_kind::streaming;
    unframed_events_.reset();
    if (is_stream && head.ends_with_connection && head.status / 100 == 2) {
        unframed_events_.emplace();
    }
}

void exchange::relay_head(const response_head& head) {
    phase_ = phase::relaying;
    watch_stream_end(head);
    head_sent_ = true;
    status_ = head.status;
    caller_response out;
    out.status = head.status;
    out.reason = head.reason;
    for (header& it : end_to_end_headers(head.headers)) {
        if (!is_relay_header(it.name)) {
            out.headers.push_back(std::move(it));
        }
    }
    if (relay_terms_) {
        out.headers.push_back(relay_result_header(result_for_origin({})));
    }
    out.length = head.length;
    if (route_->resumable && head.status / 100 == 2) {
        note_stream_begin();
        events_.emplace();
        // A resumed stream differs in length from what its first endpoint stated.
        out.length.reset();
    }
    out_->send_head(out);
}

void exchange::on_rejection(const response_head& head) {
    telemetry::log_event(severity::info, "request_not_run",
                         {{"request", attributes_.id},
                          {"endpoint", endpoint_},
                          {"status", head.status},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    if (head.status == status_misdirected) {
        const routing::endpoint* known = owner_.directory_.find(endpoint_);
        if (!attributes_.target.adapter.empty() && known != nullptr) {
            owner_.adapters_.on_missing(endpoint_, attributes_.target, owner_.time_.now());
            owner_.broker_->note_adapter_missing(endpoint_, attributes_.target);
        } else {
            excluded_.insert(endpoint_);
        }
    }
}

void exchange::on_body(std::string_view bytes) {
    const auto self = shared_from_this();
    owner_.turns_.note_input();
    if (discards_response_) {
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > max_discarded_bytes) {
            // The rest of a discarded response is not worth reading.
            stop_call();
            send_again_if_discarded();
        }
        return;
    }
    if (phase_ != phase::relaying) {
        return;
    }
    if (has_body_ && status_ / 100 == 2) {
        note_answered();
    }
    has_body_ = true;
    if (first_body_) {
        first_body_ = false;
        first_byte_time_ = elapsed();
        owner_.work_.on_prompt_read(number_);
    }
    relayed_ += bytes.size();
    if (unframed_events_) {
        unframed_events_->append(bytes);
    }
    if (events_) {
        const std::string ready = events_->append(bytes);
        if (!ready.empty()) {
            out_->send_body(ready);
        }
        if (events_->incomplete().size() > owner_.unsent_limit()) {
            telemetry::log_event(severity::warning, "event_too_long",
                                 {{"request", attributes_.id},
                                  {"endpoint", endpoint_},
                                  {"bytes", events_->incomplete().size()},
                                  {"limit", owner_.unsent_limit()}});
            stop_call();
            on_failure(call_failure::malformed);
            return;
        }
    } else {
        out_->send_body(bytes);
    }
    if (connection_ && out_ != nullptr && out_->unsent() > owner_.unsent_limit()) {
        connection_->set_paused(true);
    }
}

void exchange::on_caller_ready() {
    if (connection_) {
        const auto held = connection_;
        held->set_paused(false);
    }
}

bool exchange::send_again_if_discarded() {
    if (relay_refusal_) {
        on_relay_refused();
        return true;
    }
    if (rejected_) {
        rejected_by_.insert(endpoint_);
        retry("rejected");
        return true;
    }
    if (discards_response_) {
        find_endpoint();
        return true;
    }
    return false;
}

void exchange::on_done() {
    const auto self = shared_from_this();
    const bool is_cut = unframed_events_ && !unframed_events_->is_at_event_end();
    if (is_cut && !discards_response_) {
        on_failure(call_failure::broken);
        return;
    }
    on_call_ended();
    release_connection();
    if (send_again_if_discarded()) {
        return;
    }
    if (status_ / 100 != 2) {
        note_failed_answer();
    } else if (has_body_) {
        note_answered();
    }
    if (events_ && !events_->incomplete().empty()) {
        out_->send_body(events_->incomplete());
    }
    finish(status_, answered);
    if (out_ != nullptr) {
        response_writer* out = out_;
        out_ = nullptr;
        out->send_end();
    }
}

void exchange::on_failure(call_failure why) {
    const auto self = shared_from_this();
    on_call_ended();
    note_connection_fault();
    connection_.reset();
    const std::string_view reason =
        why == call_failure::malformed ? "malformed_answer" : "connection_broken";
    telemetry::log_event(severity::warning, "call_failed",
                         {{"request", attributes_.id},
                          {"endpoint", endpoint_},
                          {"software", endpoint_software_.version},
                          {"reason", reason},
                          {"sent", why != call_failure::not_sent},
                          {"relayed_bytes", relayed_},
                          {"suspects", routing::to_text(all_suspects())},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    if (send_again_if_discarded()) {
        return;
    }
    if (relay_) {
        on_relay_failure(why, reason);
        return;
    }
    const bool is_unanswered = why == call_failure::broken && !is_answered_;
    if (is_unanswered) {
        owner_.on_unanswered({endpoint_, endpoint_started_at_ms_}, all_suspects());
    }
    owner_.directory_.on_call(endpoint_,
                              why == call_failure::malformed ? routing::call_outcome::failed
                                                             : routing::call_outcome::unreachable,
                              owner_.time_.now());
    if (why == call_failure::not_sent) {
        --runs_;
        ++unreachable_endpoints_;
        try_another_endpoint();
        return;
    }
    if (head_sent_ && !events_) {
        abort_response(reason);
        return;
    }
    if (events_) {
        events_->discard_incomplete();
    }
    excluded_.insert(endpoint_);
    is_trial_ = false;
    if (is_unanswered && (may_run_again() || relay_terms_)) {
        evidence_wait_ends_ = owner_.time_.now() + evidence_wait;
        send_again_unless_suspect();
    } else if (may_run_again() && spend_retry()) {
        find_endpoint();
    } else {
        refuse({status_bad_gateway, reason, std::nullopt});
    }
}

void exchange::try_another_endpoint() {
    excluded_.insert(endpoint_);
    if (sends_ < owner_.settings_.max_sends) {
        find_endpoint();
    } else {
        refuse({status_unavailable, "endpoints_unreachable", default_retry_after});
    }
}

bool exchange::may_run_again() const {
    return route_->repeatable() && runs_ < max_runs() && sends_ < owner_.settings_.max_sends &&
           time_left() > owner_.settings_.min_time_left;
}

bool exchange::spend_retry() {
    return owner_.budget_of(service_->id).try_spend(attributes_.id, sends_).has_value();
}

void exchange::retry(std::string_view why) {
    if (status_ == status_unavailable || attributes_.target.adapter.empty()) {
        excluded_.insert(endpoint_);
    }
    retry_within_budget(why);
}

void exchange::retry_within_budget(std::string_view why) {
    const bool may_send = sends_ < owner_.settings_.max_sends;
    if (may_send && spend_retry()) {
        find_endpoint();
    } else if (may_send && !may_have_run() && load_wait_limit() > budget_wait) {
        wait_for_budget(why);
    } else {
        refuse({status_unavailable, why, default_retry_after});
    }
}

void exchange::wait_for_budget(std::string_view why) {
    phase_ = phase::waiting_for_budget;
    wait_timer_.expires_after(budget_wait);
    wait_timer_.async_wait([weak = weak_from_this(), why](const boost::system::error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_budget) {
            self->retry_within_budget(why);
        }
    });
}

}  // namespace radishpulley::gateway
