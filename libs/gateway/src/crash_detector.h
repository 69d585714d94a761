/// Tells the crash of an endpoint from a connection that broke for another reason.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gateway/endpoint_pool.h"
#include "routing/endpoint.h"
#include "routing/suspect_id.h"

namespace radishpulley::gateway {

/// Connects once to each endpoint whose connection broke: where a process has ended, its machine
/// refuses the connection. A refusal shows no crash while other endpoints can't be reached either,
/// as the path from this VM may be cut; so some of them are connected to at the same time. All
/// member functions run on the loop's thread.
class crash_detector {
public:
    using suspects = std::vector<routing::suspect_id>;
    /// Receives the endpoint that crashed and the suspects of each request that it had not begun to
    /// answer.
    using crash_handler = std::function<void(const routing::endpoint_incarnation& crashed,
                                             const std::vector<suspects>& requests)>;

    /// Connections to other endpoints that a check makes at most.
    static constexpr std::size_t max_controls = 3;

    /// An endpoint with its address.
    struct target {
        endpoint_id id;
        std::string address;
    };
    /// Endpoints to which a check connects beside the suspect.
    struct control_group {
        /// Those that this VM is not known to have lost.
        std::vector<target> endpoints;
        /// Whether there are any other endpoints than the suspect.
        bool has_others = false;
    };

    /// Connections to other endpoints are made by `pool`, and kept there.
    crash_detector(boost::asio::io_context& loop, endpoint_pool& pool, crash_handler on_crash);
    ~crash_detector();

    /// Checks an endpoint at which a request broke off before it was answered. Requests that break
    /// off while the check is under way are added to it.
    void check(const routing::endpoint_incarnation& suspect, const std::string& address,
               const control_group& controls, suspects of_request);
    /// Whether the check of this endpoint is under way.
    bool is_checking(const endpoint_id& id) const { return checks_.count(id) != 0; }

private:
    struct pending_check;

    void connect_to_controls(const std::shared_ptr<pending_check>& it,
                             const control_group& controls);
    /// Ends the check once all of its connections have succeeded or failed.
    void finish_if_complete(const std::shared_ptr<pending_check>& it);

    boost::asio::io_context& loop_;
    endpoint_pool& pool_;
    crash_handler on_crash_;
    std::map<endpoint_id, std::shared_ptr<pending_check>> checks_;
};

}  // namespace radishpulley::gateway
