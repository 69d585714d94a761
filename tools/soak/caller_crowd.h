/// Many callers at once that send requests in unusual ways, for example without their last bytes.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace radishpulley::soak {

/// What a caller sends, and how. It keeps its connection open afterwards.
struct caller_load {
    std::string head;
    /// What follows the head, with its framing. Callers may share it.
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>();
    /// Largest part that is sent at a time.
    std::size_t piece_bytes = 65'536;
    /// Time between two pieces.
    std::chrono::milliseconds pause{0};
    /// Whether the caller reads what it receives.
    bool reads = true;
};

/// One caller. All member functions run on the loop's thread.
class crowd_caller : public std::enable_shared_from_this<crowd_caller> {
public:
    crowd_caller(boost::asio::io_context& loop, caller_load load);

    void start(const boost::asio::ip::tcp::endpoint& to);
    void close();

    /// Bytes that the operating system has taken.
    std::size_t sent() const { return sent_; }
    /// What the caller has read.
    const std::string& received() const { return received_; }
    /// Whether the connection failed or was closed by the other side. A caller that does not read
    /// learns of this only when it sends.
    bool has_ended() const { return has_ended_; }

private:
    std::string_view next_piece() const;
    void send();
    void send_after_pause();
    void read();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    caller_load load_;
    std::array<char, 4'096> buffer_{};
    std::string received_;
    std::size_t sent_ = 0;
    bool has_ended_ = false;
};

/// What a crowd has done so far. It is at rest while this does not change.
struct crowd_progress {
    std::size_t sent = 0;
    std::size_t received = 0;
    std::size_t ended = 0;

    bool operator==(const crowd_progress& other) const;
};

/// Many callers; the destructor closes their connections.
class caller_crowd {
public:
    explicit caller_crowd(boost::asio::io_context& loop);
    ~caller_crowd();
    caller_crowd(const caller_crowd&) = delete;
    caller_crowd& operator=(const caller_crowd&) = delete;

    void add(caller_load load, const boost::asio::ip::tcp::endpoint& to);
    /// Closes all connections and forgets the callers.
    void close();
    crowd_progress progress() const;

private:
    boost::asio::io_context& loop_;
    std::vector<std::shared_ptr<crowd_caller>> callers_;
};

}  // namespace radishpulley::soak
