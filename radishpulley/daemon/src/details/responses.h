// Answers that several parts of the daemon give.
#pragma once

#include <optional>
#include <string_view>

#include "daemon/caller_server.h"
#include "http/message.h"
#include "requests/request_error.h"

namespace radishpulley::daemon::detail {

// Returns an error as a whole answer, with its request id and, where it is true, Retry-After.
http::response error_response(const requests::request_error& it);

// Returns the answer to /healthz or /readyz; nothing for another path.
std::optional<http::response> health_response(std::string_view path, const service_state& state);

}  // namespace radishpulley::daemon::detail
