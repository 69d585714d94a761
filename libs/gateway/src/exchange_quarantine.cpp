// Requests whose prompt may crash the endpoints that answer it.
#include "crash_detector.h"
#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using telemetry::severity;

// Interval at which a request asks whether its segments are still suspect.
constexpr std::chrono::milliseconds evidence_interval{50};

}  // namespace

std::optional<routing::segment_blocked> exchange::blocked_segment() const {
    const auto verdict =
        owner_.quarantine_.check(attributes_.shared_segments(), owner_.time_.now());
    const auto* blocked = std::get_if<routing::segment_blocked>(&verdict);
    return blocked == nullptr || is_trial_ ? std::nullopt : std::make_optional(*blocked);
}

void exchange::refuse_blocked(const routing::segment_blocked& it) {
    telemetry::log_event(severity::info, "request_blocked",
                         {{"request", attributes_.id},
                          {"segment", routing::to_text(it.segment)},
                          {"crashes", it.crashes}});
    // Nobody knows when the segment can be served again, so there is no Retry-After.
    refuse({status_unavailable, "segment_blocked", std::nullopt});
}

void exchange::on_segments_blocked() {
    const bool is_waiting = phase_ != phase::starting && phase_ != phase::ended && !is_answered_;
    const auto blocked = blocked_segment();
    if (is_waiting && blocked) {
        const auto self = shared_from_this();
        stop_call();
        refuse_blocked(*blocked);
    }
}

bool exchange::prepare_trial() {
    if (const auto blocked = blocked_segment()) {
        refuse_blocked(*blocked);
        return false;
    }
    const auto verdict =
        owner_.quarantine_.check(attributes_.shared_segments(), owner_.time_.now());
    if (const auto* trial = std::get_if<routing::trial_due>(&verdict)) {
        is_trial_ = true;
        owner_.begin_trial(trial->segment, attributes_.id);
    }
    return true;
}

void exchange::note_answered() {
    if (!is_answered_) {
        is_answered_ = true;
        owner_.on_answered(attributes_.shared_segments());
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
    const bool is_open = owner_.crashes_->is_checking(endpoint_) ||
                         owner_.quarantine_.is_suspect(attributes_.shared_segments());
    if (is_open && owner_.time_.now() < evidence_wait_ends_) {
        wait_for_evidence();
    } else if (!is_open && may_run_again() && spend_retry()) {
        find_endpoint();
    } else if (head_sent_) {
        abort_response("connection_broken");
    } else {
        refuse({status_bad_gateway, "connection_broken", std::nullopt});
    }
}

}  // namespace radishpulley::gateway
