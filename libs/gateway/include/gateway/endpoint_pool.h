/// Connections to endpoints, kept where that is safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "gateway/endpoint_link.h"

namespace radishpulley::gateway {

/// Limits of the pool.
struct pool_settings {
    std::chrono::milliseconds connect_timeout{500};
    /// Connections that are kept for one endpoint while nothing runs on them.
    std::size_t most_idle = 24;
};

/// Hands out connections; all calls and callbacks are on the loop's thread.
class endpoint_pool {
public:
    /// Gets a connection, or null where none could be made. May come from inside acquire().
    using callback = std::function<void(std::shared_ptr<endpoint_link>)>;

    endpoint_pool(boost::asio::io_context& loop, const clock& time, pool_settings settings = {});

    /// Finds a kept connection or makes one.
    void acquire(const endpoint_id& id, const std::string& address, callback done);
    /// Makes a connection, whatever is kept.
    void connect(const std::string& address, callback done);
    /// Takes a connection back after a call.
    void release(const endpoint_id& id, std::shared_ptr<endpoint_link> it);
    /// Closes what is kept for an endpoint that left.
    void close_idle(const endpoint_id& id);
    /// Closes all that is kept: something between the ends may have lost track of it.
    void close_all_idle() { idle_.clear(); }
    /// Closes connections that are too old to be used.
    void sweep();
    /// Connections made since the start.
    std::uint64_t connections_made() const { return connections_made_; }

private:
    boost::asio::io_context& loop_;
    const clock& time_;
    pool_settings settings_;
    std::map<endpoint_id, std::vector<std::shared_ptr<endpoint_link>>> idle_;
    std::uint64_t connections_made_ = 0;
};

/// Reads `IP:PORT`; throws invalid_input.
boost::asio::ip::tcp::endpoint parse_address(const std::string& text);

}  // namespace radishpulley::gateway
