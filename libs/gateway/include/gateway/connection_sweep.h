/// Periodic check of the connections that have a call in flight.
#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace radishpulley::gateway {

class endpoint_link;

/// Runs only while there are calls in flight. All member functions run on the loop's thread.
class connection_sweep {
public:
    /// Interval between two checks of a connection.
    static constexpr std::chrono::milliseconds interval{100};

    explicit connection_sweep(boost::asio::io_context& loop) : timer_(loop) {}

    /// Checks a connection until it has no call in flight.
    void add(const std::shared_ptr<endpoint_link>& it);

private:
    void schedule();
    void sweep();

    boost::asio::steady_timer timer_;
    bool is_scheduled_ = false;
    std::vector<std::weak_ptr<endpoint_link>> connections_;
};

}  // namespace radishpulley::gateway
