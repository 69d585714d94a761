/// A complete HTTP call with a buffered response, bounded in time and size.
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
    /// Whether the timeout expired, in contrast to a connection that ended.
    bool timed_out = false;
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
    std::chrono::milliseconds timeout{1'000};
    std::size_t max_body_bytes = 8'000'000;
};

/// Runs a call over the pool; `done` runs once. A timeout is reported as `broken`.
void run_simple_call(boost::asio::io_context& loop, endpoint_pool& pool, const endpoint_id& id,
                     const std::string& address, simple_request request,
                     std::function<void(simple_result)> done);

}  // namespace radishpulley::gateway
