#include <boost/test/unit_test.hpp>

#include <vector>

#include "../src/acceptor.h"

namespace radishpulley::edge::testing {

BOOST_AUTO_TEST_SUITE(acceptor_tests)

// Guards against connections that the operating system has let in and that a planned stop resets,
// because the daemon had not accepted them yet.
BOOST_AUTO_TEST_CASE(connections_that_wait_to_be_accepted_are_served_during_a_stop) {
    using tcp = boost::asio::ip::tcp;
    constexpr std::size_t callers = 20;
    boost::asio::io_context loop;
    std::uint16_t port = 0;
    {
        tcp::acceptor probe(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        port = probe.local_endpoint().port();
    }
    std::vector<tcp::socket> taken;
    acceptor it(loop, "127.0.0.1:" + std::to_string(port),
                [&](tcp::socket socket) { taken.push_back(std::move(socket)); });
    std::vector<tcp::socket> connected;
    for (std::size_t i = 0; i < callers; ++i) {
        connected.emplace_back(loop);
        connected.back().connect({boost::asio::ip::address_v4::loopback(), port});
    }
    it.close();
    BOOST_TEST(taken.size() == callers);
    tcp::socket late(loop);
    boost::system::error_code ec;
    late.connect({boost::asio::ip::address_v4::loopback(), port}, ec);
    BOOST_TEST(ec.failed());
    it.close();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
