/// An endpoint whose connections hang as on a cut path.
#pragma once

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

namespace radishpulley::gateway::testing {

/// A listener that accepts nothing and keeps one finished connection at most. The system finishes a
/// connection with its first bytes, so that it acknowledges no bytes of those for which there is no
/// room, and answers no new ones.
class hanging_endpoint {
public:
    using tcp = boost::asio::ip::tcp;

    hanging_endpoint() : acceptor_(loop_, tcp::v4()) {
        constexpr int wait_for_bytes_s = 60;
        acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
        BOOST_REQUIRE(setsockopt(acceptor_.native_handle(), IPPROTO_TCP, TCP_DEFER_ACCEPT,
                                 &wait_for_bytes_s, sizeof wait_for_bytes_s) == 0);
        acceptor_.listen(0);
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// From now on connections hang that have carried no bytes yet.
    void hang() {
        other_.connect(acceptor_.local_endpoint());
        boost::asio::write(other_, boost::asio::buffer("x", 1));
    }

private:
    boost::asio::io_context loop_;
    tcp::acceptor acceptor_;
    tcp::socket other_{loop_};
};

}  // namespace radishpulley::gateway::testing
