/// Accepts TCP connections on one address until it is closed.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
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
    /// The same, unless a connection has arrived since the last call: then others are likely to be
    /// on their way, and the operating system would reset them.
    void close_if_quiet();
    bool is_open() const { return socket_.is_open(); }

private:
    void accept();
    void hand_over(boost::asio::ip::tcp::socket socket);
    /// Accepts up to `max_count` of the connections that the operating system has established.
    void accept_waiting(int max_count);

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::acceptor socket_;
    boost::asio::steady_timer retry_timer_;
    handler on_connection_;
    /// Connections accepted, and how many of them before the last call of close_if_quiet().
    std::uint64_t accepted_ = 0;
    std::optional<std::uint64_t> accepted_before_;
};

}  // namespace radishpulley::edge
