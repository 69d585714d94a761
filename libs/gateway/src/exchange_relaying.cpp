// Passing a request on to another VM, and serving one that another VM has passed on.
#include <algorithm>
#include <cstdlib>

#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using telemetry::severity;

// Number of endpoints that can't be reached for a request before another VM is tried.
constexpr unsigned max_unreachable_endpoints = 2;
// Number of VMs that are tried for a request which none of them has run.
constexpr std::size_t max_relay_tries = 3;
// Number of VMs of these that may refuse it.
constexpr unsigned max_relay_refusals = 2;
// Time without a response after which an idempotent call is sent to another VM, as a multiple of
// that for endpoints: the relay looks for another endpoint before.
constexpr int relay_silence_factor = 2;

std::optional<duration> retry_after_of(const header_list& headers) {
    const std::string text(find_header(headers, "retry-after"));
    char* end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (end == text.c_str() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void exchange::refuse_relayed(std::string_view reason) {
    attributes_ = owner_.codec_.read_request(request_.headers);
    refuse({status_unavailable, reason, default_retry_after});
}

unsigned exchange::max_runs() const {
    return relay_terms_ ? relay_terms_->attempts : std::max(1U, route_->max_attempts);
}

bool exchange::should_pass_on() const {
    if (relay_terms_) {
        return false;
    }
    return !owner_.reaches_(service_->id) || unreachable_endpoints_ >= max_unreachable_endpoints;
}

bool exchange::pass_on() {
    if (relay_terms_ || excluded_relays_.size() >= max_relay_tries ||
        relay_refusals_ >= max_relay_refusals) {
        return false;
    }
    const auto target =
        owner_.choose_relay(service_->id, allowed_regions(), attributes_.id, excluded_relays_);
    if (!target) {
        return false;
    }
    if (const auto blocked = blocked_suspect()) {
        refuse_blocked(*blocked);
        return true;
    }
    connect_to_relay(*target);
    return true;
}

void exchange::connect_to_relay(const relay_target& target) {
    phase_ = phase::connecting;
    endpoint_ = endpoint_id();
    relay_ = target;
    ++sends_;
    auto on_connection = [weak = weak_from_this(), target,
                          send = sends_](std::shared_ptr<endpoint_link> it) {
        const auto self = weak.lock();
        const bool is_wanted = self && self->phase_ == phase::connecting && self->sends_ == send;
        if (is_wanted) {
            self->on_relay_connected(std::move(it));
        } else if (self && it) {
            self->owner_.peer_pool_.release(endpoint_id(target.vm.str()), std::move(it));
        }
    };
    if (avoids_kept_connections_) {
        owner_.peer_pool_.connect(endpoint_id(target.vm.str()), target.address,
                                  std::move(on_connection));
    } else {
        owner_.peer_pool_.acquire(endpoint_id(target.vm.str()), target.address,
                                  std::move(on_connection));
    }
}

void exchange::on_relay_connected(std::shared_ptr<endpoint_link> connection) {
    const auto self = shared_from_this();
    if (!connection) {
        owner_.on_relay_unreachable(relay_->vm);
        try_another_relay("unreachable",
                          {status_unavailable, "endpoints_unreachable", default_retry_after});
        return;
    }
    connection_ = std::move(connection);
    if (out_->has_caller_left()) {
        release_connection();
        on_caller_left();
        return;
    }
    if (time_left() < owner_.settings_.min_time_left) {
        release_connection();
        on_deadline();
        return;
    }
    phase_ = phase::sent;
    rejected_ = false;
    discards_response_ = false;
    discarded_bytes_ = 0;
    has_body_ = false;
    required_version_ = 0;
    relay_refusal_.reset();
    runs_before_relay_ = runs_;
    sent_at_ = owner_.time_.now();
    call_request call;
    const relay_terms terms = terms_for_relay();
    runs_ += terms.attempts;
    call.bytes = build_relayed_request(terms);
    call.is_head = request_.method == "HEAD";
    call.id_header = std::string(owner_.codec_.id_header());
    call.id = attributes_.id.str();
    telemetry::log_event(severity::info, "request_passed_on",
                         {{"request", attributes_.id},
                          {"relay", relay_->vm},
                          {"service", service_->id},
                          {"attempts", terms.attempts},
                          {"unreachable_endpoints", unreachable_endpoints_},
                          {"refusals", relay_refusals_},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    retry_if_relay_silent();
    const auto call_connection = connection_;
    call_connection->call(std::move(call), *this);
    if (out_ != nullptr) {
        out_->note_held();
    }
}

relay_terms exchange::terms_for_relay() const {
    relay_terms out;
    out.request = attributes_.id;
    out.origin = owner_.relay_peers_->self();
    out.service = service_->id;
    out.age = to_ms(elapsed());
    out.time_left = to_ms(time_left());
    const unsigned runs_left = max_runs() > runs_ ? max_runs() - runs_ : 1;
    // One is kept for the case that the relay itself fails.
    out.attempts = std::max(1U, runs_left - 1);
    out.last_event = attributes_.last_event;
    if (events_ && !events_->last_id().empty()) {
        out.last_event = events_->last_id();
    }
    out.began_at = began_at_;
    return out;
}

std::string exchange::build_relayed_request(const relay_terms& terms) const {
    std::string out = request_.method + " " + request_.target + " HTTP/1.1\r\n";
    for (const header& it : end_to_end_headers(request_.headers)) {
        if (!same_name(it.name, "expect") && !is_relay_header(it.name)) {
            append_header(out, it.name, it.value);
        }
    }
    append_relay_terms(terms, owner_.relay_peers_->secret(), owner_.time_of_day_->since_epoch(),
                       out);
    append_body(out);
    return out;
}

void exchange::on_relay_head(const response_head& head) {
    const auto result = read_relay_result(head.headers);
    if (!result || result->runs > runs_ - runs_before_relay_) {
        stop_call();
        on_failure(call_failure::malformed);
        return;
    }
    const bool may_be_resumed = route_->resumable && head.status / 100 == 2;
    if (!may_be_resumed) {
        runs_ = runs_before_relay_ + result->runs;
    }
    endpoint_ = result->endpoint;
    endpoint_software_ = result->software;
    if (!result->refusal.empty()) {
        relay_refusal_ = {*result, head.status, retry_after_of(head.headers)};
        discards_response_ = true;
        return;
    }
    const bool is_other_software =
        head_sent_ && began_at_ && head.status / 100 == 2 && *began_at_ != endpoint_software_;
    if (is_other_software) {
        abort_response("other_software");
        return;
    }
    accept_head(head);
}

void exchange::on_relay_refused() {
    const relay_refusal it = std::move(*relay_refusal_);
    relay_refusal_.reset();
    ++relay_refusals_;
    owner_.passed_on_.with({"refused"}).add();
    telemetry::log_event(severity::info, "relay_refused",
                         {{"request", attributes_.id},
                          {"relay", relay_->vm},
                          {"status", it.status},
                          {"reason", it.result.refusal},
                          {"runs", it.result.runs},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    const refusal passed{it.status, it.result.refusal, it.retry_after};
    const bool has_run = it.result.runs > 0;
    if (has_run && it.result.is_suspect) {
        refuse(passed);
        return;
    }
    if (has_run && !may_run_again()) {
        refuse(passed);
        return;
    }
    // What was sent to an endpoint and is sent again is a retry, whether it has run or not.
    if (it.result.sends > 0 && !spend_retry()) {
        refuse(passed);
        return;
    }
    try_another_relay("", passed);
}

void exchange::try_another_relay(std::string_view outcome, const refusal& otherwise) {
    if (!outcome.empty()) {
        owner_.passed_on_.with({outcome}).add();
    }
    excluded_relays_.insert(relay_->vm);
    if (pass_on()) {
        return;
    }
    if (should_pass_on()) {
        refuse(otherwise);
    } else {
        // The endpoints are reached again.
        find_endpoint();
    }
}

void exchange::on_relay_failure(call_failure why, std::string_view reason) {
    if (why == call_failure::not_sent) {
        runs_ = runs_before_relay_;
        try_another_relay("broken",
                          {status_unavailable, "endpoints_unreachable", default_retry_after});
        return;
    }
    const refusal broken{status_bad_gateway, reason, std::nullopt};
    if (head_sent_ && !events_) {
        owner_.passed_on_.with({"broken"}).add();
        abort_response(reason);
        return;
    }
    if (events_) {
        events_->discard_incomplete();
    }
    if (may_run_again() && spend_retry()) {
        try_another_relay("broken", broken);
    } else {
        owner_.passed_on_.with({"broken"}).add();
        refuse(broken);
    }
}

relay_result exchange::result_for_origin(std::string_view refusal) const {
    relay_result out;
    out.endpoint = endpoint_;
    out.software = endpoint_software_;
    out.runs = runs_;
    out.sends = sends_;
    out.refusal = std::string(refusal);
    out.is_suspect = is_suspect_;
    return out;
}

void exchange::release_connection() {
    if (relay_) {
        owner_.peer_pool_.release(endpoint_id(relay_->vm.str()), std::move(connection_));
    } else {
        owner_.pool_.release(endpoint_, std::move(connection_));
    }
    connection_.reset();
}

void exchange::on_service_unreachable(const service_id& service) {
    if (service_ == nullptr || service_->id != service || relay_) {
        return;
    }
    const bool waits = phase_ == phase::asking_for_load || phase_ == phase::waiting_for_load ||
                       phase_ == phase::waiting_for_budget || phase_ == phase::connecting;
    const bool is_unanswered = phase_ == phase::sent && !discards_response_;
    const auto self = shared_from_this();
    if (relay_terms_) {
        // The VM that has the caller passes it on to another one, or repeats it.
        if (waits || (is_unanswered && route_->repeatable())) {
            give_up("service_unreachable", default_retry_after);
        }
        return;
    }
    const bool may_move = waits || (is_unanswered && may_run_again());
    if (!may_move || !has_other_relay() || (is_unanswered && !spend_retry())) {
        return;
    }
    wait_timer_.cancel();
    stop_call();
    pass_on();
}

bool exchange::has_other_relay() const {
    std::set<vm_id> excluded = excluded_relays_;
    if (relay_) {
        excluded.insert(relay_->vm);
    }
    return owner_.choose_relay(service_->id, allowed_regions(), attributes_.id, excluded)
        .has_value();
}

void exchange::retry_if_relay_silent() {
    if (route_->kind != routing::request_kind::idempotent || service_->engine) {
        return;
    }
    silence_timer_.expires_after(owner_.settings_.silence_timeout * relay_silence_factor);
    silence_timer_.async_wait([weak = weak_from_this(), send = sends_](const error_code& ec) {
        const auto self = weak.lock();
        const bool is_silent = !ec && self && self->phase_ == phase::sent && self->sends_ == send;
        if (is_silent && self->may_run_again() && self->has_other_relay() && self->spend_retry()) {
            self->note_connection_fault();
            self->stop_call();
            self->try_another_relay("silent", {status_gateway_timeout, "relay_silent", {}});
        }
    });
}

}  // namespace radishpulley::gateway
