#include "gateway/link.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/write.hpp>

#include "telemetry/guarded.h"
#include "timers.h"

namespace radishpulley::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using telemetry::run_guarded;

constexpr std::size_t read_size = 16'384;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

}  // namespace

link::link(asio::io_context& loop, link_options options)
    : socket_(loop), timer_(loop), options_(options) {}

link::link(socket from, link_options options)
    : socket_(std::move(from)), timer_(socket_.get_executor()), options_(options) {}

void link::configure() {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    socket_.non_blocking(true, ignored);
    if (options_.receive_buffer) {
        socket_.set_option(asio::socket_base::receive_buffer_size(*options_.receive_buffer),
                           ignored);
    }
    const int fd = socket_.native_handle();
    const int silence_ms = static_cast<int>(options_.silence.count());
    const int idle_s = std::max(1, silence_ms / 1'000 - keepalive_probes * keepalive_interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s, sizeof keepalive_interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes, sizeof keepalive_probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms, sizeof silence_ms);
}

void link::start() {
    configure();
    read();
}

void link::connect(const asio::ip::tcp::endpoint& to, std::chrono::milliseconds timeout,
                   connect_callback done) {
    auto self = shared_from_this();
    timer_.expires_after(timeout);
    timer_.async_wait([self](const error_code& ec) {
        // A handler that is queued can't be cancelled any more.
        if (!ec && !self->is_connect_over_) {
            error_code ignored;
            self->connect_failure_ = routing::contact_failure::connect_timed_out;
            self->socket_.close(ignored);
        }
    });
    socket_.async_connect(to, [self, done = std::move(done)](const error_code& ec) {
        self->is_connect_over_ = true;
        self->timer_.cancel();
        const bool connected = !ec && self->socket_.is_open() && !self->ended_;
        if (connected) {
            self->start();
        } else {
            if (ec == asio::error::connection_refused) {
                self->connect_failure_ = routing::contact_failure::connect_refused;
            }
            self->ended_ = true;
        }
        run_guarded("connect", [&] { done(connected); });
    });
}

void link::release_empty_input() {
    if (input_.size() == 0) {
        input_.shrink_to_fit();
    }
}

void link::resume() {
    release_empty_input();
    if (!reading_ && !ended_) {
        read();
    }
}

void link::read() {
    if (reading_ || ended_ || !has_room()) {
        return;
    }
    reading_ = true;
    socket_.async_wait(socket::wait_read, [self = shared_from_this()](const error_code& ec) {
        self->reading_ = false;
        self->on_readable(ec);
    });
}

void link::on_readable(error_code ec) {
    if (ended_) {
        return;
    }
    // One buffer for all connections, as each read is handled before the next one begins.
    static thread_local std::array<char, read_size> scratch;
    std::size_t n = 0;
    if (!ec) {
        n = socket_.read_some(asio::buffer(scratch), ec);
    }
    if (ec == asio::error::would_block) {
        read();
    } else {
        on_read(ec, scratch.data(), n);
    }
}

void link::on_read(const error_code& ec, const char* bytes, std::size_t n) {
    if (finishing_) {
        discarded_ += n;
    } else if (n > 0) {
        input_.commit(asio::buffer_copy(input_.prepare(n), asio::buffer(bytes, n)));
    }
    if (ec) {
        end(ec == asio::error::eof ? how_input_ended() : link_end::broken);
        return;
    }
    if (!finishing_ && handler_ != nullptr &&
        !run_guarded("input", [&] { handler_->on_input(); })) {
        end(link_end::broken);
        return;
    }
    if (linger_ends_) {
        wait_for_peer();
    }
    release_empty_input();
    read();
}

// The system reports a reset once, to whichever call comes first. If a write took the report and
// its handler has not run yet, the next read sees an orderly end.
link_end link::how_input_ended() {
    return undelivered() == 0 ? link_end::closed : link_end::closed_early;
}

void link::end(link_end how) {
    if (ended_) {
        return;
    }
    ended_ = true;
    auto self = shared_from_this();
    link_handler* handler = handler_;
    if (handler != nullptr) {
        run_guarded("end of a connection", [&] { handler->on_end(how); });
    }
    close();
}

void link::write(std::string bytes) {
    if (ended_ || finishing_ || bytes.empty()) {
        return;
    }
    unsent_ += bytes.size();
    output_.push_back(std::move(bytes));
    if (being_written_.empty()) {
        write_next();
    }
}

void link::write_next() {
    being_written_.swap(output_);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(being_written_.size());
    for (const std::string& it : being_written_) {
        buffers.emplace_back(it.data(), it.size());
    }
    has_written_ = true;
    auto self = shared_from_this();
    auto note_part = [self, before = std::size_t{0}](const error_code& ec, std::size_t n) mutable {
        if (n > before && self->handler_ != nullptr) {
            self->handler_->on_partly_written(n - before);
        }
        before = n;
        return asio::transfer_all()(ec, n);
    };
    asio::async_write(socket_, buffers, std::move(note_part),
                      [self](const error_code& ec, std::size_t n) {
                          self->unsent_ -= std::min(n, self->unsent_);
                          self->being_written_.clear();
                          if (self->ended_) {
                              return;
                          }
                          if (ec) {
                              self->end(link_end::broken);
                          } else if (!self->output_.empty()) {
                              self->write_next();
                          } else if (self->finishing_) {
                              self->linger();
                          } else if (self->handler_ != nullptr) {
                              self->note_written();
                          }
                      });
}

void link::note_written() {
    if (!run_guarded("written", [&] { handler_->on_written(); })) {
        end(link_end::broken);
    }
}

void link::finish(finish_callback on_closed, linger_limits limits) {
    if (ended_ || finishing_) {
        return;
    }
    finishing_ = true;
    on_finished_ = std::move(on_closed);
    linger_limits_ = limits;
    handler_ = nullptr;
    discarded_ = input_.size();
    input_.consume(input_.size());
    input_.shrink_to_fit();
    if (being_written_.empty()) {
        linger();
    }
    resume();
}

void link::linger() {
    error_code ignored;
    socket_.shutdown(socket::shutdown_send, ignored);
    linger_ends_ = std::chrono::steady_clock::now() + linger_limits_.total;
    wait_for_peer();
}

void link::wait_for_peer() {
    timer_.expires_at(
        std::min(*linger_ends_, std::chrono::steady_clock::now() + linger_limits_.silence));
    timer_.async_wait([self = shared_from_this()](const error_code& ec) {
        if (ec || !is_due(self->timer_)) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        if (self->undelivered() > 0) {
            // The system ends the connection if the peer acknowledges nothing for too long.
            self->linger_ends_ = now + self->linger_limits_.silence;
            self->wait_for_peer();
        } else if (self->has_unread() && now < *self->linger_ends_) {
            self->wait_for_peer();
        } else {
            self->close();
        }
    });
}

std::size_t link::unread_bytes() const {
    error_code ec;
    const std::size_t n = socket_.is_open() ? socket_.available(ec) : 0;
    return ec ? 0 : n;
}

std::size_t link::undelivered() const {
    // asio has no const access to the descriptor.
    const int fd = const_cast<socket&>(socket_).native_handle();
    int in_system = 0;
    if (ioctl(fd, SIOCOUTQ, &in_system) != 0) {
        return unsent_;
    }
    // The system counts the end of the output as one byte.
    const int end_marker = linger_ends_ ? 1 : 0;
    return unsent_ + static_cast<std::size_t>(std::max(in_system - end_marker, 0));
}

receive_status link::receiving() {
    if (!is_open()) {
        return {true, std::chrono::milliseconds(0)};
    }
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return {};
    }
    return {info.tcpi_state != TCP_ESTABLISHED,
            std::chrono::milliseconds(info.tcpi_last_data_recv)};
}

send_status link::sending() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (!is_open() ||
        getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return {};
    }
    const auto in_system = static_cast<int>(undelivered() - unsent_);
    int not_sent = 0;
    const bool is_known = ioctl(socket_.native_handle(), SIOCOUTQNSD, &not_sent) == 0;
    const bool has_sent_bytes = is_known ? in_system > not_sent : info.tcpi_unacked > 0;
    // A probe of a peer that has no room may be answered late; one of an idle peer is answered.
    const bool is_idle_probed = info.tcpi_probes > 0 && undelivered() == 0;
    return {has_sent_bytes || is_idle_probed, std::chrono::milliseconds(info.tcpi_last_ack_recv),
            undelivered()};
}

void link::abort() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void link::report_finish() {
    const auto report = std::exchange(on_finished_, {});
    if (!report) {
        return;
    }
    const finish_outcome outcome{discarded_ + unread_bytes(), undelivered()};
    run_guarded("finish", [&] { report(outcome); });
}

void link::close() {
    report_finish();
    ended_ = true;
    handler_ = nullptr;
    options_.lease.reset();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace radishpulley::gateway
