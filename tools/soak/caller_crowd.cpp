#include "caller_crowd.h"

#include <tuple>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace radishpulley::soak {

using boost::system::error_code;

crowd_caller::crowd_caller(boost::asio::io_context& loop, caller_load load)
    : socket_(loop), timer_(loop), load_(std::move(load)) {}

void crowd_caller::start(const boost::asio::ip::tcp::endpoint& to) {
    socket_.async_connect(to, [self = shared_from_this()](const error_code& ec) {
        if (ec) {
            self->has_ended_ = true;
            return;
        }
        self->send();
        if (self->load_.reads) {
            self->read();
        }
    });
}

void crowd_caller::close() {
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
}

std::string_view crowd_caller::next_piece() const {
    const std::string_view head = load_.head;
    const std::string_view rest = sent_ < head.size()
                                      ? head.substr(sent_)
                                      : std::string_view(*load_.body).substr(sent_ - head.size());
    return rest.substr(0, load_.piece_bytes);
}

void crowd_caller::send() {
    const std::string_view piece = next_piece();
    if (piece.empty()) {
        return;
    }
    socket_.async_write_some(boost::asio::buffer(piece.data(), piece.size()),
                             [self = shared_from_this()](const error_code& ec, std::size_t n) {
                                 self->sent_ += n;
                                 if (ec) {
                                     self->has_ended_ = true;
                                     return;
                                 }
                                 self->send_after_pause();
                             });
}

void crowd_caller::send_after_pause() {
    if (load_.pause.count() == 0) {
        send();
        return;
    }
    timer_.expires_after(load_.pause);
    timer_.async_wait([self = shared_from_this()](const error_code& ec) {
        if (!ec) {
            self->send();
        }
    });
}

void crowd_caller::read() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [self = shared_from_this()](const error_code& ec, std::size_t n) {
                                self->received_.append(self->buffer_.data(), n);
                                if (ec) {
                                    self->has_ended_ = true;
                                    return;
                                }
                                self->read();
                            });
}

bool crowd_progress::operator==(const crowd_progress& other) const {
    return std::tie(sent, received, ended) == std::tie(other.sent, other.received, other.ended);
}

caller_crowd::caller_crowd(boost::asio::io_context& loop) : loop_(loop) {}

caller_crowd::~caller_crowd() {
    close();
}

void caller_crowd::add(caller_load load, const boost::asio::ip::tcp::endpoint& to) {
    callers_.push_back(std::make_shared<crowd_caller>(loop_, std::move(load)));
    callers_.back()->start(to);
}

void caller_crowd::close() {
    for (const auto& it : callers_) {
        it->close();
    }
    callers_.clear();
}

crowd_progress caller_crowd::progress() const {
    crowd_progress out;
    for (const auto& it : callers_) {
        out.sent += it->sent();
        out.received += it->received().size();
        out.ended += it->has_ended() ? 1 : 0;
    }
    return out;
}

}  // namespace radishpulley::soak
