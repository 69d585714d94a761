/// A whole HTTP call in one piece: request out, answer collected, bounded in time and size.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <variant>

#include "gateway/endpoint_pool.h"

namespace radishpulley::gateway {

/// A whole answer.
struct simple_response {
    unsigned status = 0;
    header_list headers;
    std::string body;
};

/// A call without an answer.
struct failed_call {
    call_failure why = call_failure::broken;
    /// Its time ran out, in contrast to a connection that ended.
    bool timed_out = false;
    /// Its connection had answered a call before.
    bool on_kept_connection = false;
};

using simple_result = std::variant<simple_response, failed_call>;

/// One call.
struct simple_request {
    std::string method = "GET";
    std::string target;
    /// Without the framing.
    header_list headers;
    std::string body;
    std::chrono::milliseconds timeout{1'000};
    std::size_t most_body = 8'000'000;
};

/// Runs a call over the pool; `done` comes once. A timeout counts as broken.
void run_simple_call(boost::asio::io_context& loop, endpoint_pool& pool, const endpoint_id& id,
                     const std::string& address, simple_request request,
                     std::function<void(simple_result)> done);

}  // namespace radishpulley::gateway
