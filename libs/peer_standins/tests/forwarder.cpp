#include "forwarder.h"

#include <array>
#include <future>

namespace radishpulley::peer_standins {

using boost::asio::ip::tcp;

struct forwarder::link : std::enable_shared_from_this<forwarder::link> {
    explicit link(boost::asio::io_context& io, int born) : near(io), far(io), generation(born) {}
    tcp::socket near;
    tcp::socket far;
    int generation;
    std::array<std::array<char, 16'384>, 2> bufs{};
};

forwarder::forwarder(const std::string& host, std::uint16_t target_port)
    : target_(boost::asio::ip::make_address(host), target_port),
      acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address(host), 0)) {
    accept();
    thread_ = std::thread([this] { io_.run(); });
}

forwarder::~forwarder() {
    io_.stop();
    thread_.join();
}

void forwarder::freeze() {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
        ++generation_;
        done.set_value();
    });
    done.get_future().wait();
}

void forwarder::accept() {
    const auto it = std::make_shared<link>(io_, 0);
    acceptor_.async_accept(it->near, [this, it](const boost::system::error_code& accepted) {
        boost::system::error_code ec = accepted;
        if (!ec) {
            it->far.connect(target_, ec);
        }
        if (!ec) {
            it->generation = generation_;
            pump(it, true);
            pump(it, false);
        }
        accept();
    });
}

void forwarder::pump(const std::shared_ptr<link>& it, bool is_upwards) {
    auto& from = is_upwards ? it->near : it->far;
    auto& to = is_upwards ? it->far : it->near;
    auto& buf = it->bufs.at(is_upwards ? 0 : 1);
    from.async_read_some(
        boost::asio::buffer(buf),
        [this, it, is_upwards, &to, &buf](const boost::system::error_code& read, std::size_t n) {
            boost::system::error_code ec = read;
            if (!ec && it->generation == generation_) {
                boost::asio::write(to, boost::asio::buffer(buf, n), ec);
            }
            if (!ec) {
                pump(it, is_upwards);
                return;
            }
            if (it->generation == generation_) {
                it->near.close(ec);
                it->far.close(ec);
            }
        });
}

}  // namespace radishpulley::peer_standins
