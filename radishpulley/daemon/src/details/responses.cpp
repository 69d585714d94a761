#include "details/responses.h"

#include <string>

#include "daemon/engine_protocol.h"

namespace radishpulley::daemon::detail {

http::response error_response(const requests::request_error& it) {
    http::response out =
        http::json_response(requests::http_status(it.code), requests::to_json_text(it));
    out.headers[std::string(request_id_header)] = it.request.str();
    if (const auto seconds = requests::retry_after_seconds(it)) {
        out.headers["Retry-After"] = std::to_string(*seconds);
    }
    return out;
}

std::optional<http::response> health_response(std::string_view path, const service_state& state) {
    if (path == "/healthz") {
        return http::response{200, {}, "ok\n"};
    }
    if (path == "/readyz") {
        const bool ready = state.ready;
        return http::response{ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"};
    }
    return std::nullopt;
}

}  // namespace radishpulley::daemon::detail
