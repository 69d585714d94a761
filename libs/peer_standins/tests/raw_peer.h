#pragma once

#include <boost/asio.hpp>
#include <string>

#include "details/handshake.h"

namespace radishpulley::peer_standins {

// A client that writes whatever bytes a test wants, below the transport.
class raw_peer {
public:
    raw_peer(const std::string& host, std::uint16_t port);

    void upgrade();
    void write(const std::string& bytes);
    // Sends one binary WebSocket message.
    void send_frame(const std::string& payload);
    // Begins a binary message of `length` bytes and sends none of them.
    void send_frame_header(std::uint64_t length);
    std::string read_frame();

    // Upgrades and proves to be `self` to the daemon of `peer`. Returns false when it is refused.
    bool authenticate(const vm_incarnation& self, const vm_id& peer, const std::string& secret);

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_{io_};
};

// Returns the frame of a message from `sender`.
std::string frame_of(const vm_incarnation& sender, const peer::outgoing_message& message);

}  // namespace radishpulley::peer_standins
