#include <boost/test/unit_test.hpp>

#include <boost/asio.hpp>

#include <vector>

#include "../src/status_server.h"

namespace radishpulley::edge {
namespace {

using boost::asio::ip::tcp;

struct fixture {
    fixture()
        : server(loop, time,
                 [] {
                     return status_answer{200, "fine"};
                 }),
          acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

    tcp::socket connect() {
        tcp::socket out(loop);
        out.connect(acceptor.local_endpoint());
        server.accept(acceptor.accept());
        return out;
    }

    // Sends a request and returns what is received until `end`.
    std::string ask(tcp::socket& caller, const std::string& bytes, const std::string& end) {
        boost::asio::write(caller, boost::asio::buffer(bytes));
        caller.non_blocking(true);
        std::string out;
        for (int i = 0; i < 200 && out.find(end) == std::string::npos; ++i) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(10));
            std::array<char, 4'096> buf{};
            boost::system::error_code ec;
            out.append(buf.data(), caller.read_some(boost::asio::buffer(buf), ec));
        }
        return out;
    }

    boost::asio::io_context loop;
    system_clock time;
    status_server server;
    tcp::acceptor acceptor;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(status_server_tests)

// Guards against connections to a status address that take all descriptors, and against probes
// that get no answer because of them.
BOOST_FIXTURE_TEST_CASE(many_connections_leave_a_few_and_a_new_one_is_answered, fixture) {
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 100; ++i) {
        callers.push_back(connect());
    }
    BOOST_TEST(server.connection_count() <= 32U);
    tcp::socket last = connect();
    BOOST_TEST(ask(last, "GET /x HTTP/1.1\r\n\r\n", "fine").find(" 200 ") != std::string::npos);
}

// Guards against large requests to a status address.
BOOST_FIXTURE_TEST_CASE(a_large_request_is_refused_by_its_head, fixture) {
    tcp::socket caller = connect();
    const std::string got =
        ask(caller, "POST /x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", "\r\n\r\n");
    BOOST_TEST(got.find(" 413 ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge
