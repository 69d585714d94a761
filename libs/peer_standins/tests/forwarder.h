#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace radishpulley::peer_standins {

// Forwards TCP connections to one port, until it is told to lose track of those that are open.
class forwarder {
public:
    forwarder(const std::string& host, std::uint16_t target_port);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Forwards nothing more on the connections that are open now and leaves them open.
    void freeze();

private:
    struct link;

    void accept();
    void pump(const std::shared_ptr<link>& it, bool is_upwards);

    boost::asio::io_context io_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    // Counts freezes; a link forwards only in the generation in which it was accepted.
    int generation_ = 0;
    std::thread thread_;
};

}  // namespace radishpulley::peer_standins
