#include "daemon/request_session.h"

#include <utility>

#include "base/overloaded.h"
#include "daemon/engine_protocol.h"
#include "details/endpoint_events.h"
#include "details/responses.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

namespace decisions = requests::decisions;
namespace events = requests::events;
using detail::head_event;
using detail::refusal_event;
using detail::stale_refusal;
using requests::error_code;
using requests::run_state;
using telemetry::log_event;
using telemetry::request_stage;
using telemetry::severity;

constexpr const char* open_account = "open";
constexpr duration backlog_interval = std::chrono::milliseconds(20);
// A stream without a byte for this long is taken for lost, however healthy its connection looks.
constexpr duration stream_silence_limit = std::chrono::seconds(10);
constexpr duration silence_check_interval = std::chrono::seconds(1);
constexpr duration no_endpoint_retry = std::chrono::seconds(1);
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

requests::request_terms request_session::terms_for(const request_id& id, const caller_call& call,
                                                   time_point deadline) {
    requests::request_terms terms;
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

void request_session::carry_out(const decisions::ask_authentication&) {
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

void request_session::carry_out(const decisions::ask_admission&) {
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

void request_session::carry_out(const decisions::return_admission&) {
    if (admission_) {
        services_.quota.cancel(*admission_);
        admission_.reset();
    }
}

void request_session::carry_out(const decisions::ask_record&) {
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
        handle(events::record_answered{known->status, known->content_type, known->body});
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

void request_session::carry_out(const decisions::ask_routing& it) {
    if (it.resume_at && holds_place_) {
        // The suspended attempt still counts as a use of the adapter there.
        queue(events::endpoint_chosen{*it.resume_at, true});
        return;
    }
    routed_at_ = services_.time.now();
    services_.retries.count_request(service());
    if (is_model()) {
        route_model(it);
    } else {
        route_application(it);
    }
}

void request_session::route_model(const decisions::ask_routing&) {
    placement::placement_request request;
    request.id = id_;
    request.account = running_.account;
    const auto view = services_.fleet.view();
    if (const auto* account = view->value().find_account(running_.account)) {
        request.weight = account->weight;
    }
    request.adapter = as_model().adapter;
    request.prefix = as_model().prefix;
    request.deadline = deadline_;
    holds_place_ = true;
    const auto weak = weak_from_this();
    services_.placement.place(as_model().service, request,
                              [weak](const placement_outcome& outcome) {
                                  if (const auto self = weak.lock()) {
                                      self->on_placement(outcome);
                                  }
                              });
}

void request_session::on_placement(const placement_outcome& it) {
    if (const auto* refusal = std::get_if<placement::refuse_request>(&it)) {
        events::refused event{error_code::no_endpoint, "no engine can take the request now",
                              refusal->retry_after};
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            holds_place_ = false;
        }
        handle(event);
        return;
    }
    const auto& place = std::get<placement::send_request>(it);
    // The request may have waited for long, and its key may have been withdrawn meanwhile.
    if (!is_open() && std::holds_alternative<keys::refuse_keyed>(services_.fleet.serving())) {
        services_.placement.ended(id_);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            holds_place_ = false;
        }
        handle(stale_refusal());
        return;
    }
    const auto address = services_.applications.address_of(place.endpoint);
    if (!address || services_.time.now() > place.send_by) {
        services_.placement.not_sent(id_);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        place_ = place;
        endpoint_ = place.endpoint;
        endpoint_address_ = *address;
        services_.metrics.times(request_stage::load_stall, running_.account, "model")
            .record(services_.time.now() - routed_at_);
    }
    handle(events::endpoint_chosen{place.endpoint, true});
}

void request_session::route_application(const decisions::ask_routing& it) {
    const auto chosen =
        services_.applications.choose(as_application().service, it.avoid, services_.time.now());
    if (!chosen) {
        queue(events::refused{error_code::no_endpoint, "no endpoint takes new requests now",
                              no_endpoint_retry});
        return;
    }
    holds_place_ = true;
    endpoint_ = chosen->id;
    endpoint_address_ = chosen->address;
    queue(events::endpoint_chosen{chosen->id, false});
}

void request_session::release_place() {
    if (!std::exchange(holds_place_, false)) {
        return;
    }
    place_.reset();
    if (is_model()) {
        services_.placement.ended(id_);
    } else {
        services_.applications.ended(endpoint_);
    }
}

void request_session::lose_adapter(requests::attempt_number attempt) {
    endpoint_id endpoint;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        endpoint = endpoint_;
        adapter_was_missing_ = true;
    }
    // The engine refused the adapter as not loaded, as one that restarted empty does.
    services_.placement.adapter_missing(endpoint, as_model().adapter);
    handle(events::attempt_failed{attempt, false});
}

void request_session::carry_out(const decisions::return_choice&) {
    if (open_attempts_.empty()) {
        release_place();
    }
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

void request_session::carry_out(const decisions::ask_retry& it) {
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
    if (pending > services_.limits.backlog_high && !watching_backlog_) {
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

void request_session::carry_out(const decisions::answer_error& it) {
    error_code_ = std::string(requests::name_of(it.error.code));
    services_.metrics.count_refusal(running_.account, error_code_, requests::name_of(it.error.run));
    answer_->send(detail::error_response(it.error));
}

void request_session::carry_out(const decisions::end_with_error_event& it) {
    error_code_ = std::string(requests::name_of(it.error.code));
    answer_->write(requests::to_stream_event(it.error));
    answer_->finish();
}

void request_session::carry_out(const decisions::break_answer& it) {
    error_code_ = std::string(requests::name_of(it.error.code));
    answer_->abort();
}

void request_session::carry_out(const decisions::end_answer&) {
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
