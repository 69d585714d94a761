#include "gateway/endpoint_pool.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include "base/findings.h"

namespace radishpulley::gateway {

boost::asio::ip::tcp::endpoint parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    boost::system::error_code ec;
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
        const char* const end = text.data() + text.size();
        const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
        if (!ec && error == std::errc() && stop == end && port != 0) {
            return {address, port};
        }
    }
    findings found;
    found.add("address", "\"" + text + "\" is not IP:PORT");
    throw invalid_input(found);
}

endpoint_pool::endpoint_pool(boost::asio::io_context& loop, const clock& time,
                             pool_settings settings)
    : loop_(loop), time_(time), settings_(settings), sweep_(loop) {}

void endpoint_pool::acquire(const endpoint_id& id, const std::string& address, callback done) {
    auto& kept = idle_[id];
    while (!kept.empty()) {
        std::shared_ptr<endpoint_link> it = std::move(kept.back());
        kept.pop_back();
        if (it->reusable()) {
            hand_over(std::move(it), done);
            return;
        }
    }
    connect(id, address, std::move(done));
}

void endpoint_pool::connect(const endpoint_id& id, const std::string& address, callback done) {
    boost::asio::ip::tcp::endpoint to;
    try {
        to = parse_address(address);
    } catch (const invalid_input&) {
        boost::asio::post(loop_, [done = std::move(done)] { done(nullptr); });
        return;
    }
    ++connections_made_;
    auto connection = std::make_shared<link>(loop_);
    connection->connect(to, settings_.connect_timeout,
                        [this, id, connection, done = std::move(done)](bool connected) {
                            hand_over(on_connect_end(id, connection, connected), done);
                        });
}

std::shared_ptr<endpoint_link> endpoint_pool::on_connect_end(const endpoint_id& id,
                                                             const std::shared_ptr<link>& it,
                                                             bool connected) {
    if (observer_ != nullptr && connected) {
        observer_->on_contact(id, routing::contact_proof::connected);
    } else if (observer_ != nullptr) {
        observer_->on_contact_failed(id, it->connect_failure());
    }
    return connected ? std::make_shared<endpoint_link>(it, time_, id, observer_) : nullptr;
}

void endpoint_pool::hand_over(std::shared_ptr<endpoint_link> it, const callback& done) {
    if (it && observer_ != nullptr) {
        sweep_.add(it);
    }
    done(std::move(it));
}

void endpoint_pool::release(const endpoint_id& id, std::shared_ptr<endpoint_link> it) {
    auto& kept = idle_[id];
    if (it->reusable() && kept.size() < settings_.max_idle_per_endpoint) {
        kept.push_back(std::move(it));
    }
}

void endpoint_pool::close_idle(const endpoint_id& id) {
    idle_.erase(id);
}

void endpoint_pool::sweep() {
    for (auto at = idle_.begin(); at != idle_.end();) {
        auto& kept = at->second;
        kept.erase(std::remove_if(kept.begin(), kept.end(),
                                  [](const auto& it) { return !it->reusable(); }),
                   kept.end());
        at = kept.empty() ? idle_.erase(at) : std::next(at);
    }
}

}  // namespace radishpulley::gateway
