#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishpulley::peer::detail {

// Where a daemon listens. Unlike in an address to connect to, the port may be 0.
struct listen_address {
    std::string host;
    std::uint16_t port = 0;
};

// Parses an address such as ws://127.0.0.1:9100.
std::optional<listen_address> parse_listen_address(std::string_view text);

}  // namespace radishpulley::peer::detail
