#include <boost/test/unit_test.hpp>

#include <vector>

#include "../src/acceptor.h"

namespace radishpulley::edge::testing {

BOOST_AUTO_TEST_SUITE(acceptor_tests)

// Guards against resets at shutdown of connections that the operating system has established but
// the daemon has not accepted yet.
BOOST_AUTO_TEST_CASE(connections_in_the_accept_queue_are_served_during_shutdown) {
    using tcp = boost::asio::ip::tcp;
    constexpr std::size_t client_count = 20;
    boost::asio::io_context loop;
    std::uint16_t port = 0;
    {
        tcp::acceptor probe(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        port = probe.local_endpoint().port();
    }
    std::vector<tcp::socket> accepted;
    acceptor it(loop, "127.0.0.1:" + std::to_string(port),
                [&](tcp::socket socket) { accepted.push_back(std::move(socket)); });
    std::vector<tcp::socket> clients;
    for (std::size_t i = 0; i < client_count; ++i) {
        clients.emplace_back(loop);
        clients.back().connect({boost::asio::ip::address_v4::loopback(), port});
    }
    it.close();
    BOOST_TEST(accepted.size() == client_count);
    tcp::socket late_client(loop);
    boost::system::error_code ec;
    late_client.connect({boost::asio::ip::address_v4::loopback(), port}, ec);
    BOOST_TEST(ec.failed());
    it.close();
}

// Guards against connections that wait one turn of the event loop each, and their requests unread
// for seconds, where other input makes turns long.
BOOST_AUTO_TEST_CASE(connections_that_wait_are_accepted_in_one_turn) {
    using tcp = boost::asio::ip::tcp;
    constexpr std::size_t client_count = 20;
    boost::asio::io_context loop;
    std::uint16_t port = 0;
    {
        tcp::acceptor probe(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        port = probe.local_endpoint().port();
    }
    std::vector<tcp::socket> accepted;
    acceptor it(loop, "127.0.0.1:" + std::to_string(port),
                [&](tcp::socket socket) { accepted.push_back(std::move(socket)); });
    std::vector<tcp::socket> clients;
    for (std::size_t i = 0; i < client_count; ++i) {
        clients.emplace_back(loop);
        clients.back().connect({boost::asio::ip::address_v4::loopback(), port});
    }
    loop.run_one();
    BOOST_TEST(accepted.size() == client_count);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
