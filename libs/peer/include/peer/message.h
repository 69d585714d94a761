/// Messages between the daemons: one envelope, with a body that its package defines.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/identifier.h"

namespace radishpulley::peer {

/// Version of the envelope and of the handshake. Both sides must have the same.
constexpr std::uint32_t protocol_version = 1;

/// Type name of the transport's own heartbeats. Delivered only when they have a body.
constexpr const char* heartbeat_type = "heartbeat";

/// A message as its sender hands it to the transport.
struct outgoing_message {
    /// Names the body's type, such as `quota.loan`.
    std::string type;
    nlohmann::json body;
};

/// A message as it travels and arrives.
struct peer_message {
    std::uint32_t version = protocol_version;
    vm_incarnation sender;
    /// Grows with every message that the sender's incarnation sends to any VM.
    std::uint64_t sequence = 0;
    std::string type;
    nlohmann::json body;
};

}  // namespace radishpulley::peer
