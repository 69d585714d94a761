/// Pool of keep-alive connections to endpoints.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "gateway/connection_sweep.h"
#include "gateway/contact_observer.h"
#include "gateway/endpoint_link.h"

namespace radishpulley::gateway {

/// Limits of the pool.
struct pool_settings {
    std::chrono::milliseconds connect_timeout{500};
    /// Maximum number of idle connections kept per endpoint.
    std::size_t max_idle_per_endpoint = 24;
};

/// Provides connections; all calls and callbacks are on the loop's thread.
class endpoint_pool {
public:
    /// Receives a connection, or null if the connect failed. May run from inside acquire().
    using callback = std::function<void(std::shared_ptr<endpoint_link>)>;

    endpoint_pool(boost::asio::io_context& loop, const clock& time, pool_settings settings = {});

    /// Sets who is told what the connections show of the paths to endpoints; it must outlive them.
    void set_observer(contact_observer& it) { observer_ = &it; }
    /// Reuses an idle connection or opens a new one.
    void acquire(const endpoint_id& id, const std::string& address, callback done);
    /// Opens a new connection even if idle ones are available.
    void connect(const endpoint_id& id, const std::string& address, callback done);
    /// Returns a connection to the pool after a call.
    void release(const endpoint_id& id, std::shared_ptr<endpoint_link> it);
    /// Closes the idle connections of an endpoint that left.
    void close_idle(const endpoint_id& id);
    /// Closes all idle connections, because a device on the path may have lost their state.
    void close_all_idle() { idle_.clear(); }
    /// Closes idle connections whose keep-alive time has passed.
    void sweep();
    /// Number of connections opened since the start.
    std::uint64_t connections_made() const { return connections_made_; }

private:
    /// Hands a connection over, or null after a failed connect.
    void hand_over(std::shared_ptr<endpoint_link> it, const callback& done);
    std::shared_ptr<endpoint_link> on_connect_end(const endpoint_id& id,
                                                  const std::shared_ptr<link>& it, bool connected);

    boost::asio::io_context& loop_;
    const clock& time_;
    pool_settings settings_;
    std::map<endpoint_id, std::vector<std::shared_ptr<endpoint_link>>> idle_;
    std::uint64_t connections_made_ = 0;
    contact_observer* observer_ = nullptr;
    connection_sweep sweep_;
};

/// Parses `IP:PORT`; throws invalid_input.
boost::asio::ip::tcp::endpoint parse_address(const std::string& text);

}  // namespace radishpulley::gateway
