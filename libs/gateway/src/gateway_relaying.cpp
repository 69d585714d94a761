// Requests that are passed on between VMs.
#include <algorithm>

#include "exchange.h"
#include "gateway/gateway.h"
#include "relay_service.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

// Time for which a VM is left out after no connection could be made to it.
constexpr duration unreachable_relay_time = std::chrono::seconds(2);
// Connections of peers that are refused but not closed yet, as a multiple of those that are served.
constexpr std::size_t max_refused_connections_factor = 2;

}  // namespace

void gateway::set_relay_peers(relay_peers& peers, const wall_clock& time_of_day) {
    relay_peers_ = &peers;
    time_of_day_ = &time_of_day;
}

std::optional<relay_target> gateway::choose_relay(const service_id& service,
                                                  const routing::allowed_regions& regions,
                                                  const request_id& request,
                                                  std::set<vm_id> excluded) const {
    if (relay_peers_ == nullptr || relay_peers_->secret().empty()) {
        return std::nullopt;
    }
    const time_point now = time_.now();
    for (const auto& [vm, until] : unreachable_relays_) {
        if (now < until) {
            excluded.insert(vm);
        }
    }
    return relay_peers_->choose(service, regions, request, excluded);
}

void gateway::on_relay_unreachable(const vm_id& vm) {
    unreachable_relays_[vm] = time_.now() + unreachable_relay_time;
}

void gateway::on_service_unreachable(const service_id& service) {
    for (const auto& it : requests_in_progress()) {
        it->on_service_unreachable(service);
    }
}

std::size_t gateway::max_relay_connections() const {
    return static_cast<std::size_t>(static_cast<double>(settings_.max_connections) *
                                    settings_.relay_connection_share);
}

void gateway::accept_peer(link::socket socket) {
    turns_.note_input();
    if (relay_connection_count() >= max_relay_connections() * max_refused_connections_factor) {
        // The new connection is closed with its socket.
        return;
    }
    link_options options;
    options.lease = relay_connections_;
    auto it = std::make_shared<caller_link>(std::make_shared<link>(std::move(socket), options),
                                            loop_, time_, *relay_service_);
    callers_.insert(it);
    it->start();
}

std::optional<relay_terms> gateway::relay_terms_of(const header_list& headers) const {
    if (relay_peers_ == nullptr) {
        return std::nullopt;
    }
    return read_relay_terms(headers, relay_peers_->secret(), time_of_day_->since_epoch());
}

std::string_view gateway::refusal_of_relayed(const service_id& service) const {
    const auto max_held = static_cast<std::size_t>(static_cast<double>(budget_->limit()) *
                                                   settings_.relay_memory_share);
    if (stop_) {
        return "stopping";
    }
    if (awaits_confirmation_ || is_overloaded(time_.now())) {
        return "overloaded";
    }
    if (budget_->held() > max_held) {
        return "memory_limit";
    }
    if (relay_connection_count() > max_relay_connections()) {
        return "connection_limit";
    }
    return reaches_(service) ? std::string_view() : "service_unreachable";
}

std::shared_ptr<request_work> gateway::start_relayed(caller_request request,
                                                     const relay_terms& terms,
                                                     response_writer& out) {
    note_running();
    auto it = std::make_shared<exchange>(*this, std::move(request), out, terms);
    const std::string_view refusal = refusal_of_relayed(terms.service);
    if (refusal.empty()) {
        it->start();
    } else {
        it->refuse_relayed(refusal);
    }
    return it;
}

bool gateway::refuse_relayed_early(caller_request head, const relay_terms& terms,
                                   response_writer& out) {
    note_running();
    const auto it = std::make_shared<exchange>(*this, std::move(head), out, terms);
    const std::string_view refusal = refusal_of_relayed(terms.service);
    if (refusal.empty()) {
        return it->refuse_early();
    }
    it->refuse_relayed(refusal);
    return true;
}

void gateway::refuse_relayed(caller_request head, const relay_terms& terms, std::string_view reason,
                             response_writer& out) {
    std::make_shared<exchange>(*this, std::move(head), out, terms)->refuse_relayed(reason);
}

}  // namespace radishpulley::gateway
