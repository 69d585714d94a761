#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "details/handshake.h"
#include "details/send_queue.h"
#include "details/websocket_types.h"

namespace radishpulley::peer::detail {

// One connection, from the first attempt until it is dropped.
struct session {
    session(std::shared_ptr<websocket_connection> made, handshake begun, time_point now)
        : connection(std::move(made)), auth(std::move(begun)), started(now), last_received(now) {}

    std::shared_ptr<websocket_connection> connection;
    handshake auth;
    // Empty for a connection that the other side made.
    vm_id dialed;
    // Set once authenticated.
    std::optional<vm_incarnation> peer;
    time_point started;
    time_point last_received;
    time_point last_heartbeat;
    bool is_pump_waiting = false;
    // Guarded by the engine's mutex; everything else belongs to its thread.
    send_queue queue;

    bool is_dialer() const { return !dialed.empty(); }
};

using session_ptr = std::shared_ptr<session>;

}  // namespace radishpulley::peer::detail
