// Where a request runs: its endpoint, and its place there.
#include "daemon/request_session.h"

#include <utility>

#include "daemon/engine_protocol.h"
#include "details/endpoint_events.h"
#include "details/responses.h"

namespace radishpulley::daemon {
namespace {

namespace decisions = requests::decisions;
namespace events = requests::events;
using detail::stale_refusal;
using requests::error_code;
using telemetry::request_stage;
constexpr duration no_endpoint_retry = std::chrono::seconds(1);

}  // namespace

void request_session::carry_out(const decisions::select_endpoint& it) {
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

void request_session::route_model(const decisions::select_endpoint&) {
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

void request_session::route_application(const decisions::select_endpoint& it) {
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

void request_session::carry_out(const decisions::release_endpoint&) {
    if (open_attempts_.empty()) {
        release_place();
    }
}

}  // namespace radishpulley::daemon
