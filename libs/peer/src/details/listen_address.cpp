#include "details/listen_address.h"

#include <charconv>

namespace radishpulley::peer::detail {

std::optional<listen_address> parse_listen_address(std::string_view text) {
    constexpr std::string_view scheme = "ws://";
    const std::size_t colon = text.rfind(':');
    if (text.substr(0, scheme.size()) != scheme || colon <= scheme.size()) {
        return std::nullopt;
    }
    listen_address it;
    it.host = text.substr(scheme.size(), colon - scheme.size());
    const char* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, it.port);
    if (ec != std::errc() || end != last) {
        return std::nullopt;
    }
    return it;
}

}  // namespace radishpulley::peer::detail
