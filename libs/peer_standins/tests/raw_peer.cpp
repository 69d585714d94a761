#include "raw_peer.h"

#include "peer/codec.h"

namespace radishpulley::peer_standins {

using boost::asio::ip::tcp;

raw_peer::raw_peer(const std::string& host, std::uint16_t port) {
    socket_.connect(tcp::endpoint(boost::asio::ip::make_address(host), port));
}

void raw_peer::upgrade() {
    write(
        "GET / HTTP/1.1\r\nHost: daemon\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
        char c = 0;
        boost::asio::read(socket_, boost::asio::buffer(&c, 1));
        head += c;
    }
}

void raw_peer::write(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
}

void raw_peer::send_frame(const std::string& payload) {
    send_frame_header(payload.size());
    write(payload);
}

void raw_peer::send_frame_header(std::uint64_t length) {
    const std::size_t length_bytes = length < 126 ? 0 : length < 65'536 ? 2 : 8;
    const std::uint64_t short_length = length_bytes == 0 ? length : length_bytes == 2 ? 126 : 127;
    std::string header = "\x82";
    header += static_cast<char>(0x80U | short_length);
    for (std::size_t i = length_bytes; i > 0; --i) {
        header += static_cast<char>(length >> (i - 1) * 8 & 0xffU);
    }
    // A mask of zeros changes nothing.
    header += std::string(4, '\0');
    write(header);
}

std::string raw_peer::read_frame() {
    std::array<unsigned char, 2> head{};
    boost::asio::read(socket_, boost::asio::buffer(head));
    std::size_t n = head[1] & 127U;
    if (n == 126) {
        std::array<unsigned char, 2> length{};
        boost::asio::read(socket_, boost::asio::buffer(length));
        n = std::size_t{length[0]} << 8 | length[1];
    }
    std::string payload(n, '\0');
    boost::asio::read(socket_, boost::asio::buffer(payload));
    return payload;
}

bool raw_peer::authenticate(const vm_incarnation& self, const vm_id& peer,
                            const std::string& secret) {
    upgrade();
    auto auth = peer::detail::handshake::for_dialer(self, secret, peer);
    send_frame(frame_of(self, auth.hello()));
    while (true) {
        const auto answer = peer::decode(read_frame(), peer::max_frame_size);
        const auto step = auth.receive(std::get<peer::peer_message>(answer));
        if (step.authenticated || step.fault) {
            return step.authenticated.has_value();
        }
        send_frame(frame_of(self, *step.reply));
    }
}

std::string frame_of(const vm_incarnation& sender, const peer::outgoing_message& message) {
    return peer::encode({peer::protocol_version, sender, 1, message.type, message.body});
}

}  // namespace radishpulley::peer_standins
