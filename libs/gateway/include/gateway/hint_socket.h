/// Sends and receives hints between the daemons as signed UDP datagrams.
///
/// Hints are small, may be lost and are sent again. Datagrams need no connection that could fail
/// silently.
#pragma once

#include <array>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "routing/hints.h"

namespace radishpulley::gateway {

/// A UDP socket for hints.
class hint_socket {
public:
    /// Receives a message and its sender's address (IP:PORT).
    using handler =
        std::function<void(const routing::hint_message&, const std::string& sender_address)>;

    /// Binds `address` (IP:PORT). Throws boost::system::system_error if that fails.
    hint_socket(boost::asio::io_context& loop, const std::string& address, handler on_message);

    /// Sets the secret that signs datagrams; nothing is sent or accepted before.
    void set_secret(std::string secret) { secret_ = std::move(secret); }
    bool has_secret() const { return !secret_.empty(); }
    const std::string& secret() const { return secret_; }
    /// Returns the signed datagram of a message.
    std::string seal(const routing::hint_message& it) const;
    /// Sends a sealed datagram; drops it if the send buffer is full.
    void send(const std::string& address, const std::string& datagram);

    std::uint64_t dropped() const { return dropped_; }

private:
    void receive();
    /// Handles the datagrams that have arrived already, up to a limit.
    void receive_waiting();
    void handle_datagram(std::string_view datagram);

    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    std::array<char, 65'536> buffer_{};
    std::string secret_;
    handler on_message_;
    std::uint64_t dropped_ = 0;
};

}  // namespace radishpulley::gateway
