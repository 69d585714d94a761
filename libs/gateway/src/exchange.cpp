#include "exchange.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "base/digest.h"
#include "base/overloaded.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using routing::milliseconds;
using telemetry::severity;

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
constexpr unsigned status_misdirected = 421;
constexpr unsigned first_failure = 400;
// Logged for a request whose caller left; never sent.
constexpr unsigned status_caller_left = 499;

// When a caller may come back after a refusal whose cause has no end of its own.
constexpr duration usual_retry_after = std::chrono::milliseconds(250);
constexpr duration start_retry_after = std::chrono::milliseconds(500);
// Another daemon takes the next connection at once.
constexpr duration stop_retry_after = std::chrono::milliseconds(20);
constexpr milliseconds default_deadline{30'000};
// Age from which a replaced adapter version is no longer asked for.
constexpr duration version_enforced_after = std::chrono::milliseconds(3'000);

double seconds_of(duration it) {
    return std::chrono::duration<double>(it).count();
}

milliseconds to_ms(duration it) {
    return std::chrono::duration_cast<milliseconds>(it);
}

std::string seconds_text(duration it) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.3f", std::max(0.001, seconds_of(it)));
    return buf;
}

}  // namespace

exchange::exchange(gateway& owner, caller_request request, answer_writer& out)
    : owner_(owner),
      request_(std::move(request)),
      out_(&out),
      configuration_(owner.configuration_),
      number_(++owner.last_number_),
      deadline_timer_(owner.loop_),
      wait_timer_(owner.loop_),
      silence_timer_(owner.loop_) {
    ++owner_.requests_;
    owner_.body_bytes_ += request_.body.size();
}

exchange::~exchange() {
    stop_call();
    --owner_.requests_;
    owner_.body_bytes_ -= request_.body.size();
}

duration exchange::elapsed() const {
    return owner_.time_.now() - request_.received;
}

duration exchange::time_left() const {
    return deadline_ ? *deadline_ - owner_.time_.now() : duration(default_deadline);
}

double exchange::units() const {
    if (!account_->counts_tokens) {
        return 1;
    }
    return facts_.states_tokens ? static_cast<double>(facts_.prompt_tokens) +
                                      static_cast<double>(facts_.most_output_tokens)
                                : account_->plain_tokens;
}

void exchange::start() {
    if (!configuration_) {
        refuse({status_unavailable, "no_configuration", start_retry_after});
        return;
    }
    facts_ = owner_.codec_.read_request(request_.headers);
    if (owner_.refusing_) {
        refuse({status_unavailable, "stopping", stop_retry_after});
        return;
    }
    route_ = configuration_->find_route(find_header(request_.headers, "host"), request_.target);
    if (route_ == nullptr) {
        refuse({status_not_found, "no_route", std::nullopt});
        return;
    }
    if (facts_.id.empty()) {
        refuse({status_bad_request, "no_request_id", std::nullopt});
        return;
    }
    if (!admit()) {
        return;
    }
    milliseconds wait = facts_.deadline.value_or(default_deadline);
    if (route_->timeout.count() > 0) {
        wait = std::min(wait, route_->timeout);
    }
    deadline_ = request_.received + wait;
    if (time_left() < owner_.settings_.least_time_left) {
        refuse({status_unavailable, "no_time_left", usual_retry_after});
        return;
    }
    deadline_timer_.expires_after(time_left());
    deadline_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ != phase::ended) {
            self->on_deadline();
        }
    });
    owner_.budget_of(service_->id).count_request();
    find_endpoint();
}

bool exchange::admit() {
    if (configuration_->needs_keys()) {
        account_ = configuration_->find_account(facts_.key);
        if (account_ == nullptr && !route_->open) {
            refuse({status_unauthorized, "unknown_key", std::nullopt});
            return false;
        }
    }
    const double point =
        static_cast<double>(stable_hash(facts_.id.str()) >> 11) / static_cast<double>(1ULL << 53);
    const service_id* chosen = routing::pick_service(*route_, point);
    service_ = chosen == nullptr ? nullptr : configuration_->find_service(*chosen);
    if (service_ == nullptr) {
        refuse({status_unavailable, "no_service", start_retry_after});
        return false;
    }
    if (owner_.body_bytes_ > owner_.settings_.most_body_bytes) {
        refuse({status_unavailable, "too_many_bodies", usual_retry_after});
        return false;
    }
    if (account_ != nullptr) {
        const auto result = owner_.limiter_.admit(account_->id, units(), owner_.time_.now());
        if (const auto* it = std::get_if<routing::over_limit>(&result)) {
            telemetry::log_event(severity::info, "over_limit",
                                 {{"request", facts_.id},
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
    }
    return true;
}

void exchange::find_endpoint() {
    owner_.work_.finish(number_);
    const routing::choice_request wanted{facts_, *service_, excluded_, no_loads_};
    const auto choice = owner_.chooser_.choose(wanted, owner_.time_.now());
    if (!choice) {
        refuse({status_unavailable, "no_endpoint", usual_retry_after});
        return;
    }
    if (choice->expected > time_left()) {
        refuse({status_unavailable, "would_be_late", usual_retry_after});
        return;
    }
    unread_tokens_ = choice->unread_tokens;
    read_work_ = choice->read_work;
    reserve_work(choice->id);
    telemetry::log_event(severity::info, "request_placed",
                         {{"request", facts_.id},
                          {"endpoint", choice->id},
                          {"adapter", facts_.target.adapter},
                          {"needs_load", choice->needs_load},
                          {"expected_ms", to_ms(choice->expected).count()},
                          {"unread_tokens", choice->unread_tokens},
                          {"refused_loads", no_loads_.size()},
                          {"excluded", excluded_.size()},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    if (choice->needs_load) {
        wait_for_load(*choice);
    } else if (choice->ready_at) {
        wait_until(*choice->ready_at, choice->id);
    } else {
        send_to(choice->id);
    }
}

void exchange::reserve_work(const endpoint_id& id) {
    const std::uint32_t memory =
        facts_.prompt_tokens + facts_.output_estimate.value_or(facts_.most_output_tokens / 2);
    owner_.work_.start(number_, id, read_work_, memory);
    if (read_work_ > owner_.settings_.large_read) {
        owner_.broker_->note_large_work();
    }
}

void exchange::wait_for_load(const routing::endpoint_choice& it) {
    phase_ = phase::asking_for_load;
    endpoint_ = it.id;
    const auto self = shared_from_this();
    owner_.wait_for_load({it.id, facts_.target}, self);
    wait_timer_.expires_after(owner_.settings_.wish_timeout);
    wait_timer_.async_wait([weak = weak_from_this(), id = it.id](const error_code& ec) {
        const auto held = weak.lock();
        if (!ec && held && held->phase_ == phase::asking_for_load) {
            held->on_load_refused(id);
        }
    });
    if (!owner_.broker_->wish(it.id, facts_.target)) {
        on_load_refused(it.id);
    }
}

void exchange::on_load_granted(const endpoint_id& engine, time_point ready_at) {
    const bool waits = phase_ == phase::asking_for_load || phase_ == phase::waiting_for_load;
    if (!waits || engine != endpoint_) {
        return;
    }
    const duration wait = ready_at - owner_.time_.now();
    if (wait > std::min<duration>(owner_.settings_.longest_load_wait, time_left())) {
        no_loads_.insert(engine);
        find_endpoint();
    } else {
        wait_until(ready_at, engine);
    }
}

void exchange::on_load_refused(const endpoint_id& engine) {
    if (phase_ == phase::asking_for_load && engine == endpoint_) {
        wait_timer_.cancel();
        no_loads_.insert(engine);
        find_endpoint();
    }
}

void exchange::wait_until(time_point when, const endpoint_id& id) {
    phase_ = phase::waiting_for_load;
    endpoint_ = id;
    if (wait_began_ == time_point{}) {
        wait_began_ = owner_.time_.now();
    }
    // The time may change when the order is given.
    owner_.wait_for_load({id, facts_.target}, shared_from_this());
    wait_timer_.expires_after(std::max(duration::zero(), when - owner_.time_.now()));
    wait_timer_.async_wait([weak = weak_from_this(), id](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_load) {
            self->on_wait_over(id);
        }
    });
}

void exchange::on_wait_over(const endpoint_id& id) {
    const time_point now = owner_.time_.now();
    const auto view = owner_.adapters_.view(id, facts_.target, now);
    const bool is_late = view.state == routing::adapter_state::loading && view.ready_at <= now;
    if (view.state == routing::adapter_state::loaded) {
        send_to(id);
    } else if (view.state == routing::adapter_state::loading && !is_late) {
        wait_until(view.ready_at, id);
    } else {
        // Its order was not given in time, or it left again.
        if (is_late) {
            owner_.adapters_.on_missing(id, facts_.target, now);
        }
        find_endpoint();
    }
}

void exchange::hedge_if_silent() {
    if (route_->kind != routing::request_kind::idempotent || service_->engine) {
        return;
    }
    silence_timer_.expires_after(owner_.settings_.call_silence);
    silence_timer_.async_wait([weak = weak_from_this(), send = sends_](const error_code& ec) {
        const auto self = weak.lock();
        const bool is_silent = !ec && self && self->phase_ == phase::sent && self->sends_ == send;
        if (is_silent && self->may_run_again() && self->spend_retry()) {
            self->owner_.directory_.on_call(self->endpoint_, routing::call_outcome::failed,
                                            self->owner_.time_.now());
            self->stop_call();
            self->excluded_.insert(self->endpoint_);
            self->find_endpoint();
        }
    });
}

void exchange::send_to(const endpoint_id& id) {
    const routing::endpoint* target = owner_.directory_.find(id);
    if (target == nullptr || target->draining) {
        excluded_.insert(id);
        find_endpoint();
        return;
    }
    phase_ = phase::connecting;
    endpoint_ = id;
    if (wait_began_ != time_point{}) {
        load_wait_ = owner_.time_.now() - wait_began_;
    }
    ++sends_;
    owner_.pool_.acquire(
        id, target->address, [weak = weak_from_this(), id](std::shared_ptr<endpoint_link> it) {
            const auto self = weak.lock();
            const bool wanted = self && self->phase_ == phase::connecting && self->endpoint_ == id;
            if (wanted) {
                self->on_connected(std::move(it));
            } else if (self && it) {
                self->owner_.pool_.release(id, std::move(it));
            }
        });
}

void exchange::on_connected(std::shared_ptr<endpoint_link> connection) {
    const routing::endpoint* target = owner_.directory_.find(endpoint_);
    const bool left = target == nullptr || target->draining;
    if (!connection || left) {
        owner_.work_.finish(number_);
        if (!connection) {
            owner_.directory_.on_call(endpoint_, routing::call_outcome::unreachable,
                                      owner_.time_.now());
        }
        try_elsewhere();
        return;
    }
    if (time_left() < owner_.settings_.least_time_left) {
        owner_.pool_.release(endpoint_, std::move(connection));
        on_deadline();
        return;
    }
    phase_ = phase::sent;
    rejected_ = false;
    discard_answer_ = false;
    ++runs_;
    sent_at_ = owner_.time_.now();
    connection_ = std::move(connection);
    if (service_->engine) {
        owner_.prompts_.on_read(endpoint_, facts_, sent_at_);
        if (!facts_.target.adapter.empty()) {
            used_at_ = endpoint_;
            owner_.broker_->note_use(endpoint_, facts_.target);
        }
    }
    call_request call;
    call.bytes = request_bytes();
    call.is_head = request_.method == "HEAD";
    call.id_header = std::string(owner_.codec_.id_header());
    call.id = facts_.id.str();
    const auto self = shared_from_this();
    const auto held = connection_;
    hedge_if_silent();
    held->call(std::move(call), *this);
}

std::string exchange::request_bytes() const {
    std::string out = request_.method + " " + request_.target + " HTTP/1.1\r\n";
    for (const header& it : end_to_end_headers(request_.headers)) {
        const bool is_expect = same_name(it.name, "expect");
        if (!is_expect && owner_.codec_.is_forwarded(it.name)) {
            append_header(out, it.name, it.value);
        }
    }
    endpoint_statement said;
    said.expected = endpoint_;
    if (account_ != nullptr) {
        said.account = account_->id;
    }
    said.time_left = std::max(milliseconds(1), to_ms(time_left()));
    if (service_->engine) {
        said.priority =
            account_ != nullptr && account_->priority ? *account_->priority : route_->priority;
        const std::uint64_t newest = owner_.adapters_.newest_version(facts_.target);
        const duration age = owner_.time_.now() - owner_.adapters_.announced_at(facts_.target);
        if (newest != 0 && age > version_enforced_after) {
            said.adapter_version = newest;
        }
    }
    said.last_event = facts_.last_event;
    if (events_ && !events_->last_id().empty()) {
        said.last_event = events_->last_id();
    }
    owner_.codec_.append_statement(said, out);
    const bool has_body = !request_.body.empty() || request_.method == "POST" ||
                          request_.method == "PUT" || request_.method == "PATCH";
    if (has_body) {
        append_header(out, "Content-Length", std::to_string(request_.body.size()));
    }
    out += "\r\n";
    out += request_.body;
    return out;
}

void exchange::on_head(const answer_head& head) {
    const auto self = shared_from_this();
    const answer_facts said = owner_.codec_.read_answer(head.status, head.headers);
    if (said.not_run) {
        rejected_ = true;
        discard_answer_ = true;
        status_ = head.status;
        --runs_;
        owner_.directory_.on_call(endpoint_, routing::call_outcome::answered, owner_.time_.now());
        on_rejected(head);
        return;
    }
    const bool is_success = head.status / 100 == 2;
    const bool foreign =
        is_success && (!said.is_signed || !find_header(head.headers, "content-encoding").empty());
    if (foreign) {
        stop_call();
        owner_.directory_.on_call(endpoint_, routing::call_outcome::failed, owner_.time_.now());
        on_failure(call_failure::malformed);
        return;
    }
    const bool failed = head.status >= 500;
    owner_.directory_.on_call(
        endpoint_, failed ? routing::call_outcome::failed : routing::call_outcome::answered,
        owner_.time_.now());
    if (head_sent_) {
        // A resumed stream keeps the head of its first endpoint.
        if (!is_success) {
            cut("resume_failed");
            return;
        }
        phase_ = phase::relaying;
        return;
    }
    if (failed && may_run_again() && spend_retry()) {
        excluded_.insert(endpoint_);
        discard_answer_ = true;
        status_ = head.status;
        return;
    }
    relay_head(head);
}

void exchange::relay_head(const answer_head& head) {
    phase_ = phase::relaying;
    head_sent_ = true;
    status_ = head.status;
    caller_answer out;
    out.status = head.status;
    out.reason = head.reason;
    out.headers = end_to_end_headers(head.headers);
    out.length = head.length;
    if (route_->resumable && head.status / 100 == 2) {
        events_.emplace();
        // A resumed stream has another length than its first endpoint stated.
        out.length.reset();
    }
    out_->send_head(out);
}

void exchange::on_rejected(const answer_head& head) {
    telemetry::log_event(severity::info, "request_not_run",
                         {{"request", facts_.id},
                          {"endpoint", endpoint_},
                          {"status", head.status},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    if (head.status == status_misdirected) {
        const routing::endpoint* known = owner_.directory_.find(endpoint_);
        if (!facts_.target.adapter.empty() && known != nullptr) {
            owner_.adapters_.on_missing(endpoint_, facts_.target, owner_.time_.now());
            owner_.broker_->note_missing(endpoint_, facts_.target);
        } else {
            excluded_.insert(endpoint_);
        }
    }
}

void exchange::on_body(std::string_view bytes) {
    if (discard_answer_ || phase_ != phase::relaying) {
        return;
    }
    const auto self = shared_from_this();
    if (first_body_) {
        first_body_ = false;
        first_event_ = elapsed();
        owner_.work_.on_prompt_read(number_);
    }
    relayed_ += bytes.size();
    if (events_) {
        const std::string ready = events_->take(bytes);
        if (!ready.empty()) {
            out_->send_body(ready);
        }
    } else {
        out_->send_body(bytes);
    }
    if (connection_ && out_ != nullptr && out_->unsent() > owner_.settings_.most_unsent) {
        connection_->set_paused(true);
    }
}

void exchange::on_caller_ready() {
    if (connection_) {
        const auto held = connection_;
        held->set_paused(false);
    }
}

void exchange::on_done() {
    const auto self = shared_from_this();
    note_call_ended();
    owner_.pool_.release(endpoint_, std::move(connection_));
    connection_.reset();
    if (rejected_) {
        retry("rejected");
        return;
    }
    if (discard_answer_) {
        find_endpoint();
        return;
    }
    if (events_ && !events_->rest().empty()) {
        out_->send_body(events_->rest());
    }
    finish(status_, "answered");
    if (out_ != nullptr) {
        answer_writer* out = out_;
        out_ = nullptr;
        out->send_end();
    }
}

void exchange::on_failure(call_failure why) {
    const auto self = shared_from_this();
    note_call_ended();
    connection_.reset();
    const std::string_view reason =
        why == call_failure::malformed ? "malformed_answer" : "connection_broken";
    telemetry::log_event(severity::warning, "call_failed",
                         {{"request", facts_.id},
                          {"endpoint", endpoint_},
                          {"reason", reason},
                          {"sent", why != call_failure::not_sent},
                          {"relayed_bytes", relayed_},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    if (rejected_) {
        retry("rejected");
        return;
    }
    if (discard_answer_) {
        find_endpoint();
        return;
    }
    owner_.directory_.on_call(endpoint_,
                              why == call_failure::malformed ? routing::call_outcome::failed
                                                             : routing::call_outcome::unreachable,
                              owner_.time_.now());
    if (why == call_failure::not_sent) {
        --runs_;
        try_elsewhere();
        return;
    }
    if (head_sent_ && !events_) {
        cut(reason);
        return;
    }
    if (events_) {
        events_->drop_rest();
    }
    excluded_.insert(endpoint_);
    if (may_run_again() && spend_retry()) {
        find_endpoint();
        return;
    }
    if (head_sent_) {
        cut(reason);
    } else {
        refuse({status_bad_gateway, reason, std::nullopt});
    }
}

void exchange::try_elsewhere() {
    excluded_.insert(endpoint_);
    if (sends_ < owner_.settings_.most_sends) {
        find_endpoint();
    } else {
        refuse({status_unavailable, "endpoints_unreachable", usual_retry_after});
    }
}

bool exchange::may_run_again() const {
    return route_->repeatable() && runs_ < std::max(1U, route_->max_attempts) &&
           sends_ < owner_.settings_.most_sends && time_left() > owner_.settings_.least_time_left;
}

bool exchange::spend_retry() {
    return owner_.budget_of(service_->id).try_spend(facts_.id, sends_).has_value();
}

void exchange::retry(std::string_view why) {
    if (status_ == status_unavailable || facts_.target.adapter.empty()) {
        excluded_.insert(endpoint_);
    }
    const bool allowed = sends_ < owner_.settings_.most_sends && spend_retry();
    if (allowed) {
        find_endpoint();
    } else if (head_sent_) {
        cut(why);
    } else {
        refuse({status_unavailable, why, usual_retry_after});
    }
}

void exchange::note_call_ended() {
    owner_.work_.finish(number_);
    if (!used_at_.empty()) {
        owner_.broker_->note_end(used_at_, facts_.target);
        used_at_ = endpoint_id();
    }
}

void exchange::stop_call() {
    note_call_ended();
    if (connection_) {
        connection_->cancel();
        connection_.reset();
    }
}

void exchange::on_deadline() {
    const auto self = shared_from_this();
    const bool was_sent = may_have_run();
    stop_call();
    if (head_sent_) {
        cut("deadline");
    } else if (was_sent) {
        refuse({status_gateway_timeout, "deadline", std::nullopt});
    } else {
        refuse({status_unavailable, "deadline_before_sending", usual_retry_after});
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
        // "Unavailable" promises that the request has not run.
        it = {status_bad_gateway, wanted.reason, std::nullopt};
    }
    if (phase_ == phase::ended || out_ == nullptr) {
        return;
    }
    if (head_sent_) {
        cut(it.reason);
        return;
    }
    refund();
    finish(it.status, it.reason);
    caller_answer head;
    head.status = it.status;
    head.headers.push_back({"Content-Type", "application/json"});
    if (!facts_.id.empty()) {
        head.headers.push_back({std::string(owner_.codec_.id_header()), facts_.id.str()});
    }
    if (it.retry_after) {
        head.headers.push_back({"Retry-After", seconds_text(*it.retry_after)});
    }
    const std::string body = "{\"error\":\"" + std::string(it.reason) + "\"}";
    head.length = body.size();
    answer_writer* out = out_;
    out_ = nullptr;
    out->send_head(head);
    out->send_body(body);
    out->send_end();
}

void exchange::cut(std::string_view why) {
    const auto self = shared_from_this();
    if (phase_ == phase::ended || out_ == nullptr) {
        return;
    }
    stop_call();
    finish(status_, why);
    answer_writer* out = out_;
    out_ = nullptr;
    out->cut();
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
    phase_ = phase::ended;
    note_call_ended();
    deadline_timer_.cancel();
    wait_timer_.cancel();
    silence_timer_.cancel();
    const std::string_view account =
        account_ == nullptr ? std::string_view("-") : std::string_view(account_->id.str());
    const std::string_view route =
        route_ == nullptr ? std::string_view("-") : std::string_view(route_->name);
    owner_.answers_.with({account, route, std::to_string(status)}).add();
    owner_.latencies_.with({account, route}).record(elapsed());
    // Refusals and failures have a bound of their own, so that successes do not crowd them out.
    telemetry::log_event(
        status < first_failure ? severity::info : severity::warning, "request_finished",
        {{"request", facts_.id},
         {"status", status},
         {"reason", reason},
         {"account", account},
         {"route", route},
         {"service",
          service_ == nullptr ? std::string_view("-") : std::string_view(service_->id.str())},
         {"endpoint", endpoint_},
         {"adapter", facts_.target.adapter},
         {"units", account_ == nullptr ? 0 : static_cast<std::uint64_t>(units())},
         {"configuration", configuration_ ? configuration_->version() : 0},
         {"sends", sends_},
         {"load_wait_ms", to_ms(load_wait_).count()},
         {"sent_after_ms",
          sent_at_ == time_point{} ? -1 : to_ms(sent_at_ - request_.received).count()},
         {"first_byte_ms", to_ms(first_event_).count()},
         {"unread_tokens", unread_tokens_},
         {"elapsed_ms", to_ms(elapsed()).count()},
         {"left_ms", deadline_ ? to_ms(time_left()).count() : -1}});
}

}  // namespace radishpulley::gateway
