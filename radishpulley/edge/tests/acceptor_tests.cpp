#include <boost/test/unit_test.hpp>

#include <vector>

#include "../src/acceptor.h"

namespace radishpulley::edge::testing {
namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t client_count = 20;

// An acceptor whose accept queue holds the connections of its clients.
struct fixture {
    fixture() {
        for (std::size_t i = 0; i < client_count; ++i) {
            clients.emplace_back(loop);
            clients.back().connect({boost::asio::ip::address_v4::loopback(), port});
        }
    }

    static std::uint16_t free_port(boost::asio::io_context& loop) {
        const tcp::acceptor probe(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        return probe.local_endpoint().port();
    }

    boost::asio::io_context loop;
    std::uint16_t port = free_port(loop);
    std::vector<tcp::socket> accepted;
    acceptor it{loop, "127.0.0.1:" + std::to_string(port),
                [this](tcp::socket socket) { accepted.push_back(std::move(socket)); }};
    std::vector<tcp::socket> clients;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(acceptor_tests)

// Guards against resets at shutdown of connections that the operating system has established but
// the daemon has not accepted yet.
BOOST_FIXTURE_TEST_CASE(connections_in_the_accept_queue_are_served_during_shutdown, fixture) {
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
BOOST_FIXTURE_TEST_CASE(connections_that_wait_are_accepted_in_one_turn, fixture) {
    loop.run_one();
    BOOST_TEST(accepted.size() == client_count);
}

// Guards against resets at shutdown of connections that are established while the acceptor closes.
BOOST_FIXTURE_TEST_CASE(an_acceptor_closes_only_once_no_connection_arrives, fixture) {
    it.close_if_quiet();
    BOOST_TEST(it.is_open());
    clients.emplace_back(loop);
    clients.back().connect({boost::asio::ip::address_v4::loopback(), port});
    it.close_if_quiet();
    BOOST_TEST(it.is_open());
    it.close_if_quiet();
    BOOST_TEST(!it.is_open());
    BOOST_TEST(accepted.size() == client_count + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
