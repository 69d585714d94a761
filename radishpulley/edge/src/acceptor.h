/// Accepts connections on one address for ever.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace radishpulley::edge {

class acceptor {
public:
    using handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Binds `address` (IP:PORT). Throws boost::system::system_error.
    acceptor(boost::asio::io_context& loop, const std::string& address, handler on_connection);

    /// Refuses new connections from now on.
    void close();

private:
    void accept();

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor socket_;
    boost::asio::steady_timer pause_;
    handler on_connection_;
};

}  // namespace radishpulley::edge
