#include "details/endpoint_events.h"

#include <charconv>
#include <optional>
#include <string>

#include "daemon/engine_protocol.h"

namespace radishpulley::daemon::detail {

namespace events = requests::events;
using requests::error_code;
using requests::run_state;

namespace {

constexpr duration stale_retry = std::chrono::seconds(1);
constexpr const char* event_stream = "text/event-stream";

}  // namespace

namespace {

std::optional<std::uint64_t> number_in(std::string_view text) {
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

}  // namespace

events::response_head head_event(requests::attempt_number attempt, const http::response& from) {
    events::response_head it;
    it.attempt = attempt;
    it.status = from.status;
    it.content_type = std::string(from.header("Content-Type"));
    it.content_length = number_in(from.header("Content-Length"));
    if (it.content_type.rfind(event_stream, 0) == 0) {
        it.framing = requests::body_framing::server_sent_events;
    } else if (it.content_length) {
        it.framing = requests::body_framing::content_length;
    }
    const std::string_view echoed_id = from.header(request_id_header);
    if (!echoed_id.empty()) {
        it.echoed_id = request_id(echoed_id);
    }
    const std::string_view served_version = from.header(served_model_header);
    if (!served_version.empty()) {
        it.served_version = std::string(served_version);
    }
    it.resumed_from = number_in(from.header(resumed_header)).value_or(0);
    return it;
}

events::refused stale_refusal() {
    return {error_code::configuration_stale,
            "this VM cannot tell whether its copy of the keys is current", stale_retry};
}

events::record_refused refusal_event(idempotency::refusal it) {
    switch (it) {
        case idempotency::refusal::rate_limited:
            return {error_code::record_unavailable, run_state::not_run,
                    "this VM makes no more idempotency records for the moment"};
        case idempotency::refusal::unavailable:
            return {error_code::record_unavailable, run_state::not_run,
                    "the idempotency record cannot be made now"};
        case idempotency::refusal::key_reused:
            return {error_code::key_reused, run_state::not_run,
                    "the Idempotency-Key was used with another content"};
        case idempotency::refusal::outcome_not_kept:
            return {error_code::outcome_not_kept, run_state::ran,
                    "the call ran, and its answer was too long to be kept"};
        case idempotency::refusal::in_progress_here:
        case idempotency::refusal::outcome_unknown:
            break;
    }
    return {error_code::outcome_unknown, run_state::unknown,
            "an earlier call with this Idempotency-Key may have run"};
}

}  // namespace radishpulley::daemon::detail
