#include "acceptor.h"

#include "gateway/endpoint_pool.h"
#include "telemetry/event_log.h"

namespace radishpulley::edge {
namespace {

// Pause after a failed accept, as when descriptors have run out.
constexpr std::chrono::milliseconds accept_pause{20};

}  // namespace

acceptor::acceptor(boost::asio::io_context& loop, const std::string& address, handler on_connection)
    : loop_(loop), socket_(loop), pause_(loop), on_connection_(std::move(on_connection)) {
    const auto at = gateway::parse_address(address);
    socket_.open(at.protocol());
    socket_.set_option(boost::asio::socket_base::reuse_address(true));
    socket_.bind(at);
    socket_.listen(boost::asio::socket_base::max_listen_connections);
    accept();
}

void acceptor::accept() {
    socket_.async_accept(
        loop_, [this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (!socket_.is_open()) {
                return;
            }
            if (!ec) {
                on_connection_(std::move(socket));
                accept();
                return;
            }
            telemetry::log_event(telemetry::severity::warning, "accept_failed",
                                 {{"reason", ec.message()}});
            pause_.expires_after(accept_pause);
            pause_.async_wait([this](const boost::system::error_code& stopped) {
                if (!stopped) {
                    accept();
                }
            });
        });
}

void acceptor::close() {
    boost::system::error_code ec;
    if (!socket_.is_open()) {
        return;
    }
    // Callers whose connections wait to be accepted have been let in by the operating system.
    socket_.non_blocking(true, ec);
    while (!ec) {
        boost::asio::ip::tcp::socket socket(loop_);
        socket_.accept(socket, ec);
        if (!ec) {
            on_connection_(std::move(socket));
        }
    }
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace radishpulley::edge
