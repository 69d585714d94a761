/// One TCP connection on an event loop: always reading, writes queued, its end always noticed.
///
/// All calls and callbacks are on the loop's thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace radishpulley::gateway {

/// How a connection ended.
enum class link_end {
    /// The other side closed it in order.
    closed,
    /// It was reset, timed out or failed.
    broken
};

/// Receives what happens on a link.
class link_handler {
public:
    virtual ~link_handler() = default;
    /// `link::input()` has grown.
    virtual void on_input() = 0;
    /// No more input will come. Called once.
    virtual void on_end(link_end how) = 0;
    /// All that was written is with the operating system.
    virtual void on_written() {}
};

/// Options of a connection.
struct link_options {
    /// Time after which a connection on which nothing is acknowledged is given up.
    std::chrono::milliseconds silence{3'000};
    /// Input is not read while more than this is unused.
    std::size_t most_input = 65'536;
};

/// A TCP connection.
class link : public std::enable_shared_from_this<link> {
public:
    using socket = boost::asio::ip::tcp::socket;
    using connect_callback = std::function<void(bool connected)>;

    explicit link(boost::asio::io_context& loop, link_options options = {});
    link(socket from, link_options options);

    /// Connects; the callback comes once, never from inside this call. Reading starts by itself.
    void connect(const boost::asio::ip::tcp::endpoint& to, std::chrono::milliseconds timeout,
                 connect_callback done);
    /// Starts to read on an accepted connection.
    void start();
    /// Sets who hears of events; null for nobody.
    void set_handler(link_handler* handler) { handler_ = handler; }

    /// Bytes that came and were not consumed yet.
    boost::beast::flat_buffer& input() { return input_; }
    /// Call after consuming input, so that reading goes on.
    void resume();
    /// Queues bytes.
    void write(std::string bytes);
    /// Bytes that are queued and not yet with the operating system.
    std::size_t unsent() const { return unsent_; }
    /// Whether some byte was given to the operating system.
    bool wrote_any() const { return wrote_any_; }
    /// Sends what is queued, then closes without losing it on the way.
    void finish();
    /// Closes at once; the other side sees a broken connection where input is unread.
    void close();
    /// Closes so that the other side sees a broken connection, also where nothing else tells it
    /// that what it got is not whole.
    void abort();
    bool is_open() const { return socket_.is_open() && !ended_; }
    /// Whether bytes came that were not read yet.
    bool has_unread() const;
    /// Whether more input would be read before some is consumed.
    bool has_room() const { return input_.size() < options_.most_input; }

private:
    void configure();
    void read();
    void on_read(const boost::system::error_code& ec, std::size_t n);
    void write_next();
    void end(link_end how);
    void linger();

    socket socket_;
    boost::asio::steady_timer timer_;
    link_options options_;
    link_handler* handler_ = nullptr;
    boost::beast::flat_buffer input_;
    std::deque<std::string> output_;
    std::deque<std::string> being_written_;
    std::size_t unsent_ = 0;
    bool reading_ = false;
    bool wrote_any_ = false;
    bool ended_ = false;
    bool finishing_ = false;
};

}  // namespace radishpulley::gateway
