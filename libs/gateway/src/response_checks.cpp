#include "response_checks.h"

#include <algorithm>

#include "gateway/http_status.h"

namespace radishpulley::gateway {
namespace {

constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;
constexpr unsigned first_final_status = 200;
constexpr unsigned status_switching_protocols = 101;
constexpr int version_with_codings = 11;

// Whether responses of this status end with their head.
bool has_no_body(unsigned status) {
    return status < first_final_status || status == status_no_content ||
           status == status_not_modified;
}

}  // namespace

std::optional<std::string_view> find_fault(const response_head& head,
                                           const response_framing& framing) {
    if (head.status < first_status || head.status > last_status) {
        return "the status is out of range";
    }
    if (head.status == status_switching_protocols) {
        return "it switches to a protocol that was not asked for";
    }
    const bool has_coding =
        std::any_of(head.headers.begin(), head.headers.end(),
                    [](const header& it) { return same_name(it.name, "transfer-encoding"); });
    if (has_coding && (!framing.is_chunked || framing.version < version_with_codings ||
                       !same_name(find_header(head.headers, "transfer-encoding"), "chunked"))) {
        return "the transfer coding is unknown";
    }
    // A 304 states the length that another status would have.
    const bool states_body =
        has_coding || (head.length.value_or(0) > 0 && head.status != status_not_modified);
    if (has_no_body(head.status) && states_body) {
        return "it states a body that its status does not have";
    }
    return std::nullopt;
}

}  // namespace radishpulley::gateway
