#include "http/free_port.h"

#include <unistd.h>

#include <atomic>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace radishpulley::http {
namespace {

// Below the ephemeral port range, as an outgoing connection could take a port between its choice
// here and its use.
constexpr std::uint32_t first_port = 20'000;
constexpr std::uint32_t port_count = 12'000;
// Number of ports that a process uses before it reaches those of the next process id.
constexpr std::uint32_t ports_per_process = 64;

bool is_free(std::uint16_t port) {
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    acceptor.open(tcp::v4(), ec);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, ec);
    return !ec;
}

}  // namespace

std::uint16_t free_port() {
    static std::atomic<std::uint32_t> next{static_cast<std::uint32_t>(getpid()) *
                                           ports_per_process};
    for (std::uint32_t i = 0; i < port_count; ++i) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % port_count);
        if (is_free(port)) {
            return port;
        }
    }
    throw std::runtime_error("no port of 127.0.0.1 is free");
}

std::string free_address() {
    return "http://127.0.0.1:" + std::to_string(free_port());
}

}  // namespace radishpulley::http
