/// HTTP status codes by their standard names.
#pragma once

namespace radishpulley::gateway {

constexpr unsigned status_switching_protocols = 101;
constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_forbidden = 403;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_precondition_failed = 412;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// Whether responses of this status end with their head.
constexpr bool has_no_body(unsigned status) {
    return status < status_ok || status == status_no_content || status == status_not_modified;
}

}  // namespace radishpulley::gateway
