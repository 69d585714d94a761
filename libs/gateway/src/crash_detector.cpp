#include "crash_detector.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/findings.h"
#include "gateway/endpoint_pool.h"
#include "telemetry/event_log.h"

namespace radishpulley::gateway {
namespace {

using boost::system::error_code;
using telemetry::severity;

// Time after which a connection attempt without an answer shows nothing.
constexpr std::chrono::milliseconds connect_timeout{1'000};

}  // namespace

struct crash_detector::pending_check {
    pending_check(boost::asio::io_context& loop, routing::endpoint_incarnation it)
        : suspect(std::move(it)), socket(loop), timer(loop) {}

    routing::endpoint_incarnation suspect;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::vector<suspects> requests;
};

crash_detector::crash_detector(boost::asio::io_context& loop, crash_handler on_crash)
    : loop_(loop), on_crash_(std::move(on_crash)) {}

crash_detector::~crash_detector() = default;

void crash_detector::check(const routing::endpoint_incarnation& suspect, const std::string& address,
                           suspects of_request) {
    const auto found = checks_.find(suspect.id);
    if (found != checks_.end()) {
        found->second->requests.push_back(std::move(of_request));
        return;
    }
    boost::asio::ip::tcp::endpoint to;
    try {
        to = parse_address(address);
    } catch (const invalid_input& e) {
        telemetry::log_event(severity::warning, "crash_check_failed",
                             {{"endpoint", suspect.id}, {"reason", std::string_view(e.what())}});
        return;
    }
    auto it = std::make_shared<pending_check>(loop_, suspect);
    it->requests.push_back(std::move(of_request));
    checks_[suspect.id] = it;
    it->timer.expires_after(connect_timeout);
    const std::weak_ptr<pending_check> weak = it;
    it->timer.async_wait([weak](const error_code& ec) {
        const auto held = weak.lock();
        if (!ec && held) {
            error_code ignored;
            held->socket.close(ignored);
        }
    });
    it->socket.async_connect(to, [this, weak](const error_code& ec) {
        if (const auto held = weak.lock()) {
            finish(held, ec == boost::asio::error::connection_refused);
        }
    });
}

void crash_detector::finish(const std::shared_ptr<pending_check>& it, bool is_refused) {
    it->timer.cancel();
    checks_.erase(it->suspect.id);
    telemetry::log_event(severity::info, "crash_check",
                         {{"endpoint", it->suspect.id},
                          {"crashed", is_refused},
                          {"unanswered_requests", it->requests.size()}});
    if (is_refused) {
        on_crash_(it->suspect, it->requests);
    }
}

}  // namespace radishpulley::gateway
