/// Accepts TCP connections on one address until it is closed.
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

    /// Accepts the connections that wait in the accept queue and refuses all later ones.
    void close();

private:
    void accept();
    void hand_over(boost::asio::ip::tcp::socket socket);
    /// Accepts up to `max_count` of the connections that the operating system has established.
    void accept_waiting(int max_count);

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor socket_;
    boost::asio::steady_timer retry_timer_;
    handler on_connection_;
};

}  // namespace radishpulley::edge
