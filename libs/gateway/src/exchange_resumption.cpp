// Streams that callers resume: finding the software that began them.
#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using telemetry::severity;

// Time after which other VMs are asked once more, as messages may be lost; after the second such
// time the software counts as unknown.
constexpr std::chrono::milliseconds origin_reply_time{75};
constexpr unsigned max_origin_queries = 2;

}  // namespace

bool exchange::is_resumption() const {
    return route_->resumable && attributes_.last_event.has_value();
}

routing::stream_key exchange::stream_key() const {
    const bool states_first = is_resumption() && !attributes_.resumed_request.empty();
    return routing::stream_key_of(account_ == nullptr ? client_account_id() : account_->id,
                                  states_first ? attributes_.resumed_request : attributes_.id);
}

void exchange::place() {
    if (relay_terms_ && relay_terms_->began_at) {
        resume_at(*relay_terms_->began_at, "origin");
        return;
    }
    if (!is_resumption()) {
        find_endpoint();
        return;
    }
    if (const routing::software* known = owner_.origins_.find(stream_key())) {
        resume_at(*known, "known");
        return;
    }
    const auto only = owner_.only_software(*route_);
    if (only && knows_endpoints_of_origin()) {
        resume_at(*only, "only_software");
    } else if (attributes_.resumed_request.empty()) {
        on_unknown_origin();
    } else {
        ask_for_origin();
    }
}

void exchange::resume_at(const routing::software& began_at, std::string_view told_by) {
    wait_timer_.cancel();
    began_at_ = began_at;
    const bool is_allowed = routing::allows(*route_, began_at.service);
    const routing::service* target =
        is_allowed ? configuration_->find_service(began_at.service) : nullptr;
    const bool is_serving = target != nullptr && owner_.is_serving(began_at);
    if (target != nullptr && !is_serving && !knows_endpoints_of_origin()) {
        wait_for_endpoints();
        return;
    }
    if (!is_serving) {
        log_resumption(told_by, "gone");
        refuse({status_unavailable, "stream_software_gone", std::nullopt});
        return;
    }
    service_ = target;
    log_resumption(told_by, "resumed");
    find_endpoint();
}

void exchange::wait_for_endpoints() {
    phase_ = phase::waiting_for_endpoints;
    wait_timer_.expires_after(owner_.settings_.endpoints_confirmation_wait);
    wait_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_endpoints) {
            self->log_resumption("nobody", "unconfirmed");
            self->refuse({status_unavailable, "endpoints_unconfirmed", default_retry_after});
        }
    });
    owner_.wait_for_endpoints(shared_from_this());
}

void exchange::on_endpoints_confirmed() {
    if (phase_ != phase::waiting_for_endpoints) {
        return;
    }
    if (knows_endpoints_of_origin()) {
        place();
    } else {
        owner_.wait_for_endpoints(shared_from_this());
    }
}

void exchange::ask_for_origin() {
    phase_ = phase::waiting_for_origin;
    owner_.wait_for_origin(stream_key(), shared_from_this());
    send_origin_query();
}

void exchange::send_origin_query() {
    ++origin_queries_;
    missing_origin_replies_ = owner_.ask_for_origin(stream_key());
    if (missing_origin_replies_ == 0) {
        on_unknown_origin();
        return;
    }
    wait_timer_.expires_after(origin_reply_time);
    wait_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (ec || !self || self->phase_ != phase::waiting_for_origin) {
            return;
        }
        if (self->origin_queries_ < max_origin_queries) {
            self->send_origin_query();
        } else {
            self->on_unknown_origin();
        }
    });
}

void exchange::on_origin_told(const std::optional<routing::software>& began_at) {
    // A reply may come later than the time in which it was expected.
    const bool is_late = phase_ == phase::waiting_for_endpoints;
    if (phase_ != phase::waiting_for_origin && !is_late) {
        return;
    }
    const auto self = shared_from_this();
    if (began_at) {
        resume_at(*began_at, "peer");
    } else if (!is_late && --missing_origin_replies_ == 0) {
        on_unknown_origin();
    }
}

void exchange::on_unknown_origin() {
    if (owner_.only_software(*route_) && !knows_endpoints_of_origin()) {
        wait_for_endpoints();
    } else {
        refuse_unknown_origin();
    }
}

void exchange::refuse_unknown_origin() {
    wait_timer_.cancel();
    log_resumption("nobody", "unknown_software");
    // Nobody will know it later, so there is no Retry-After.
    refuse({status_unavailable, "stream_software_unknown", std::nullopt});
}

void exchange::note_stream_begin() {
    if (!began_at_) {
        began_at_ = endpoint_software_;
    }
    owner_.note_stream(stream_key(), *began_at_);
}

void exchange::log_resumption(std::string_view told_by, std::string_view outcome) const {
    owner_.resumptions_.with({outcome}).add();
    telemetry::log_event(
        outcome == "resumed" ? severity::info : severity::warning, "stream_resumption",
        {{"request", attributes_.id},
         {"resumes", attributes_.resumed_request},
         {"after", attributes_.last_event.value_or("")},
         {"outcome", outcome},
         {"told_by", told_by},
         {"service", began_at_ ? began_at_->service : service_->id},
         {"software", began_at_ ? std::string_view(began_at_->version) : std::string_view()},
         {"elapsed_ms", to_ms(elapsed()).count()}});
}

}  // namespace radishpulley::gateway
