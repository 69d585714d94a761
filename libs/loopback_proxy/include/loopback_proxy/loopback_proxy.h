/// A TCP proxy on loopback that does to connections what networks do to them.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace radishpulley {

/// Way of the bytes through a proxy.
enum class proxy_direction { to_target, from_target };

/// Relays to one target. All calls and callbacks are on the loop's thread.
class loopback_proxy {
public:
    /// Listens on a free port of 127.0.0.1 and relays to `target`.
    loopback_proxy(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    /// IP:PORT.
    std::string address() const;
    /// Delays every piece by this much on its way, in both directions.
    void set_delay(std::chrono::milliseconds delay);
    /// Holds all bytes of a direction until it is set to false; then they arrive late.
    void set_held(proxy_direction direction, bool held);
    /// Resets every connection that is made while it is set.
    void set_refusing(bool refusing);
    /// Passes nothing more on the connections that are open now, nor their ends. They stay open;
    /// new connections work.
    void silence_open();
    /// Resets the connections that are open now.
    void reset_open();
    /// Connections that are relayed or silent.
    std::size_t open_count() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace radishpulley
