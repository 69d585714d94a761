#include "gateway/hint_socket.h"

#include "base/digest.h"
#include "base/findings.h"
#include "gateway/endpoint_pool.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::gateway {
namespace {

// Number of hexadecimal digits of the signature at the start of a datagram.
constexpr std::size_t signature_size = 16;
// Datagrams handled in one turn of the event loop. With one only, they would wait the longer the
// busier the process is with other input, until the operating system drops them.
constexpr int max_datagrams_per_turn = 64;

boost::asio::ip::udp::endpoint udp_address(const std::string& text) {
    const auto it = parse_address(text);
    return {it.address(), it.port()};
}

std::string address_text(const boost::asio::ip::udp::endpoint& it) {
    return it.address().to_string() + ":" + std::to_string(it.port());
}

}  // namespace

hint_socket::hint_socket(boost::asio::io_context& loop, const std::string& address,
                         handler on_message)
    : socket_(loop, udp_address(address)), on_message_(std::move(on_message)) {
    socket_.non_blocking(true);
    receive();
}

std::string hint_socket::seal(const routing::hint_message& it) const {
    const std::string body = routing::encode(it);
    return hmac_sha256_hex(secret_, body).substr(0, signature_size) + body;
}

void hint_socket::send(const std::string& address, const std::string& datagram) {
    if (secret_.empty()) {
        return;
    }
    boost::system::error_code ec;
    try {
        socket_.send_to(boost::asio::buffer(datagram), udp_address(address), 0, ec);
    } catch (const invalid_input&) {
        ec = boost::asio::error::invalid_argument;
    }
    dropped_ += ec ? 1 : 0;
}

void hint_socket::receive() {
    socket_.async_receive_from(boost::asio::buffer(buffer_), from_,
                               [this](const boost::system::error_code& ec, std::size_t n) {
                                   if (ec == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   if (!ec) {
                                       handle_datagram({buffer_.data(), n});
                                       receive_waiting();
                                   }
                                   receive();
                               });
}

void hint_socket::receive_waiting() {
    boost::system::error_code ec;
    for (int i = 1; i < max_datagrams_per_turn; ++i) {
        const std::size_t n = socket_.receive_from(boost::asio::buffer(buffer_), from_, 0, ec);
        if (ec) {
            return;
        }
        handle_datagram({buffer_.data(), n});
    }
}

void hint_socket::handle_datagram(std::string_view datagram) {
    if (secret_.empty() || datagram.size() <= signature_size) {
        return;
    }
    const std::string_view body = datagram.substr(signature_size);
    const std::string expected = hmac_sha256_hex(secret_, body).substr(0, signature_size);
    if (!constant_time_equal(expected, datagram.substr(0, signature_size))) {
        ++dropped_;
        return;
    }
    routing::hint_message message;
    try {
        message = routing::decode_hint(body);
    } catch (const invalid_input& e) {
        ++dropped_;
        telemetry::log_event(telemetry::severity::warning, "hint_unreadable",
                             {{"reason", std::string_view(e.what())}});
        return;
    }
    telemetry::run_guarded("hint", [&] { on_message_(message, address_text(from_)); });
}

}  // namespace radishpulley::gateway
