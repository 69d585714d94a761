/// A TCP connection on an event loop that always reads, queues writes and detects the connection's
/// end.
///
/// All calls and callbacks are on the loop's thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "gateway/progress_watch.h"
#include "routing/contact_failure.h"

namespace radishpulley::gateway {

/// How a connection ended.
enum class link_end {
    /// The peer closed it in an orderly way, after it had received all that was written.
    closed,
    /// The input ended before the peer had received all that was written: the peer closed it, or
    /// reset it and a write took the error.
    closed_early,
    /// It was reset, timed out or failed.
    broken
};

/// Receives the events of a link.
class link_handler {
public:
    virtual ~link_handler() = default;
    /// `link::input()` has grown.
    virtual void on_input() = 0;
    /// No more input will arrive. Called once.
    virtual void on_end(link_end how) = 0;
    /// The operating system has taken some of the written bytes.
    virtual void on_partly_written(std::size_t /*bytes*/) {}
    /// The operating system has taken all written bytes.
    virtual void on_written() {}
};

/// What the operating system states about the receiving side of a connection.
struct receive_status {
    /// The peer has closed its side or reset the connection, whether that has been read or not.
    bool has_ended = false;
    /// Time since bytes arrived last, whether they have been read or not; zero if unknown.
    std::chrono::milliseconds idle{0};
};

/// Options of a connection.
struct link_options {
    /// Time without acknowledgement from the peer after which the connection is closed.
    std::chrono::milliseconds silence{3'000};
    /// Unconsumed input beyond which reading stops.
    std::size_t max_input = 65'536;
    /// Bytes that the operating system keeps for this process to read; unset for its own choice.
    std::optional<int> receive_buffer;
    /// Released when the connection is closed.
    std::shared_ptr<const void> lease;
};

/// How long a connection that was closed on this side waits for its peer to close it, too.
struct linger_limits {
    /// Longest time without input.
    std::chrono::milliseconds silence{1'000};
    /// Longest time altogether.
    std::chrono::milliseconds total{1'000};
};

/// What was lost on a connection after link::finish().
struct finish_outcome {
    /// Received bytes that were thrown away, with those that were not handled before.
    std::size_t discarded = 0;
    /// Written bytes that the peer's system had not acknowledged when the connection was closed.
    std::size_t undelivered = 0;
};

/// A TCP connection.
class link : public std::enable_shared_from_this<link> {
public:
    using socket = boost::asio::ip::tcp::socket;
    using connect_callback = std::function<void(bool connected)>;

    explicit link(boost::asio::io_context& loop, link_options options = {});
    link(socket from, link_options options);

    /// Connects and starts reading; the callback runs once and never from inside this call.
    void connect(const boost::asio::ip::tcp::endpoint& to, std::chrono::milliseconds timeout,
                 connect_callback done);
    /// Why the connection could not be established, once connect() has failed.
    routing::contact_failure connect_failure() const { return connect_failure_; }
    /// Starts reading on an accepted connection.
    void start();
    /// Sets the receiver of events; null for none.
    void set_handler(link_handler* handler) { handler_ = handler; }

    /// Sets the unconsumed input beyond which reading stops.
    void set_max_input(std::size_t bytes) { options_.max_input = bytes; }
    /// Bytes received and not consumed yet.
    boost::beast::flat_buffer& input() { return input_; }
    /// Continues reading; must be called after input is consumed.
    void resume();
    /// Queues bytes for sending.
    void write(std::string bytes);
    /// Number of queued bytes that the operating system has not taken yet.
    std::size_t unsent() const { return unsent_; }
    /// Number of written bytes that the peer's system has not acknowledged yet.
    std::size_t undelivered() const;
    /// Memory of unconsumed input and of queued bytes.
    std::size_t held_bytes() const { return is_open() ? input_.capacity() + unsent_ : 0; }
    /// Number of received bytes that have not been read from the socket yet.
    std::size_t unread_bytes() const;
    /// Whether any byte was passed to the operating system.
    bool has_written() const { return has_written_; }
    using finish_callback = std::function<void(const finish_outcome& it)>;
    /// Sends what is queued, half-closes the connection and waits for the peer's end, so that no
    /// sent byte is lost. What the peer sends meanwhile is discarded. `on_closed` runs once, when
    /// the connection is closed.
    void finish(finish_callback on_closed = {}, linger_limits limits = {});
    /// Closes at once; the peer sees a reset if there is unread input.
    void close();
    /// Closes with a reset, so that the peer does not take a truncated message for a complete one.
    void abort();
    bool is_open() const { return socket_.is_open() && !ended_; }
    /// Whether received bytes have not been read from the socket yet.
    bool has_unread() const { return unread_bytes() > 0; }
    /// Asks the operating system about what has arrived.
    receive_status receiving();
    /// Asks the operating system about what was sent.
    send_status sending();
    /// Whether reading continues before input is consumed.
    bool has_room() const { return input_.size() < options_.max_input; }

private:
    void configure();
    /// Waits for input. No buffer is held meanwhile.
    void read();
    /// Frees the input buffer while it is empty, so that idle connections hold none.
    void release_empty_input();
    void on_readable(boost::system::error_code ec);
    /// Takes input that was read; an error marks its end.
    void on_read(const boost::system::error_code& ec, const char* bytes, std::size_t n);
    void write_next();
    void note_written();
    /// Tells how the connection ends whose input has ended without an error.
    link_end how_input_ended();
    void end(link_end how);
    void linger();
    /// Waits for the peer's end, up to the limits.
    void wait_for_peer();
    /// Reports how the connection ends, before it is closed.
    void report_finish();

    socket socket_;
    boost::asio::steady_timer timer_;
    link_options options_;
    link_handler* handler_ = nullptr;
    finish_callback on_finished_;
    /// Received bytes that were thrown away.
    std::size_t discarded_ = 0;
    linger_limits linger_limits_;
    /// When the peer must have closed; set once all bytes are sent.
    std::optional<std::chrono::steady_clock::time_point> linger_ends_;
    boost::beast::flat_buffer input_;
    std::deque<std::string> output_;
    std::deque<std::string> being_written_;
    std::size_t unsent_ = 0;
    bool is_connect_over_ = false;
    routing::contact_failure connect_failure_ = routing::contact_failure::connect_failed;
    bool reading_ = false;
    bool has_written_ = false;
    bool ended_ = false;
    bool finishing_ = false;
};

}  // namespace radishpulley::gateway
