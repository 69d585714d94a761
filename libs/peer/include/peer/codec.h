/// CBOR form of messages, with bounds on size and depth that hold for any bytes.
///
/// Example:
///     const std::string bytes = encode(message);
///     const decode_result result = decode(bytes, max_frame_size);
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "peer/message.h"

namespace radishpulley::peer {

/// Longest frame, in bytes.
constexpr std::size_t max_frame_size = 1'048'576;

/// Deepest nesting of arrays and objects, the envelope included.
constexpr std::size_t max_nesting_depth = 32;

/// Why bytes are not a message.
enum class decode_failure { oversize, malformed, wrong_version };

using decode_result = std::variant<peer_message, decode_failure>;

/// Returns the message's frame.
std::string encode(const peer_message& message);

/// Parses a frame of at most `size_limit` bytes. Unknown fields of the envelope are skipped.
/// Never throws for any bytes.
decode_result decode(std::string_view frame, std::size_t size_limit);

}  // namespace radishpulley::peer
