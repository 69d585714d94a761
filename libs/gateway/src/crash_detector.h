/// Tells the crash of an endpoint from a connection that broke for another reason.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "routing/endpoint.h"
#include "routing/suspect_id.h"

namespace radishpulley::gateway {

/// Connects once to each endpoint whose connection broke: where a process has ended, its machine
/// refuses the connection. All member functions run on the loop's thread.
class crash_detector {
public:
    using suspects = std::vector<routing::suspect_id>;
    /// Receives the endpoint that crashed and the suspects of each request that it had not begun to
    /// answer.
    using crash_handler = std::function<void(const routing::endpoint_incarnation& crashed,
                                             const std::vector<suspects>& requests)>;

    crash_detector(boost::asio::io_context& loop, crash_handler on_crash);
    ~crash_detector();

    /// Checks an endpoint at which a request broke off before it was answered. Requests that break
    /// off while the check is under way are added to it.
    void check(const routing::endpoint_incarnation& suspect, const std::string& address,
               suspects of_request);
    /// Whether the check of this endpoint is under way.
    bool is_checking(const endpoint_id& id) const { return checks_.count(id) != 0; }

private:
    struct pending_check;

    void finish(const std::shared_ptr<pending_check>& it, bool is_refused);

    boost::asio::io_context& loop_;
    crash_handler on_crash_;
    std::map<endpoint_id, std::shared_ptr<pending_check>> checks_;
};

}  // namespace radishpulley::gateway
