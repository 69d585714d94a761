#include "daemon/request_session.h"

#include <utility>

#include "daemon/engine_protocol.h"
#include "details/endpoint_events.h"
#include "details/responses.h"

namespace radishpulley::daemon {
namespace {

namespace decisions = requests::decisions;
namespace events = requests::events;
using detail::head_event;
using detail::refusal_event;
using detail::stale_refusal;
using requests::error_code;
constexpr const char* open_account = "open";
constexpr int status_not_found = 404;

}  // namespace

// Turns what the HTTP client reports of one attempt into events.
class request_session::endpoint_observer final : public http::stream_observer {
public:
    endpoint_observer(std::weak_ptr<request_session> session, requests::attempt_number attempt)
        : session_(std::move(session)), attempt_(attempt) {}

    void on_head(const http::response& head) override {
        const auto session = session_.lock();
        if (session && session->is_model() && head.status == status_not_found) {
            session->lose_adapter(attempt_);
            return;
        }
        const events::response_head event = head_event(attempt_, head);
        tell(event);
        if (session && event.framing == requests::body_framing::server_sent_events) {
            session->watch_silence(attempt_);
        }
    }

    void on_body(std::string_view bytes, std::function<void()> proceed) override {
        const auto session = session_.lock();
        if (!session) {
            return;
        }
        session->handle(events::chunk{attempt_, sequence_++, std::string(bytes)});
        {
            const std::lock_guard<std::mutex> lock(session->mutex_);
            session->last_byte_ = session->services_.time.now();
            if (session->paused_ && session->observer_.get() == this) {
                session->proceed_ = std::move(proceed);
                return;
            }
        }
        proceed();
    }

    void on_end() override { tell(events::response_end{attempt_, true}); }

    void on_failure(const http::call_failure& failure) override {
        if (sequence_ > 0) {
            tell(events::response_end{attempt_, false});
            return;
        }
        const bool not_connected = failure.stage == http::failure_stage::not_connected;
        tell(events::attempt_failed{attempt_, false, not_connected});
    }

private:
    void tell(const requests::event& it) {
        if (const auto session = session_.lock()) {
            session->handle(it);
        }
    }

    std::weak_ptr<request_session> session_;
    const requests::attempt_number attempt_;
    std::uint64_t sequence_ = 0;
};

requests::request_parameters request_session::terms_for(const request_id& id,
                                                        const caller_call& call,
                                                        time_point deadline) {
    requests::request_parameters terms;
    terms.id = id;
    terms.deadline = deadline;
    if (const auto* it = std::get_if<model_call>(&call)) {
        terms.adapter_version = model::version_name(it->adapter.adapter, it->adapter.version);
    }
    if (const auto* it = std::get_if<application_call>(&call)) {
        terms.repeat = it->repeat;
    }
    return terms;
}

request_session::request_session(services& with, request_id id, http::request from,
                                 caller_call call, std::shared_ptr<http::responder> answer)
    : services_(with),
      id_(std::move(id)),
      from_(std::move(from)),
      call_(std::move(call)),
      answer_(std::move(answer)),
      arrived_(with.time.now()),
      deadline_(arrived_ + with.request_timeout),
      machine_(terms_for(id_, call_, deadline_), with.limits) {
    running_.request = id_;
}

void request_session::start() {
    const auto weak = weak_from_this();
    answer_->on_done([weak](bool sent) {
        const auto self = weak.lock();
        if (self && !sent) {
            self->handle(events::caller_left{});
        }
    });
    services_.sessions.add(shared_from_this());
    handle(events::validated{});
}

void request_session::handle(const requests::event& it) {
    const auto self = shared_from_this();
    const std::lock_guard<std::mutex> lock(mutex_);
    queue(it);
    drain_events();
}

void request_session::drain_events() {
    if (draining_) {
        return;
    }
    draining_ = true;
    while (!events_.empty()) {
        const requests::event it = std::move(events_.front());
        events_.pop_front();
        for (const requests::decision& decision : machine_.handle(it, services_.time.now())) {
            std::visit([this](const auto& body) { carry_out(body); }, decision);
        }
    }
    draining_ = false;
}

keys::running_request request_session::running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return running_;
}

const http::request& request_session::outgoing() const {
    return is_model() ? as_model().to_endpoint : as_application().to_endpoint;
}

const service_id& request_session::service() const {
    return is_model() ? as_model().service : as_application().service;
}

bool request_session::is_open() const {
    return is_model() ? as_model().open : as_application().open;
}

void request_session::carry_out(const decisions::authenticate_caller&) {
    authenticate();
}

void request_session::authenticate() {
    if (is_open()) {
        running_.account = client_account_id(open_account);
        queue(events::authenticated{});
        return;
    }
    const keys::serving_decision serving = services_.fleet.serving();
    if (std::holds_alternative<keys::refuse_keyed>(serving)) {
        queue(stale_refusal());
        return;
    }
    const auto view = services_.fleet.view();
    const auto result = view->keys.authenticate(bearer_token(from_).value_or(""));
    const auto* who = std::get_if<keys::authenticated>(&result);
    if (who == nullptr) {
        queue(events::refused{error_code::unauthenticated,
                              "the Authorization header holds no valid key", std::nullopt});
        return;
    }
    running_.key = who->key;
    running_.account = who->account;
    if (const model::key* key = view->value().find_key(who->key)) {
        running_.digest = key->digest;
    }
    if (is_model()) {
        const model::adapter* adapter = view->value().find_adapter(as_model().adapter.adapter);
        if (adapter == nullptr || !may_use(*adapter, who->account)) {
            // The same answer as for an unknown adapter, so that names of others are not told.
            queue(
                events::refused{error_code::not_found, "this model does not exist", std::nullopt});
            return;
        }
    }
    queue(events::authenticated{});
}

void request_session::carry_out(const decisions::admit_request&) {
    const double tokens = is_model() ? as_model().prompt_tokens + as_model().max_tokens : 0;
    if (is_open() || !is_model()) {
        queue(events::admitted{});
        return;
    }
    const auto weak = weak_from_this();
    admission_ = services_.quota.admit(running_.account, tokens,
                                       [weak](const quota::admission_decision& it) {
                                           if (const auto self = weak.lock()) {
                                               self->on_admission(it);
                                           }
                                       });
    queue(events::queued{});
}

void request_session::on_admission(const quota::admission_decision& it) {
    if (std::holds_alternative<quota::admitted>(it)) {
        handle(events::admitted{});
        return;
    }
    const auto& refusal = std::get<quota::refused>(it);
    const bool never = refusal.reason == quota::refusal_reason::larger_than_burst;
    events::refused event;
    event.code = never ? error_code::too_large : error_code::rate_limited;
    event.message = never ? "the request is larger than the client account's burst"
                          : "the client account is over its rate";
    if (refusal.reason == quota::refusal_reason::slots_unreachable) {
        event.message = "the client account's remaining rate cannot be learned now";
    }
    if (refusal.retry_after > duration(0) && refusal.retry_after != duration::max()) {
        event.retry_after = refusal.retry_after;
    }
    handle(event);
}

void request_session::carry_out(const decisions::release_admission&) {
    if (admission_) {
        services_.quota.cancel(*admission_);
        admission_.reset();
    }
}

void request_session::carry_out(const decisions::create_record&) {
    services_.workers.post([self = shared_from_this()] { self->begin_record(); });
}

void request_session::begin_record() {
    const time_point now = services_.time.now();
    const auto epoch = services_.epochs.current(now);
    if (!epoch) {
        handle(refusal_event(idempotency::refusal::unavailable));
        return;
    }
    idempotency::keyed_call call;
    call.account = running().account;
    call.key = as_application().idempotency_key;
    call.fingerprint = idempotency::fingerprint_of(from_.method, from_.target, from_.body);
    call.request = id_;
    const idempotency::begin_result result = services_.records.begin(call, *epoch, now);
    if (const auto* permit = std::get_if<idempotency::run_permit>(&result)) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            permit_ = *permit;
        }
        handle(events::record_created{});
        return;
    }
    if (const auto* known = std::get_if<idempotency::outcome>(&result)) {
        if (!known->body_kept) {
            handle(refusal_event(idempotency::refusal::outcome_not_kept));
            return;
        }
        handle(events::record_found{known->status, known->content_type, known->body});
        return;
    }
    handle(refusal_event(std::get<idempotency::refusal>(result)));
}

void request_session::carry_out(const decisions::release_record&) {
    if (!permit_) {
        return;
    }
    services_.workers.post(
        [&with = services_, permit = *permit_] { with.records.release(permit, with.time.now()); });
    permit_.reset();
}

void request_session::carry_out(const decisions::store_outcome& it) {
    if (!permit_) {
        return;
    }
    const idempotency::outcome result{it.status, it.content_type, it.body, it.body_kept};
    services_.workers.post([&with = services_, permit = *permit_, result] {
        with.records.finish(permit, result, with.time.now());
    });
    permit_.reset();
}

void request_session::carry_out(const decisions::open_connection& it) {
    open_attempts_.insert(it.attempt);
    // The client opens the connection when it sends, so the machine counts the request as sent a
    // little early, which never makes "not run" false.
    queue(events::connected{it.attempt});
}

void request_session::carry_out(const decisions::send_request& it) {
    const bool is_resumed = it.resume_from > 0;
    const bool is_late = place_ && !is_resumed && services_.time.now() > place_->send_by;
    const bool has_left = !is_resumed && !services_.applications.may_start(endpoint_);
    if (is_late || has_left) {
        queue(events::not_sent{it.attempt});
        return;
    }
    http::request out = outgoing();
    out.headers[std::string(request_id_header)] = id_.str();
    if (is_resumed) {
        out.headers[std::string(resume_header)] = std::to_string(it.resume_from);
    }
    // A stream that is resumed gets a fresh connection: the kept ones may be lost as well.
    const bool may_reuse = is_model() && !is_resumed;
    const auto reuse =
        may_reuse ? http::connection_reuse::keep : http::connection_reuse::one_per_call;
    sent_attempt_ = it.attempt;
    observer_ = std::make_shared<endpoint_observer>(weak_from_this(), it.attempt);
    paused_ = false;
    running_call_ =
        services_.applications.client_for(endpoint_address_, reuse)->start(out, observer_);
}

void request_session::close_call() {
    if (running_call_) {
        running_call_->cancel();
        running_call_.reset();
    }
    if (proceed_) {
        // The reader learns of the cancellation when it goes on.
        services_.workers.post(std::exchange(proceed_, nullptr));
    }
    observer_.reset();
}

void request_session::end_attempt(requests::attempt_number attempt) {
    open_attempts_.erase(attempt);
    if (open_attempts_.empty()) {
        release_place();
    }
}

void request_session::carry_out(const decisions::cancel_attempt& it) {
    if (it.attempt == sent_attempt_) {
        close_call();
    }
    end_attempt(it.attempt);
}

void request_session::carry_out(const decisions::suspend_attempt&) {
    close_call();
}

void request_session::carry_out(const decisions::release_attempt& it) {
    if (it.attempt == sent_attempt_) {
        running_call_.reset();
        observer_.reset();
    }
    end_attempt(it.attempt);
}

void request_session::carry_out(const decisions::acquire_retry& it) {
    // An engine that lacks an adapter is well.
    const bool is_well = std::exchange(adapter_was_missing_, false);
    if (!is_well && is_model()) {
        services_.placement.endpoint_failed(endpoint_);
    } else if (!is_well) {
        services_.applications.failed(endpoint_, services_.time.now());
    }
    const auto delay = services_.retries.try_spend(service(), id_, it.failed_attempt);
    if (delay) {
        queue(events::retry_granted{*delay});
    } else {
        queue(events::retry_denied{});
    }
}

void request_session::carry_out(const decisions::wake_at& it) {
    const auto weak = weak_from_this();
    services_.workers.post_after(it.when - services_.time.now(), [weak] {
        if (const auto self = weak.lock()) {
            self->handle(events::tick{});
        }
    });
}

}  // namespace radishpulley::daemon
