// Requests that may crash the endpoints that run them.
#include "crash_detector.h"
#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using telemetry::severity;

// Interval at which a request asks whether its suspects still are.
constexpr std::chrono::milliseconds evidence_interval{10};

}  // namespace

gsl::span<const routing::suspect_id> exchange::all_suspects() {
    if (suspects_.size() == shared_segment_count()) {
        suspects_.push_back(routing::suspect_of(
            {account_ == nullptr ? client_account_id() : account_->id, request_.method,
             find_header(request_.headers, "host"), request_.target, request_.body}));
    }
    return suspects_;
}

gsl::span<const routing::suspect_id> exchange::known_suspects() {
    if (owner_.quarantine_.knows_requests()) {
        return all_suspects();
    }
    return gsl::span<const routing::suspect_id>(suspects_).first(shared_segment_count());
}

std::optional<routing::request_blocked> exchange::blocked_suspect() {
    if (is_trial_) {
        return std::nullopt;
    }
    const auto verdict = owner_.quarantine_.check(known_suspects(), owner_.time_.now());
    const auto* blocked = std::get_if<routing::request_blocked>(&verdict);
    return blocked == nullptr ? std::nullopt : std::make_optional(*blocked);
}

void exchange::refuse_blocked(const routing::request_blocked& it) {
    telemetry::log_event(severity::info, "request_blocked",
                         {{"request", attributes_.id},
                          {"suspect", routing::to_text(it.id)},
                          {"crashes", it.crashes}});
    // Nobody knows when the suspect can be served again, so there is no Retry-After.
    refuse({status_unavailable, it.id.is_request() ? "request_blocked" : "segment_blocked",
            std::nullopt});
}

void exchange::on_suspects_blocked() {
    const bool is_waiting = phase_ != phase::starting && phase_ != phase::ended && !is_answered_;
    if (!is_waiting) {
        return;
    }
    if (const auto blocked = blocked_suspect()) {
        const auto self = shared_from_this();
        stop_call();
        refuse_blocked(*blocked);
    }
}

bool exchange::prepare_trial() {
    if (is_trial_) {
        return true;
    }
    const auto verdict = owner_.quarantine_.check(known_suspects(), owner_.time_.now());
    if (const auto* blocked = std::get_if<routing::request_blocked>(&verdict)) {
        refuse_blocked(*blocked);
        return false;
    }
    if (const auto* trial = std::get_if<routing::trial_due>(&verdict)) {
        is_trial_ = true;
        owner_.begin_trial(trial->id, attributes_.id);
    }
    return true;
}

void exchange::note_answered() {
    if (!is_answered_) {
        is_answered_ = true;
        owner_.on_answered(known_suspects());
    }
}

void exchange::note_failed_answer() {
    // The endpoint has survived this request; that says nothing of the segments, which it may not
    // have begun to answer.
    if (!is_answered_ && owner_.quarantine_.knows_requests()) {
        owner_.on_answered(all_suspects().last(1));
    }
}

void exchange::wait_for_evidence() {
    phase_ = phase::waiting_for_evidence;
    wait_timer_.expires_after(evidence_interval);
    wait_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_evidence) {
            self->send_again_unless_suspect();
        }
    });
}

void exchange::send_again_unless_suspect() {
    const bool is_open =
        owner_.crashes_->is_checking(endpoint_) || owner_.quarantine_.is_suspect(known_suspects());
    if (is_open && owner_.time_.now() < evidence_wait_ends_) {
        wait_for_evidence();
    } else if (!is_open && may_run_again() && spend_retry()) {
        find_endpoint();
    } else {
        is_suspect_ = is_open;
        refuse({status_bad_gateway, "connection_broken", std::nullopt});
    }
}

}  // namespace radishpulley::gateway
