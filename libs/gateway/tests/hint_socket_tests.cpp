#include <boost/test/unit_test.hpp>

#include <boost/asio/ip/udp.hpp>

#include "gateway/hint_socket.h"

namespace radishpulley::gateway::testing {
namespace {

constexpr std::size_t message_count = 20;

std::string free_address(boost::asio::io_context& loop) {
    boost::asio::ip::udp::socket probe(loop, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(hint_socket_tests)

// Guards against hints that wait one turn of the event loop each, seconds in all where other input
// makes turns long, until the operating system drops the rest.
BOOST_AUTO_TEST_CASE(datagrams_that_wait_are_handled_in_one_turn) {
    boost::asio::io_context loop;
    const std::string address = free_address(loop);
    std::size_t received = 0;
    hint_socket receiver(loop, address, [&](const auto&, const auto&) { ++received; });
    hint_socket sender(loop, free_address(loop), [](const auto&, const auto&) {});
    receiver.set_secret("s");
    sender.set_secret("s");
    const std::string datagram = sender.seal({{vm_id("vm1"), 1}, routing::vm_status{}});
    for (std::size_t i = 0; i < message_count; ++i) {
        sender.send(address, datagram);
    }
    loop.run_one();
    BOOST_TEST(received == message_count);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
