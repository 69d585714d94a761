// Choosing an endpoint, waiting for the adapter and sending the request.
#include <algorithm>

#include "base/overloaded.h"
#include "exchange.h"
#include "exchange_constants.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using routing::milliseconds;
using telemetry::severity;

}  // namespace

void exchange::find_endpoint() {
    owner_.work_.finish(number_);
    if (should_pass_on() && pass_on()) {
        return;
    }
    auto choice = choose_endpoint();
    if (!choice && !accepts_long_wait_) {
        choice = soonest_refused_load();
        accepts_long_wait_ = choice.has_value();
    }
    if (!choice && unreachable_endpoints_ > 0 && pass_on()) {
        return;
    }
    if (!choice) {
        refuse_without_endpoint();
        return;
    }
    if (choice->expected > first_event_time_left()) {
        const duration backlog = choice->expected - load_wait_limit();
        refuse({status_unavailable, "would_be_late", std::max(default_retry_after, backlog)});
        return;
    }
    unread_tokens_ = choice->unread_tokens;
    prefill_work_ = choice->prefill_work;
    reserve_work(choice->id);
    telemetry::log_event(severity::info, "request_placed",
                         {{"request", attributes_.id},
                          {"endpoint", choice->id},
                          {"software", owner_.software_version_of(choice->id)},
                          {"resumes_after", attributes_.last_event.value_or("")},
                          {"resumes", attributes_.resumed_request},
                          {"adapter", attributes_.target.adapter},
                          {"needs_load", choice->needs_load},
                          {"expected_ms", to_ms(choice->expected).count()},
                          {"unread_tokens", choice->unread_tokens},
                          {"rate_limit", owner_.limits_.rate(choice->id).value_or(-1)},
                          {"refused_loads", load_refused_by_.size()},
                          {"excluded", excluded_.size()},
                          {"unread_ms", to_ms(unread_).count()},
                          {"elapsed_ms", to_ms(elapsed()).count()}});
    if (choice->needs_load) {
        wait_for_load(*choice);
    } else if (choice->ready_at) {
        wait_until(*choice->ready_at, choice->id);
    } else {
        send_to(choice->id);
    }
}

routing::allowed_regions exchange::allowed_regions() const {
    const routing::route* route = route_;
    const routing::client_account* account = account_;
    const auto& newest = owner_.configuration_;
    if (newest != configuration_) {
        const auto* same_route =
            newest->find_route(find_header(request_.headers, "host"), request_.target);
        route = same_route == nullptr ? route : same_route;
        const auto* same_account = account == nullptr ? nullptr : newest->find_account(account->id);
        account = same_account == nullptr ? account : same_account;
    }
    return account == nullptr ? route->regions : intersection(route->regions, account->regions);
}

routing::zone_filter exchange::zones() const {
    return {allowed_regions(), owner_.settings_.location, owner_.evacuations_};
}

routing::endpoint_filter exchange::permitted() const {
    return {zones(), began_at_};
}

void exchange::on_zones_changed() {
    const bool waits = phase_ == phase::asking_for_load || phase_ == phase::waiting_for_load;
    const routing::endpoint* target = waits ? owner_.directory_.find(endpoint_) : nullptr;
    if (target == nullptr || zones().permits(target->zone)) {
        return;
    }
    telemetry::log_event(severity::info, "request_moved",
                         {{"request", attributes_.id},
                          {"endpoint", endpoint_},
                          {"zone", target->zone},
                          {"regions", allowed_regions().to_text()},
                          {"configuration_age_ms", to_ms(owner_.configuration_age_()).count()}});
    wait_timer_.cancel();
    find_endpoint();
}

std::optional<routing::endpoint_choice> exchange::choose_endpoint() const {
    const bool may_load = load_refusals_ < owner_.settings_.max_load_refusals;
    const routing::choice_request wanted{attributes_,      *service_, excluded_,
                                         load_refused_by_, may_load,  owner_.fleet_loads(),
                                         permitted()};
    return owner_.chooser_.choose(wanted, owner_.time_.now());
}

std::optional<routing::endpoint_choice> exchange::soonest_refused_load() const {
    const time_point now = owner_.time_.now();
    const time_point latest = now + load_wait_limit();
    const routing::endpoint_filter filter = permitted();
    std::optional<routing::endpoint_choice> best;
    for (const auto& [id, ready_at] : possible_loads_) {
        const routing::endpoint* known = owner_.directory_.find(id);
        const bool is_usable = known != nullptr && !known->draining && excluded_.count(id) == 0 &&
                               filter.permits(*known);
        const duration wait = std::max(duration::zero(), ready_at - now);
        if (is_usable && ready_at <= latest && (!best || wait < best->expected)) {
            best.emplace();
            best->id = id;
            best->needs_load = true;
            best->expected = wait;
            best->unread_tokens = attributes_.prompt_tokens;
            best->prefill_work = attributes_.prompt_tokens;
        }
    }
    return best;
}

void exchange::refuse_without_endpoint() {
    const routing::zone_filter permitted = zones();
    if (permitted.regions().allows_none()) {
        refuse({status_unavailable, "no_allowed_region", operator_retry_after});
        return;
    }
    if (owner_.are_all_evacuated(service_->id, permitted)) {
        refuse({status_unavailable, "zones_evacuated", operator_retry_after});
        return;
    }
    if (const auto wait = owner_.wait_for_any(service_->id, permitted)) {
        refuse({status_unavailable, "endpoints_busy", std::max(*wait, default_retry_after)});
        return;
    }
    refuse({status_unavailable, "no_endpoint", std::max(default_retry_after, load_backlog())});
}

duration exchange::load_backlog() const {
    if (possible_loads_.empty()) {
        return duration::zero();
    }
    const auto soonest =
        std::min_element(possible_loads_.begin(), possible_loads_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return soonest->second - (owner_.time_.now() + load_wait_limit());
}

void exchange::reserve_work(const endpoint_id& id) {
    const std::uint32_t memory = attributes_.prompt_tokens + attributes_.output_estimate.value_or(
                                                                 attributes_.max_output_tokens / 2);
    owner_.work_.start(number_, id, prefill_work_, memory);
    if (prefill_work_ > owner_.settings_.large_prefill_tokens) {
        owner_.broker_->note_large_prefill();
    }
}

void exchange::wait_for_load(const routing::endpoint_choice& it) {
    phase_ = phase::asking_for_load;
    endpoint_ = it.id;
    const auto self = shared_from_this();
    owner_.wait_for_load({it.id, attributes_.target}, self);
    wait_timer_.expires_after(owner_.settings_.load_request_timeout);
    wait_timer_.async_wait([weak = weak_from_this(), id = it.id](const error_code& ec) {
        const auto waiter = weak.lock();
        if (!ec && waiter && waiter->phase_ == phase::asking_for_load) {
            waiter->owner_.broker_->note_load_unanswered(id);
            waiter->skip_unloadable_engines();
        }
    });
    const duration max_wait = accepts_long_wait_ ? load_wait_limit() : prompt_load_limit();
    const auto result = owner_.broker_->request_load(it.id, attributes_.target, max_wait);
    if (const auto* refused = std::get_if<load_not_possible>(&result)) {
        if (refused->ready_in || owner_.broker_->can_request_load(it.id)) {
            on_load_refused(it.id, refused->ready_in);
        } else {
            skip_unloadable_engines();
        }
    }
}

void exchange::skip_unloadable_engines() {
    wait_timer_.cancel();
    load_refused_by_.insert(endpoint_);
    for (const routing::endpoint* it : owner_.directory_.usable(service_->id)) {
        if (!owner_.broker_->can_request_load(it->id)) {
            load_refused_by_.insert(it->id);
        }
    }
    find_endpoint();
}

duration exchange::load_wait_limit() const {
    return std::chrono::duration_cast<duration>(first_event_time_left() *
                                                owner_.settings_.max_load_wait_share);
}

duration exchange::prompt_load_limit() const {
    const duration load_time = owner_.load_times_.fetched.expected(owner_.fleet_loads() + 1);
    const auto limit =
        std::chrono::duration_cast<duration>(load_time * owner_.settings_.prompt_load_limit);
    return std::min(limit, load_wait_limit());
}

void exchange::on_load_granted(const endpoint_id& engine, time_point ready_at) {
    const bool waits = phase_ == phase::asking_for_load || phase_ == phase::waiting_for_load;
    if (!waits || engine != endpoint_) {
        return;
    }
    if (ready_at - owner_.time_.now() > load_wait_limit()) {
        note_refused_load(engine, std::nullopt);
        find_endpoint();
    } else {
        wait_until(ready_at, engine);
    }
}

void exchange::on_load_refused(const endpoint_id& engine, std::optional<duration> ready_in) {
    if (phase_ == phase::asking_for_load && engine == endpoint_) {
        wait_timer_.cancel();
        note_refused_load(engine, ready_in);
        find_endpoint();
    }
}

void exchange::note_refused_load(const endpoint_id& engine, std::optional<duration> ready_in) {
    load_refused_by_.insert(engine);
    ++load_refusals_;
    possible_loads_.erase(engine);
    if (ready_in) {
        possible_loads_[engine] = owner_.time_.now() + *ready_in;
    }
}

void exchange::wait_until(time_point when, const endpoint_id& id) {
    phase_ = phase::waiting_for_load;
    endpoint_ = id;
    if (wait_began_ == time_point{}) {
        wait_began_ = owner_.time_.now();
    }
    // The ready time may change once the load order is given.
    owner_.wait_for_load({id, attributes_.target}, shared_from_this());
    wait_timer_.expires_after(std::max(duration::zero(), when - owner_.time_.now()));
    wait_timer_.async_wait([weak = weak_from_this(), id](const error_code& ec) {
        const auto self = weak.lock();
        if (!ec && self && self->phase_ == phase::waiting_for_load) {
            self->on_load_wait_expired(id);
        }
    });
}

void exchange::on_load_wait_expired(const endpoint_id& id) {
    const time_point now = owner_.time_.now();
    const auto view = owner_.adapters_.view(id, attributes_.target, now);
    const bool is_late = view.state == routing::adapter_state::loading && view.ready_at <= now;
    if (view.state == routing::adapter_state::loaded) {
        send_to(id);
    } else if (view.state == routing::adapter_state::loading && !is_late) {
        wait_until(view.ready_at, id);
    } else {
        // The order was not given in time, or the adapter was unloaded again.
        if (is_late) {
            owner_.adapters_.on_missing(id, attributes_.target, now);
        }
        find_endpoint();
    }
}

void exchange::retry_if_silent() {
    // A cold endpoint answers slowly without having failed.
    if (route_->kind != routing::request_kind::idempotent || service_->engine ||
        is_endpoint_cold()) {
        return;
    }
    silence_timer_.expires_after(owner_.settings_.silence_timeout);
    silence_timer_.async_wait([weak = weak_from_this(), send = sends_](const error_code& ec) {
        const auto self = weak.lock();
        const bool is_silent = !ec && self && self->phase_ == phase::sent && self->sends_ == send &&
                               !self->is_endpoint_cold();
        if (is_silent && self->may_run_again() && self->spend_retry()) {
            self->note_connection_fault();
            self->owner_.directory_.on_call(self->endpoint_, routing::call_outcome::failed,
                                            self->owner_.time_.now());
            self->stop_call();
            self->excluded_.insert(self->endpoint_);
            self->find_endpoint();
        }
    });
}

bool exchange::is_endpoint_cold() const {
    return owner_.cold_limits_.is_cold(endpoint_, owner_.time_.now());
}

void exchange::note_connection_fault() {
    if (connection_ && connection_->responses() > 0) {
        if (relay_) {
            owner_.peer_pool_.close_idle(endpoint_id(relay_->vm.str()));
        } else {
            owner_.pool_.close_idle(endpoint_);
        }
        avoids_kept_connections_ = true;
    }
}

void exchange::send_to(const endpoint_id& id) {
    const routing::endpoint* target = owner_.directory_.find(id);
    const time_point now = owner_.time_.now();
    const bool may_send = target != nullptr && !target->draining && permitted().permits(*target) &&
                          owner_.wait_for(id) == duration::zero();
    if (!may_send) {
        excluded_.insert(id);
        find_endpoint();
        return;
    }
    if (!prepare_trial()) {
        return;
    }
    phase_ = phase::connecting;
    relay_.reset();
    endpoint_ = id;
    if (wait_began_ != time_point{}) {
        load_wait_ = now - wait_began_;
    }
    ++sends_;
    owner_.limits_.on_request_sent(id, now);
    owner_.cold_limits_.on_request_sent(id, now);
    auto on_connection = [weak = weak_from_this(), id](std::shared_ptr<endpoint_link> it) {
        const auto self = weak.lock();
        const bool wanted = self && self->phase_ == phase::connecting && self->endpoint_ == id;
        if (wanted) {
            self->on_connected(std::move(it));
        } else if (self && it) {
            self->owner_.pool_.release(id, std::move(it));
        }
    };
    if (avoids_kept_connections_ || rejected_by_.count(id) != 0) {
        owner_.pool_.connect(id, target->address, std::move(on_connection));
    } else {
        owner_.pool_.acquire(id, target->address, std::move(on_connection));
    }
}

void exchange::on_connected(std::shared_ptr<endpoint_link> connection) {
    const routing::endpoint* target = owner_.directory_.find(endpoint_);
    const bool left = target == nullptr || target->draining || !permitted().permits(*target);
    const bool is_paused =
        owner_.directory_.pause_left(endpoint_, owner_.time_.now()) > duration::zero();
    if (!connection || left || is_paused) {
        owner_.work_.finish(number_);
        if (connection && !left) {
            owner_.pool_.release(endpoint_, std::move(connection));
        } else if (!connection) {
            ++unreachable_endpoints_;
            owner_.directory_.on_call(endpoint_, routing::call_outcome::unreachable,
                                      owner_.time_.now());
        }
        try_another_endpoint();
        return;
    }
    if (out_->has_caller_left()) {
        owner_.pool_.release(endpoint_, std::move(connection));
        on_caller_left();
        return;
    }
    if (time_left() < owner_.settings_.min_time_left) {
        owner_.pool_.release(endpoint_, std::move(connection));
        on_deadline();
        return;
    }
    phase_ = phase::sent;
    endpoint_started_at_ms_ = target->started_at_ms;
    endpoint_software_ = routing::software_of(*target);
    rejected_ = false;
    discards_response_ = false;
    discarded_bytes_ = 0;
    has_body_ = false;
    ++runs_;
    sent_at_ = owner_.time_.now();
    connection_ = std::move(connection);
    if (service_->engine) {
        owner_.prompts_.on_read(endpoint_, attributes_, sent_at_);
        if (!attributes_.target.adapter.empty()) {
            notified_engine_ = endpoint_;
            owner_.broker_->note_request_start(endpoint_, attributes_.target);
        }
    }
    required_version_ = version_to_require();
    call_request call;
    call.bytes = build_request();
    call.is_head = request_.method == "HEAD";
    call.id_header = std::string(owner_.codec_.id_header());
    call.id = attributes_.id.str();
    const auto self = shared_from_this();
    const auto call_connection = connection_;
    retry_if_silent();
    call_connection->call(std::move(call), *this);
    if (out_ != nullptr) {
        out_->note_held();
    }
}

std::uint64_t exchange::version_to_require() const {
    const std::uint64_t newest = owner_.adapters_.newest_version(attributes_.target);
    if (!service_->engine || newest == 0) {
        return 0;
    }
    const time_point now = owner_.time_.now();
    const auto grace = std::chrono::duration_cast<duration>(owner_.settings_.version_apply *
                                                            owner_.settings_.version_grace_share);
    const std::uint64_t least = owner_.adapters_.version_after(attributes_.target, grace, now);
    const auto view = owner_.adapters_.view(endpoint_, attributes_.target, now);
    const bool is_held = view.state == routing::adapter_state::loaded && view.version >= least;
    const std::uint64_t required = is_held ? view.version : newest;
    if (view.version != newest) {
        telemetry::log_event(severity::info, "old_version",
                             {{"request", attributes_.id},
                              {"endpoint", endpoint_},
                              {"adapter", attributes_.target.adapter},
                              {"held", view.version},
                              {"newest", newest},
                              {"least", least},
                              {"required", least == 0 ? 0 : required}});
    }
    return least == 0 ? 0 : required;
}

void exchange::on_version_in_force(const routing::model_ref& adapter, std::uint64_t version) {
    const bool waits = phase_ == phase::sent && !relay_ && attributes_.target == adapter &&
                       required_version_ < version && !discards_response_;
    const auto view = owner_.adapters_.view(endpoint_, adapter, owner_.time_.now());
    if (!waits || view.version >= version) {
        return;
    }
    const auto self = shared_from_this();
    telemetry::log_event(severity::warning, "version_wait_ended",
                         {{"request", attributes_.id},
                          {"endpoint", endpoint_},
                          {"held", view.version},
                          {"required", required_version_},
                          {"in_force", version},
                          {"waited", owner_.time_.now() - sent_at_}});
    stop_call();
    if (may_run_again() && spend_retry()) {
        find_endpoint();
    } else {
        refuse({status_gateway_timeout, "version_replaced", std::nullopt});
    }
}

std::string exchange::build_request() const {
    std::string out = request_.method + " " + request_.target + " HTTP/1.1\r\n";
    for (const header& it : end_to_end_headers(request_.headers)) {
        const bool is_expect = same_name(it.name, "expect");
        if (!is_expect && !is_relay_header(it.name) && owner_.codec_.is_forwarded(it.name)) {
            append_header(out, it.name, it.value);
        }
    }
    call_attributes attributes;
    attributes.expected = endpoint_;
    if (account_ != nullptr) {
        attributes.account = account_->id;
    }
    attributes.time_left = std::max(milliseconds(1), to_ms(time_left()));
    if (service_->engine) {
        attributes.priority =
            account_ != nullptr && account_->priority ? *account_->priority : route_->priority;
        if (required_version_ != 0) {
            attributes.adapter_version = required_version_;
        }
    }
    attributes.last_event = attributes_.last_event;
    if (events_ && !events_->last_id().empty()) {
        attributes.last_event = events_->last_id();
    }
    owner_.codec_.append_call_attributes(attributes, out);
    append_body(out);
    return out;
}

void exchange::append_body(std::string& out) const {
    const bool has_body = !request_.body.empty() || request_.method == "POST" ||
                          request_.method == "PUT" || request_.method == "PATCH";
    if (has_body) {
        append_header(out, "Content-Length", std::to_string(request_.body.size()));
    }
    out += "\r\n";
    out += request_.body;
}

}  // namespace radishpulley::gateway
