/// A complete HTTP call with a buffered response, bounded in size and in the time that it may make
/// no progress.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <variant>

#include "gateway/endpoint_pool.h"

namespace radishpulley::gateway {

/// A complete response.
struct simple_response {
    unsigned status = 0;
    header_list headers;
    std::string body;
};

/// A call without a complete response.
struct failed_call {
    call_failure why = call_failure::broken;
    /// Whether a timeout expired, in contrast to a connection that ended.
    bool timed_out = false;
    /// Whether the body is larger than the request allows.
    bool too_large = false;
    /// Bytes of the body that had arrived.
    std::size_t received_bytes = 0;
    /// Whether the connection had already carried a response to an earlier call.
    bool on_kept_connection = false;
};

using simple_result = std::variant<simple_response, failed_call>;

/// One request.
struct simple_request {
    std::string method = "GET";
    std::string target;
    /// Without the headers that frame the body.
    header_list headers;
    std::string body;
    /// Time until the response begins.
    std::chrono::milliseconds timeout{1'000};
    /// Interval in which a response that has begun must go on.
    std::chrono::milliseconds stall_timeout{500};
    std::size_t max_body_bytes = 8'000'000;
    /// Called as parts of the body arrive.
    std::function<void()> on_progress = [] {};
};

/// Runs a call over the pool; `done` runs once. A timeout is reported as `broken`, a body that is
/// too large as `malformed`.
void run_simple_call(boost::asio::io_context& loop, endpoint_pool& pool, const endpoint_id& id,
                     const std::string& address, simple_request request,
                     std::function<void(simple_result)> done);

}  // namespace radishpulley::gateway
