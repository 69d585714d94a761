#include "crash_detector.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/findings.h"
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
    /// Whether the suspect refused the connection; unset until that is known.
    std::optional<bool> is_refused;
    /// Whether there are other endpoints, which would tell a crash from a cut.
    bool has_others = false;
    std::size_t controls_left = 0;
    std::size_t controls_connected = 0;
    std::size_t controls_failed = 0;

    /// Whether more of the other endpoints were reached than not.
    bool reaches_others() const { return !has_others || controls_connected > controls_failed; }
};

crash_detector::crash_detector(boost::asio::io_context& loop, endpoint_pool& pool,
                               crash_handler on_crash)
    : loop_(loop), pool_(pool), on_crash_(std::move(on_crash)) {}

crash_detector::~crash_detector() = default;

void crash_detector::check(const routing::endpoint_incarnation& suspect, const std::string& address,
                           const control_group& controls, suspects of_request) {
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
            held->timer.cancel();
            held->is_refused = ec == boost::asio::error::connection_refused;
            finish_if_complete(held);
        }
    });
    connect_to_controls(it, controls);
}

void crash_detector::connect_to_controls(const std::shared_ptr<pending_check>& it,
                                         const control_group& controls) {
    it->has_others = controls.has_others;
    it->controls_left = controls.endpoints.size();
    for (const target& each : controls.endpoints) {
        pool_.connect(each.id, each.address,
                      [this, weak = std::weak_ptr<pending_check>(it),
                       id = each.id](std::shared_ptr<endpoint_link> connection) {
                          const auto held = weak.lock();
                          if (held) {
                              --held->controls_left;
                              ++(connection ? held->controls_connected : held->controls_failed);
                          }
                          if (connection) {
                              pool_.release(id, std::move(connection));
                          }
                          if (held) {
                              finish_if_complete(held);
                          }
                      });
    }
}

void crash_detector::finish_if_complete(const std::shared_ptr<pending_check>& it) {
    const bool is_complete = it->is_refused && (!*it->is_refused || it->controls_left == 0);
    if (!is_complete || checks_.erase(it->suspect.id) == 0) {
        return;
    }
    const bool has_crashed = *it->is_refused && it->reaches_others();
    telemetry::log_event(severity::info, "crash_check",
                         {{"endpoint", it->suspect.id},
                          {"crashed", has_crashed},
                          {"refused", *it->is_refused},
                          {"others_connected", it->controls_connected},
                          {"others_failed", it->controls_failed},
                          {"unanswered_requests", it->requests.size()}});
    if (has_crashed) {
        on_crash_(it->suspect, it->requests);
    }
}

}  // namespace radishpulley::gateway
