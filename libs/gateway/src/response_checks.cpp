#include "response_checks.h"

#include "gateway/http_status.h"

namespace radishpulley::gateway {
namespace {

constexpr unsigned first_status = 100;
constexpr unsigned last_status = 599;
constexpr int version_with_codings = 11;

}  // namespace

std::optional<std::string_view> find_fault(const response_head& head,
                                           const response_framing& framing) {
    if (head.status < first_status || head.status > last_status) {
        return "the status is out of range";
    }
    if (head.status == status_switching_protocols) {
        return "it switches to a protocol that was not asked for";
    }
    const bool is_chunked_too_early = framing.is_chunked && framing.version < version_with_codings;
    if (has_unknown_coding(head.headers) || is_chunked_too_early) {
        return "the transfer coding is unknown";
    }
    // A 304 states the length that another status would have.
    const bool states_body =
        framing.is_chunked || (head.length.value_or(0) > 0 && head.status != status_not_modified);
    if (has_no_body(head.status) && states_body) {
        return "it states a body that its status does not have";
    }
    return std::nullopt;
}

}  // namespace radishpulley::gateway
