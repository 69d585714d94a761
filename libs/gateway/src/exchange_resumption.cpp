// Streams that callers resume: finding the software that began them.
#include <algorithm>

#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using telemetry::severity;

// Interval at which other VMs are asked again, as messages may be lost, and at which it is looked
// whether the software has become known.
constexpr std::chrono::milliseconds origin_reply_time{75};
// Number of queries without a reply after which a VM counts as failed.
constexpr unsigned max_origin_queries = 2;
// Retry-After where the software may become known later.
constexpr duration origin_retry_after = std::chrono::milliseconds(500);

}  // namespace

bool exchange::is_resumption() const {
    const bool may_resume = route_ == nullptr || route_->resumable;
    return may_resume && attributes_.last_event.has_value();
}

routing::stream_key exchange::stream_key() const {
    const bool states_first = is_resumption() && !attributes_.resumed_request.empty();
    return routing::stream_key_of(account_ == nullptr ? client_account_id() : account_->id,
                                  states_first ? attributes_.resumed_request : attributes_.id);
}

void exchange::place() {
    if (relay_terms_ && relay_terms_->began_at) {
        resume_at(*relay_terms_->began_at, "origin");
    } else if (!is_resumption()) {
        find_endpoint();
    } else if (!resume_if_known()) {
        ask_for_origin();
    }
}

bool exchange::resume_if_known() {
    if (const routing::software* known = owner_.origins_.find(stream_key())) {
        resume_at(*known, "known");
        return true;
    }
    const auto only = owner_.only_software(*route_);
    if (only && knows_endpoints_of_origin()) {
        resume_at(*only, "only_software");
        return true;
    }
    return false;
}

void exchange::resume_at(const routing::software& began_at, std::string_view told_by) {
    wait_timer_.cancel();
    began_at_ = began_at;
    origin_told_by_ = told_by;
    const bool is_allowed = routing::allows(*route_, began_at.service);
    const routing::service* target =
        is_allowed ? configuration_->find_service(began_at.service) : nullptr;
    const bool is_serving = target != nullptr && owner_.is_serving(began_at);
    if (target != nullptr && !is_serving && !knows_endpoints_of_origin()) {
        wait_for_endpoints();
        return;
    }
    if (!is_serving) {
        refuse({status_unavailable, "stream_software_gone", std::nullopt});
        return;
    }
    service_ = target;
    find_endpoint();
}

void exchange::wait_for_endpoints() {
    phase_ = phase::waiting_for_endpoints;
    wait_timer_.expires_after(owner_.settings_.endpoints_confirmation_wait);
    wait_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_endpoints) {
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
    origin_wait_ends_ = owner_.time_.now() + load_wait_limit();
    owner_.wait_for_origin(stream_key(), shared_from_this());
    send_origin_query();
}

void exchange::send_origin_query() {
    ++origin_queries_;
    const bool is_named = !attributes_.resumed_request.empty();
    missing_origin_replies_ = is_named ? owner_.ask_for_origin(stream_key()) : 0;
    if (missing_origin_replies_ == 0 && !may_learn_origin()) {
        on_unknown_origin();
        return;
    }
    const duration left = origin_wait_ends_ - owner_.time_.now();
    wait_timer_.expires_after(std::clamp<duration>(left, duration::zero(), origin_reply_time));
    wait_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_origin) {
            self->on_origin_reply_time();
        }
    });
}

void exchange::on_origin_reply_time() {
    if (resume_if_known()) {
        return;
    }
    const bool may_ask_again = may_learn_origin() || origin_queries_ < max_origin_queries;
    if (may_ask_again && owner_.time_.now() < origin_wait_ends_) {
        send_origin_query();
    } else {
        on_unknown_origin();
    }
}

bool exchange::may_learn_origin() const {
    return owner_.knowledge_of_origins() == origin_knowledge::incomplete;
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
        return;
    }
    if (is_late) {
        return;
    }
    if (missing_origin_replies_ > 0) {
        --missing_origin_replies_;
    }
    if (missing_origin_replies_ == 0 && !may_learn_origin()) {
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
    origin_told_by_ = "nobody";
    // Where all that could know have replied, nobody will know it later.
    const bool is_final = owner_.knowledge_of_origins() == origin_knowledge::complete;
    refuse({status_unavailable, "stream_software_unknown",
            is_final ? std::nullopt : std::make_optional(origin_retry_after)});
}

void exchange::note_stream_begin() {
    if (!began_at_) {
        began_at_ = endpoint_software_;
    }
    owner_.note_stream(stream_key(), *began_at_);
}

void exchange::log_resumption(std::string_view outcome) const {
    const bool went_on = events_ && relayed_ > 0;
    owner_.resumptions_.with({outcome, went_on ? "yes" : "no"}).add();
    telemetry::log_event(
        went_on ? severity::info : severity::warning, "stream_resumption",
        {{"request", attributes_.id},
         {"resumes", attributes_.resumed_request},
         {"after", attributes_.last_event.value_or("")},
         {"outcome", outcome},
         {"went_on", went_on},
         {"relayed_bytes", relayed_},
         {"last_event", events_ ? events_->last_id() : std::string()},
         {"told_by", origin_told_by_},
         {"service", began_at_ ? std::string_view(began_at_->service.str()) : std::string_view()},
         {"software", began_at_ ? std::string_view(began_at_->version) : std::string_view()},
         {"sends", sends_},
         {"elapsed_ms", to_ms(elapsed()).count()}});
}

}  // namespace radishpulley::gateway
