#include <boost/test/unit_test.hpp>

#include <boost/asio.hpp>

#include "loopback_proxy/loopback_proxy.h"

namespace radishpulley::testing {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

// A target that sends back what it gets, and callers of it through a proxy.
struct fixture {
    fixture() : acceptor(loop, {asio::ip::address_v4::loopback(), 0}) { accept(); }

    void accept() {
        acceptor.async_accept([this](auto ec, tcp::socket it) {
            if (!ec) {
                echo(std::make_shared<tcp::socket>(std::move(it)));
                accept();
            }
        });
    }

    void echo(const std::shared_ptr<tcp::socket>& it) {
        auto buf = std::make_shared<std::array<char, 64>>();
        it->async_read_some(asio::buffer(*buf), [this, it, buf](auto ec, std::size_t n) {
            if (!ec) {
                asio::write(*it, asio::buffer(buf->data(), n));
                echo(it);
            }
        });
    }

    tcp::socket connect() {
        tcp::socket out(loop);
        const std::string address = proxy.address();
        const auto port = std::stoi(address.substr(address.find(':') + 1));
        out.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
        out.non_blocking(true);
        return out;
    }

    void run() {
        loop.restart();
        loop.run_for(30ms);
    }

    // Sends a text and returns what has come back after a while; "end" for a broken connection.
    std::string ask(tcp::socket& it, const std::string& text) {
        boost::system::error_code ec;
        asio::write(it, asio::buffer(text), ec);
        return receive(it);
    }
    std::string receive(tcp::socket& it) {
        run();
        std::array<char, 64> buf{};
        boost::system::error_code ec;
        const std::size_t n = it.read_some(asio::buffer(buf), ec);
        if (ec == asio::error::would_block) {
            return "";
        }
        return ec ? "end" : std::string(buf.data(), n);
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    loopback_proxy proxy{loop, acceptor.local_endpoint()};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(loopback_proxy_tests)

BOOST_FIXTURE_TEST_CASE(silenced_connections_stay_open_and_new_ones_work, fixture) {
    tcp::socket old = connect();
    BOOST_TEST(ask(old, "a") == "a");
    proxy.silence_open();
    BOOST_TEST(ask(old, "b") == "");
    tcp::socket fresh = connect();
    BOOST_TEST(ask(fresh, "c") == "c");
    BOOST_TEST(ask(old, "d") == "");
    BOOST_TEST(proxy.open_count() == 2U);
}

BOOST_FIXTURE_TEST_CASE(held_bytes_arrive_when_the_way_heals, fixture) {
    tcp::socket it = connect();
    BOOST_TEST(ask(it, "a") == "a");
    proxy.set_held(proxy_direction::from_target, true);
    BOOST_TEST(ask(it, "b") == "");
    proxy.set_held(proxy_direction::from_target, false);
    BOOST_TEST(receive(it) == "b");
}

BOOST_FIXTURE_TEST_CASE(refused_and_reset_connections_break, fixture) {
    tcp::socket it = connect();
    BOOST_TEST(ask(it, "a") == "a");
    proxy.reset_open();
    BOOST_TEST(receive(it) == "end");
    proxy.set_refusing(true);
    tcp::socket refused = connect();
    BOOST_TEST(receive(refused) == "end");
    proxy.set_refusing(false);
    tcp::socket fresh = connect();
    BOOST_TEST(ask(fresh, "b") == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::testing
