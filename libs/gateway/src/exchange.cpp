#include "exchange.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "base/digest.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using routing::milliseconds;
using telemetry::severity;

constexpr unsigned first_failure = 400;
// Logged for a request whose caller disconnected; never sent.
constexpr unsigned status_caller_left = 499;

constexpr duration startup_retry_after = std::chrono::milliseconds(500);
// The caller's next connection reaches another daemon at once.
constexpr duration shutdown_retry_after = std::chrono::milliseconds(20);
constexpr milliseconds default_deadline{30'000};

double seconds_of(duration it) {
    return std::chrono::duration<double>(it).count();
}

std::string seconds_text(duration it) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.3f", std::max(0.001, seconds_of(it)));
    return buf;
}

}  // namespace

exchange::exchange(gateway& owner, caller_request request, response_writer& out,
                   std::optional<relay_terms> terms)
    : owner_(owner),
      request_(std::move(request)),
      out_(&out),
      configuration_(owner.configuration_),
      number_(++owner.last_number_),
      relay_terms_(std::move(terms)),
      read_at_(owner.time_.now()),
      deadline_timer_(owner.loop_),
      wait_timer_(owner.loop_),
      silence_timer_(owner.loop_) {
    unread_ = elapsed();
    if (relay_terms_) {
        request_.received -= relay_terms_->age;
    }
    owner_.exchanges_.insert(this);
}

exchange::~exchange() {
    owner_.exchanges_.erase(this);
    stop_call();
}

std::size_t exchange::held_bytes() const {
    // Sending takes a copy of the body, which is charged before it is made.
    const std::size_t by_call = connection_ ? connection_->held_bytes() : request_.body.size();
    const std::size_t by_events = events_ ? events_->incomplete().size() : 0;
    return request_.body.capacity() + by_call + by_events;
}

duration exchange::elapsed() const {
    return owner_.time_.now() - request_.received;
}

duration exchange::time_left() const {
    return deadline_ ? *deadline_ - owner_.time_.now() : duration(default_deadline);
}

duration exchange::first_event_time_left() const {
    if (route_ == nullptr || route_->caller_patience == milliseconds(0)) {
        return time_left();
    }
    return std::min<duration>(time_left(), route_->caller_patience - elapsed());
}

double exchange::units() const {
    if (!account_->counts_tokens) {
        return 1;
    }
    return attributes_.has_token_counts ? static_cast<double>(attributes_.prompt_tokens) +
                                              static_cast<double>(attributes_.max_output_tokens)
                                        : account_->plain_tokens;
}

void exchange::start() {
    if (!accept_route() || !accept_service() || !charge_account() || !set_deadline()) {
        return;
    }
    set_deadline_timer();
    if (const auto blocked = blocked_suspect()) {
        refuse_blocked(*blocked);
        return;
    }
    if (!relay_terms_) {
        owner_.budget_of(service_->id).count_request();
    }
    phase_ = phase::queued;
    owner_.queue_start(shared_from_this());
}

void exchange::hold() {
    attributes_ = owner_.codec_.read_request(request_.headers);
    // The route's timeout is known once the configuration is.
    deadline_ = request_.received + attributes_.deadline.value_or(default_deadline);
    set_deadline_timer();
}

void exchange::set_deadline_timer() {
    deadline_timer_.expires_after(time_left());
    deadline_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ != phase::ended) {
            self->on_deadline();
        }
    });
}

requests::start_queue<std::weak_ptr<exchange>>::terms exchange::start_terms() const {
    const bool is_prioritized = account_ != nullptr && account_->priority;
    const duration wait = std::chrono::duration_cast<duration>(
        (*deadline_ - request_.received) * owner_.settings_.max_start_wait_share);
    return {is_prioritized ? *account_->priority : route_->priority, request_.received + wait};
}

void exchange::on_turn_to_start() {
    if (phase_ != phase::queued) {
        return;
    }
    if (out_->has_caller_left()) {
        on_caller_left();
        return;
    }
    place();
}

void exchange::refuse_overloaded() {
    if (phase_ == phase::queued) {
        refuse({status_unavailable, "overloaded",
                std::max(default_retry_after, owner_.turns_.max_unread())});
    }
}

void exchange::on_configuration_confirmed() {
    if (phase_ == phase::ended) {
        return;
    }
    const auto self = shared_from_this();
    configuration_ = owner_.configuration_;
    start();
}

void exchange::refuse_unknown(unsigned status, std::string_view reason) {
    if (owner_.configuration_age_() > owner_.settings_.authoritative_age) {
        refuse({status_unavailable, "configuration_stale", startup_retry_after});
    } else {
        refuse({status, reason, std::nullopt});
    }
}

bool exchange::accept_route() {
    attributes_ = owner_.codec_.read_request(request_.headers);
    if (relay_terms_ && relay_terms_->last_event) {
        attributes_.last_event = relay_terms_->last_event;
    }
    suspects_ = routing::suspects_of(attributes_.shared_segments());
    if (!configuration_) {
        refuse({status_unavailable, "no_configuration", startup_retry_after});
        return false;
    }
    if (owner_.awaits_evacuations()) {
        refuse({status_unavailable, "evacuations_unknown", startup_retry_after});
        return false;
    }
    route_ = configuration_->find_route(find_header(request_.headers, "host"), request_.target);
    if (route_ == nullptr) {
        refuse_unknown(status_not_found, "no_route");
        return false;
    }
    if (attributes_.id.empty()) {
        refuse({status_bad_request, "no_request_id", std::nullopt});
        return false;
    }
    if (!routing::is_valid(attributes_.target)) {
        refuse({status_bad_request, "bad_model_name", std::nullopt});
        return false;
    }
    return true;
}

bool exchange::accept_service() {
    if (configuration_->needs_keys()) {
        account_ = configuration_->find_account(attributes_.key);
        if (account_ == nullptr && !route_->open) {
            refuse_unknown(status_unauthorized, "unknown_key");
            return false;
        }
    }
    // A stream stays with its service when it is resumed.
    const bool resumes = is_resumption() && !attributes_.resumed_request.empty();
    const request_id& drawn_by = resumes ? attributes_.resumed_request : attributes_.id;
    const double point =
        static_cast<double>(stable_hash(drawn_by.str()) >> 11) / static_cast<double>(1ULL << 53);
    const service_id* chosen = routing::pick_service(*route_, point);
    if (relay_terms_) {
        const bool is_allowed = routing::allows(*route_, relay_terms_->service);
        chosen = is_allowed ? &relay_terms_->service : nullptr;
    }
    service_ = chosen == nullptr ? nullptr : configuration_->find_service(*chosen);
    if (service_ == nullptr) {
        refuse({status_unavailable, "no_service", startup_retry_after});
        return false;
    }
    if (allowed_regions().allows_none()) {
        refuse({status_unavailable, "no_allowed_region", operator_retry_after});
        return false;
    }
    return true;
}

bool exchange::charge_account() {
    if (account_ == nullptr || relay_terms_) {
        return true;
    }
    const auto result = owner_.limiter_.admit(account_->id, units(), owner_.time_.now());
    if (const auto* it = std::get_if<routing::over_limit>(&result)) {
        telemetry::log_event(severity::info, "over_limit",
                             {{"request", attributes_.id},
                              {"account", account_->id},
                              {"units", units()},
                              {"rate", it->rate},
                              {"share", it->share},
                              {"fill", it->fill},
                              {"retry_after", it->retry_after}});
        refuse({status_too_many, "over_limit", it->retry_after});
        return false;
    }
    charged_ = units();
    return true;
}

bool exchange::set_deadline() {
    milliseconds wait = attributes_.deadline.value_or(default_deadline);
    if (route_->timeout.count() > 0) {
        wait = std::min(wait, route_->timeout);
    }
    if (relay_terms_) {
        wait = std::min(wait, relay_terms_->age + relay_terms_->time_left);
    }
    deadline_ = request_.received + wait;
    if (time_left() < owner_.settings_.min_time_left) {
        refuse({status_unavailable, "no_time_left", default_retry_after});
        return false;
    }
    if (may_outlast_daemon()) {
        refuse({status_unavailable, "stopping", shutdown_retry_after});
        return false;
    }
    return true;
}

bool exchange::refuse_early() {
    if (!accept_route() || !accept_service()) {
        return true;
    }
    const bool is_over_limit =
        account_ != nullptr && !relay_terms_ &&
        !owner_.limiter_.would_admit(account_->id, units(), owner_.time_.now());
    if (is_over_limit && !charge_account()) {
        return true;
    }
    // The account may have been below its limit again; start() charges the request.
    refund();
    return !set_deadline();
}

void exchange::on_call_ended() {
    owner_.work_.finish(number_);
    if (!notified_engine_.empty()) {
        owner_.broker_->note_request_end(notified_engine_, attributes_.target);
        notified_engine_ = endpoint_id();
    }
}

void exchange::stop_call() {
    on_call_ended();
    if (connection_) {
        connection_->cancel();
        connection_.reset();
    }
}

void exchange::on_deadline() {
    give_up(may_have_run() ? "deadline" : "deadline_before_sending", default_retry_after);
}

bool exchange::may_outlast_daemon() const {
    return owner_.stop_ && owner_.time_.now() >= owner_.stop_->careful_from &&
           *deadline_ > owner_.stop_->ends_at;
}

void exchange::on_stop() {
    if (phase_ != phase::ended) {
        give_up("stopping", shutdown_retry_after);
    }
}

void exchange::turn_away(std::string_view reason) {
    if (phase_ != phase::ended) {
        give_up(reason, default_retry_after);
    }
}

void exchange::refuse_incomplete(std::string_view reason) {
    attributes_ = owner_.codec_.read_request(request_.headers);
    if (configuration_) {
        route_ = configuration_->find_route(find_header(request_.headers, "host"), request_.target);
    }
    refuse({status_unavailable, reason, default_retry_after});
}

void exchange::give_up(std::string_view reason, duration retry_after) {
    const auto self = shared_from_this();
    const bool was_sent = may_have_run();
    stop_call();
    if (was_sent) {
        refuse({status_gateway_timeout, reason, std::nullopt});
    } else {
        refuse({status_unavailable, reason, retry_after});
    }
}

void exchange::refund() {
    if (charged_ > 0 && !may_have_run()) {
        owner_.limiter_.refund(account_->id, charged_);
        charged_ = 0;
    }
}

void exchange::refuse(const refusal& wanted) {
    const auto self = shared_from_this();
    refusal it = wanted;
    if (it.status == status_unavailable && may_have_run()) {
        // 503 states that the request has not run.
        it = {status_bad_gateway, wanted.reason, std::nullopt};
    }
    const bool is_unknown_here = relay_terms_ && it.status < status_bad_gateway;
    if (is_unknown_here && it.status != status_too_many) {
        // The VM that has the caller knows better what its request may do.
        it = {status_unavailable, wanted.reason, default_retry_after};
    }
    if (phase_ == phase::ended || out_ == nullptr) {
        return;
    }
    if (head_sent_) {
        abort_response(it.reason);
        return;
    }
    refund();
    finish(it.status, it.reason);
    caller_response head;
    head.status = it.status;
    head.headers.push_back({"Content-Type", "application/json"});
    if (!attributes_.id.empty()) {
        head.headers.push_back({std::string(owner_.codec_.id_header()), attributes_.id.str()});
    }
    if (it.retry_after) {
        head.headers.push_back({"Retry-After", seconds_text(*it.retry_after)});
    }
    if (relay_terms_) {
        head.headers.push_back(relay_result_header(result_for_origin(it.reason)));
    }
    const std::string body = "{\"error\":\"" + std::string(it.reason) + "\"}";
    head.length = body.size();
    response_writer* out = out_;
    out_ = nullptr;
    out->send_head(head);
    out->send_body(body);
    out->send_end();
}

void exchange::abort_response(std::string_view why) {
    const auto self = shared_from_this();
    if (phase_ == phase::ended || out_ == nullptr) {
        return;
    }
    stop_call();
    finish(status_, why);
    response_writer* out = out_;
    out_ = nullptr;
    out->abort();
}

void exchange::on_caller_left() {
    const auto self = shared_from_this();
    if (phase_ == phase::ended) {
        return;
    }
    stop_call();
    out_ = nullptr;
    finish(status_caller_left, "caller_left");
}

void exchange::finish(unsigned status, std::string_view reason) {
    if (events_ && reason == answered) {
        owner_.origins_.on_complete(stream_key());
    } else if (events_) {
        note_stream_begin();
    }
    // The VM that has the caller counts what was passed on.
    if (is_resumption() && !relay_terms_) {
        log_resumption(reason);
    }
    phase_ = phase::ended;
    on_call_ended();
    deadline_timer_.cancel();
    wait_timer_.cancel();
    silence_timer_.cancel();
    const std::string_view account =
        account_ == nullptr ? std::string_view("-") : std::string_view(account_->id.str());
    const std::string_view route =
        route_ == nullptr ? std::string_view("-") : std::string_view(route_->name);
    if (relay_terms_) {
        owner_.relayed_.with({std::to_string(status)}).add();
    } else {
        owner_.responses_.with({account, route, std::to_string(status)}).add();
        owner_.latencies_.with({account, route}).record(elapsed());
    }
    if (relay_ && reason == answered) {
        owner_.passed_on_.with({"answered"}).add();
    }
    // Warnings and infos have separate rate limits in the log, so that successes don't displace
    // failures.
    telemetry::log_event(
        status < first_failure ? severity::info : severity::warning, "request_finished",
        {{"request", attributes_.id},
         {"status", status},
         {"reason", reason},
         {"account", account},
         {"route", route},
         {"service",
          service_ == nullptr ? std::string_view("-") : std::string_view(service_->id.str())},
         {"endpoint", endpoint_},
         {"relay", relay_ ? std::string_view(relay_->vm.str()) : std::string_view()},
         {"origin",
          relay_terms_ ? std::string_view(relay_terms_->origin.str()) : std::string_view()},
         {"software", endpoint_software_.version},
         {"adapter", attributes_.target.adapter},
         {"units", account_ == nullptr ? 0 : static_cast<std::uint64_t>(units())},
         {"configuration", configuration_ ? configuration_->version() : 0},
         {"configuration_age_ms", to_ms(owner_.configuration_age_()).count()},
         {"sends", sends_},
         {"load_wait_ms", to_ms(load_wait_).count()},
         {"unread_ms", to_ms(unread_).count()},
         {"sent_after_ms",
          sent_at_ == time_point{} ? -1 : to_ms(sent_at_ - request_.received).count()},
         {"target_ms", route_ == nullptr ? 0 : route_->target_latency.count()},
         {"first_byte_ms", to_ms(first_byte_time_).count()},
         {"unread_tokens", unread_tokens_},
         {"elapsed_ms", to_ms(elapsed()).count()},
         {"left_ms", deadline_ ? to_ms(time_left()).count() : -1}});
}

}  // namespace radishpulley::gateway
