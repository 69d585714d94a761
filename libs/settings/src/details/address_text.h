#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishpulley::settings::detail {

// Parts of an address such as http://127.0.0.1:8080.
struct address_parts {
    std::string scheme;
    std::string host;
    // 0 lets the operating system choose.
    std::uint16_t port = 0;
};

// Parses `scheme://host:port` without a path.
std::optional<address_parts> parse_address(std::string_view text);

// True where both cannot be listened on at once.
bool same_port(const address_parts& a, const address_parts& b);

}  // namespace radishpulley::settings::detail
