#include "daemon/message_bus.h"

#include <utility>
#include <vector>

#include "telemetry/event_log.h"
#include "wire/messages.h"

namespace radishpulley::daemon {

using telemetry::log_event;
using telemetry::severity;

message_bus::message_bus(std::unique_ptr<peer::peer_transport> transport,
                         telemetry::registry& metrics)
    : transport_(std::move(transport)),
      sent_(metrics.add_counters("peer_messages_sent_total", "Messages to other daemons.",
                                 {"type", "result"})),
      received_(metrics.add_counters("peer_messages_received_total", "Messages from other daemons.",
                                     {"result"})),
      transport_counts_(
          metrics.add_gauges("peer_transport", "Counts of the peers' connections.", {"count"})) {}

void message_bus::export_counters() {
    for (const peer::counter_entry& it : peer::list_counters(transport_->counters())) {
        transport_counts_.with({it.name}).set(static_cast<double>(it.value));
    }
}

void message_bus::start(bus_handlers handlers) {
    router_.add(wire::fleet_type, wire::decode_fleet, handlers.on_fleet);
    router_.add(wire::quota_type, wire::decode_quota, handlers.on_quota);
    router_.add(wire::placement_type, wire::decode_placement, handlers.on_placement);
    peer::transport_handlers out;
    out.on_message = [this](const peer::peer_message& it) {
        const peer::dispatch_result result = router_.dispatch(it);
        const char* name = result == peer::dispatch_result::handled ? "handled" : "dropped";
        received_.with({name}).add();
        if (result == peer::dispatch_result::malformed_body) {
            log_event(severity::warning, "peer_message_malformed",
                      {{"peer", it.sender.vm}, {"type", it.type}});
        }
    };
    out.on_connected = [handlers](const vm_incarnation& it) {
        log_event(severity::info, "peer_connected",
                  {{"peer", it.vm}, {"incarnation", it.incarnation}});
        handlers.on_connected(it);
    };
    out.on_lost = [handlers](const peer::peer_loss& it) {
        log_event(severity::warning, "peer_lost",
                  {{"peer", it.peer.vm}, {"cause", peer::to_string(it.fault)}});
        handlers.on_disconnected(it.peer.vm, false);
        if (it.fault == peer::peer_fault::superseded) {
            handlers.on_superseded();
        }
    };
    out.on_dial_failed = [handlers](const peer::dial_failure& it) {
        handlers.on_disconnected(it.vm, it.fault == peer::peer_fault::connection_refused);
        if (it.fault == peer::peer_fault::superseded) {
            handlers.on_superseded();
        }
    };
    transport_->start(std::move(out));
}

void message_bus::stop() {
    transport_->stop();
}

void message_bus::deliver(const vm_id& to, const char* type, nlohmann::json body) {
    const peer::send_result result = transport_->send(to, {type, std::move(body)});
    sent_.with({type, result == peer::send_result::queued ? "queued" : "not_sent"}).add();
}

void message_bus::send(const vm_id& to, const fleet::message& it) {
    deliver(to, wire::fleet_type, wire::encode(it));
}

void message_bus::send(const vm_id& to, const quota::quota_message& it) {
    deliver(to, wire::quota_type, wire::encode(it));
}

void message_bus::send(const vm_id& to, const placement::message& it) {
    deliver(to, wire::placement_type, wire::encode(it));
}

void message_bus::connect(const vm_id& vm, const std::string& address) {
    const std::lock_guard<std::mutex> lock(mutex_);
    wanted_[vm] = address;
    update_peers();
}

void message_bus::disconnect(const vm_id& vm) {
    const std::lock_guard<std::mutex> lock(mutex_);
    wanted_.erase(vm);
    update_peers();
}

void message_bus::update_peers() {
    std::vector<peer::peer_address> peers;
    for (const auto& [vm, address] : wanted_) {
        peers.push_back({vm, address});
    }
    transport_->set_peers(peers);
}

}  // namespace radishpulley::daemon
