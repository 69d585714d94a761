/// Checks whether the head of a response is one that a client can rely on.
#pragma once

#include <optional>
#include <string_view>

#include "gateway/endpoint_link.h"

namespace radishpulley::gateway {

/// How the parser found the body to be framed.
struct response_framing {
    /// 10 for HTTP/1.0, 11 for HTTP/1.1.
    int version = 11;
    bool is_chunked = false;
};

/// Returns why a head that could be parsed is no valid response, or nothing if it is one. Rules:
/// RFC 9110, 15 (status codes), and RFC 9112, 6 (framing).
std::optional<std::string_view> find_fault(const response_head& head,
                                           const response_framing& framing);

}  // namespace radishpulley::gateway
