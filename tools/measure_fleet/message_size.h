/// Bytes that a message between daemons takes on the network.
#pragma once

#include <cstddef>

#include "fleet/fleet_agent.h"

namespace radishpulley::measure {

/// Headers of one TCP segment over IPv4 with timestamps, and of one websocket frame.
constexpr std::size_t header_size = 52 + 8;

/// Returns the size of `it` as CBOR with one-letter field names, headers included.
std::size_t message_size(const fleet::message& it);

}  // namespace radishpulley::measure
