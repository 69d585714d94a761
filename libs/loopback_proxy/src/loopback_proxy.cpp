#include "loopback_proxy/loopback_proxy.h"

#include <algorithm>
#include <array>
#include <functional>

#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace radishpulley {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t piece_size = 16'384;

// What holds for all connections of a proxy.
struct conditions {
    std::chrono::milliseconds delay{0};
    bool held_to_target = false;
    bool held_from_target = false;
    bool refusing = false;

    bool is_held(proxy_direction direction) const {
        return direction == proxy_direction::to_target ? held_to_target : held_from_target;
    }
};

void reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

class relay : public std::enable_shared_from_this<relay> {
public:
    relay(tcp::socket caller, std::shared_ptr<const conditions> now)
        : caller_(std::move(caller)),
          target_(caller_.get_executor()),
          now_(std::move(now)),
          up_(proxy_direction::to_target, caller_, target_),
          down_(proxy_direction::from_target, target_, caller_) {}

    void start(const tcp::endpoint& target) {
        target_.async_connect(target, [self = shared_from_this()](const error_code& ec) {
            if (ec) {
                self->reset_both();
                return;
            }
            error_code ignored;
            self->caller_.set_option(tcp::no_delay(true), ignored);
            self->target_.set_option(tcp::no_delay(true), ignored);
            self->read(self->up_);
            self->read(self->down_);
        });
    }

    void silence() { silent_ = true; }

    void reset_both() {
        reset(caller_);
        reset(target_);
    }

    void resume() {
        for (lane* it : {&up_, &down_}) {
            if (it->waiting > 0 || it->ended) {
                deliver_waiting(*it);
            }
        }
    }

    bool is_open() const { return caller_.is_open() || target_.is_open(); }

private:
    struct lane {
        lane(proxy_direction way, tcp::socket& source, tcp::socket& sink)
            : direction(way), from(source), to(sink), timer(source.get_executor()) {}

        proxy_direction direction;
        tcp::socket& from;
        tcp::socket& to;
        asio::steady_timer timer;
        std::array<char, piece_size> buf{};
        std::size_t waiting = 0;
        bool ended = false;
    };

    void read(lane& it) {
        it.from.async_read_some(asio::buffer(it.buf),
                                [self = shared_from_this(), &it](const error_code& ec, auto n) {
                                    if (ec) {
                                        self->on_end(it, ec);
                                        return;
                                    }
                                    it.waiting = n;
                                    self->after_delay(it);
                                });
    }

    void after_delay(lane& it) {
        if (now_->delay.count() == 0) {
            deliver_waiting(it);
            return;
        }
        it.timer.expires_after(now_->delay);
        it.timer.async_wait([self = shared_from_this(), &it](const error_code& ec) {
            if (!ec) {
                self->deliver_waiting(it);
            }
        });
    }

    void deliver_waiting(lane& it) {
        if (silent_) {
            it.waiting = 0;
            read(it);
            return;
        }
        if (now_->is_held(it.direction)) {
            return;
        }
        if (it.ended) {
            error_code ignored;
            it.to.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        if (it.waiting == 0) {
            return;
        }
        const std::size_t n = std::exchange(it.waiting, 0);
        asio::async_write(it.to, asio::buffer(it.buf.data(), n),
                          [self = shared_from_this(), &it](const error_code& ec, std::size_t) {
                              if (ec) {
                                  self->reset_both();
                              } else {
                                  self->read(it);
                              }
                          });
    }

    void on_end(lane& it, const error_code& ec) {
        error_code ignored;
        if (silent_) {
            it.from.close(ignored);
            return;
        }
        if (ec != asio::error::eof) {
            reset_both();
            return;
        }
        it.ended = true;
        deliver_waiting(it);
        if (up_.ended && down_.ended) {
            caller_.close(ignored);
            target_.close(ignored);
        }
    }

    tcp::socket caller_;
    tcp::socket target_;
    std::shared_ptr<const conditions> now_;
    lane up_;
    lane down_;
    bool silent_ = false;
};

}  // namespace

class loopback_proxy::state : public std::enable_shared_from_this<loopback_proxy::state> {
public:
    state(asio::io_context& loop, tcp::endpoint target)
        : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}), target_(std::move(target)) {}

    void accept() {
        acceptor_.async_accept([self = shared_from_this()](const error_code& ec, tcp::socket it) {
            if (ec) {
                return;
            }
            self->take(std::move(it));
            self->accept();
        });
    }

    void close() {
        error_code ignored;
        acceptor_.close(ignored);
        for_each([](relay& it) { it.reset_both(); });
    }

    void for_each(const std::function<void(relay&)>& call) {
        forget_closed();
        const auto all = relays_;
        for (const auto& it : all) {
            call(*it);
        }
    }

    std::size_t open_count() {
        forget_closed();
        return relays_.size();
    }

    conditions& now() { return *now_; }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void take(tcp::socket it) {
        if (now_->refusing) {
            reset(it);
            return;
        }
        forget_closed();
        auto made = std::make_shared<relay>(std::move(it), now_);
        relays_.push_back(made);
        made->start(target_);
    }

    void forget_closed() {
        relays_.erase(std::remove_if(relays_.begin(), relays_.end(),
                                     [](const auto& it) { return !it->is_open(); }),
                      relays_.end());
    }

    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::shared_ptr<conditions> now_ = std::make_shared<conditions>();
    std::vector<std::shared_ptr<relay>> relays_;
};

loopback_proxy::loopback_proxy(asio::io_context& loop, tcp::endpoint target)
    : state_(std::make_shared<state>(loop, std::move(target))) {
    state_->accept();
}

loopback_proxy::~loopback_proxy() {
    state_->close();
}

std::string loopback_proxy::address() const {
    return "127.0.0.1:" + std::to_string(state_->port());
}

void loopback_proxy::set_delay(std::chrono::milliseconds delay) {
    state_->now().delay = delay;
}

void loopback_proxy::set_held(proxy_direction direction, bool held) {
    conditions& now = state_->now();
    (direction == proxy_direction::to_target ? now.held_to_target : now.held_from_target) = held;
    if (!held) {
        state_->for_each([](relay& it) { it.resume(); });
    }
}

void loopback_proxy::set_refusing(bool refusing) {
    state_->now().refusing = refusing;
    if (refusing) {
        reset_open();
    }
}

void loopback_proxy::silence_open() {
    state_->for_each([](relay& it) { it.silence(); });
}

void loopback_proxy::reset_open() {
    state_->for_each([](relay& it) { it.reset_both(); });
}

std::size_t loopback_proxy::open_count() const {
    return state_->open_count();
}

}  // namespace radishpulley
