#include "details/address_text.h"

#include <charconv>

namespace radishpulley::settings::detail {
namespace {

bool is_wildcard(std::string_view host) {
    return host == "0.0.0.0" || host == "[::]";
}

}  // namespace

std::optional<address_parts> parse_address(std::string_view text) {
    constexpr std::string_view separator = "://";
    const std::size_t scheme_end = text.find(separator);
    const std::size_t host_end = text.rfind(':');
    if (scheme_end == std::string_view::npos || host_end <= scheme_end + separator.size()) {
        return std::nullopt;
    }
    const std::size_t host_begin = scheme_end + separator.size();
    const std::string_view host = text.substr(host_begin, host_end - host_begin);
    if (host.find_first_of("/ ?#@") != std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view port = text.substr(host_end + 1);
    address_parts it{std::string(text.substr(0, scheme_end)), std::string(host), 0};
    const char* last = port.data() + port.size();
    const auto [end, ec] = std::from_chars(port.data(), last, it.port);
    if (ec != std::errc() || end != last) {
        return std::nullopt;
    }
    return it;
}

bool same_port(const address_parts& a, const address_parts& b) {
    if (a.port == 0 || a.port != b.port) {
        return false;
    }
    return a.host == b.host || is_wildcard(a.host) || is_wildcard(b.host);
}

}  // namespace radishpulley::settings::detail
