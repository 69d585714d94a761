#include "requests/request_error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace radishpulley::requests {
namespace {

struct code_row {
    error_code code;
    std::string_view name;
    int status;
};

constexpr std::array<code_row, error_code_count> code_rows = {{
    {error_code::bad_request, "bad_request", 400},
    {error_code::unauthenticated, "unauthenticated", 401},
    {error_code::forbidden, "forbidden", 403},
    {error_code::not_found, "not_found", 404},
    {error_code::too_large, "too_large", 413},
    {error_code::rate_limited, "rate_limited", 429},
    {error_code::queue_full, "queue_full", 503},
    {error_code::deadline_unreachable, "deadline_unreachable", 503},
    {error_code::deadline_exceeded, "deadline_exceeded", 504},
    {error_code::no_endpoint, "no_endpoint", 503},
    {error_code::endpoint_failed, "endpoint_failed", 502},
    {error_code::stream_cut, "stream_cut", 502},
    {error_code::wrong_answer, "wrong_answer", 502},
    {error_code::key_withdrawn, "key_withdrawn", 401},
    {error_code::shutting_down, "shutting_down", 503},
    {error_code::record_unavailable, "record_unavailable", 503},
    {error_code::key_reused, "key_reused", 422},
    {error_code::outcome_unknown, "outcome_unknown", 409},
    {error_code::outcome_not_kept, "outcome_not_kept", 409},
    {error_code::caller_too_slow, "caller_too_slow", 408},
    {error_code::caller_left, "caller_left", 499},
    {error_code::configuration_stale, "configuration_stale", 503},
}};

constexpr bool rows_match_codes() {
    for (std::size_t i = 0; i < code_rows.size(); ++i) {
        if (static_cast<std::size_t>(code_rows[i].code) != i) {
            return false;
        }
    }
    return true;
}
static_assert(rows_match_codes(), "a row of the error table is missing or out of order");

const code_row& find_row(error_code code) {
    return code_rows.at(static_cast<std::size_t>(code));
}

}  // namespace

std::string_view name_of(error_code code) {
    return find_row(code).name;
}

std::string_view name_of(run_state run) {
    static constexpr std::array<std::string_view, 4> names = {"not_run", "unknown",
                                                              "failed_after_start", "ran"};
    return names.at(static_cast<std::size_t>(run));
}

int http_status(error_code code) {
    return find_row(code).status;
}

std::optional<long> retry_after_seconds(const request_error& it) {
    if (!it.retry_after) {
        return std::nullopt;
    }
    const auto whole = std::chrono::duration_cast<std::chrono::seconds>(*it.retry_after);
    return whole.count() + (whole < *it.retry_after ? 1 : 0);
}

std::string to_json_text(const request_error& it) {
    nlohmann::json value = {{"code", name_of(it.code)},
                            {"message", it.message},
                            {"run_state", name_of(it.run)},
                            {"request_id", it.request.str()}};
    if (it.retry_after) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*it.retry_after);
        value["retry_after_ms"] = wait.count();
    }
    const nlohmann::json body = {{"error", value}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string to_stream_event(const request_error& it) {
    return "event: error\ndata: " + to_json_text(it) + "\n\n";
}

}  // namespace radishpulley::requests
