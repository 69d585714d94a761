#include "acceptor.h"

#include <limits>
#include <utility>

#include "gateway/endpoint_pool.h"
#include "telemetry/event_log.h"
#include "telemetry/guarded.h"

namespace radishpulley::edge {
namespace {

// Connections accepted in one turn of the event loop, so that none waits for many turns.
constexpr int max_accepts_per_turn = 64;
// Delay before the next accept after one failed, for example because no descriptors were left.
constexpr std::chrono::milliseconds accept_retry_delay{20};

}  // namespace

acceptor::acceptor(boost::asio::io_context& loop, const std::string& address, handler on_connection)
    : loop_(loop), socket_(loop), retry_timer_(loop), on_connection_(std::move(on_connection)) {
    const auto endpoint = gateway::parse_address(address);
    socket_.open(endpoint.protocol());
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    socket_.bind(endpoint);
    socket_.listen(boost::asio::socket_base::max_listen_connections);
    socket_.non_blocking(true);
    accept();
}

void acceptor::accept() {
    socket_.async_accept(
        loop_, [this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (!socket_.is_open()) {
                return;
            }
            if (!ec) {
                hand_over(std::move(socket));
                accept_waiting(max_accepts_per_turn - 1);
                accept();
                return;
            }
            telemetry::log_event(telemetry::severity::warning, "accept_failed",
                                 {{"reason", ec.message()}});
            retry_timer_.expires_after(accept_retry_delay);
            retry_timer_.async_wait([this](const boost::system::error_code& cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
        });
}

void acceptor::hand_over(boost::asio::ip::tcp::socket socket) {
    ++accepted_;
    telemetry::run_guarded("accept", [&] { on_connection_(std::move(socket)); });
}

void acceptor::accept_waiting(int max_count) {
    boost::system::error_code ec;
    for (int i = 0; i < max_count && !ec && socket_.is_open(); ++i) {
        boost::asio::ip::tcp::socket socket(loop_);
        socket_.accept(socket, ec);
        if (!ec) {
            hand_over(std::move(socket));
        }
    }
}

void acceptor::close_if_quiet() {
    accept_waiting(std::numeric_limits<int>::max());
    if (std::exchange(accepted_before_, accepted_) == accepted_) {
        close();
    }
}

void acceptor::close() {
    if (!socket_.is_open()) {
        return;
    }
    // The operating system has already established the connections in the accept queue.
    accept_waiting(std::numeric_limits<int>::max());
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace radishpulley::edge
