#include "probe_caller.h"

#include "gateway/endpoint_pool.h"
#include "gateway/http_text.h"

namespace radishpulley::soak {
namespace {

constexpr std::chrono::milliseconds connect_timeout{1'000};
constexpr std::chrono::milliseconds reconnect_delay{50};
// Beyond the deadline that the request states.
constexpr std::chrono::milliseconds patience_margin{1'000};

}  // namespace

probe_caller::probe_caller(boost::asio::io_context& loop, const clock& time, std::string address,
                           std::chrono::milliseconds pause, request_source next, end_handler done)
    : loop_(loop),
      time_(time),
      address_(std::move(address)),
      pause_(pause),
      next_(std::move(next)),
      done_(std::move(done)),
      timer_(loop),
      patience_(loop) {}

probe_caller::~probe_caller() {
    *alive_ = false;
    if (connection_) {
        connection_->cancel();
    }
}

void probe_caller::start() {
    connect();
}

void probe_caller::after(std::chrono::milliseconds wait, void (probe_caller::*next)()) {
    timer_.expires_after(wait);
    timer_.async_wait([this, next, alive = alive_](const boost::system::error_code& ec) {
        if (!ec && *alive && !stopped_) {
            (this->*next)();
        }
    });
}

void probe_caller::connect() {
    auto made = std::make_shared<gateway::link>(loop_);
    made->connect(gateway::parse_address(address_), connect_timeout,
                  [this, made, alive = alive_](bool connected) {
                      if (!*alive) {
                          return;
                      }
                      if (!connected) {
                          after(reconnect_delay, &probe_caller::connect);
                          return;
                      }
                      connection_ = std::make_shared<gateway::endpoint_link>(made, time_);
                      send();
                  });
}

void probe_caller::send() {
    if (!connection_ || !connection_->reusable()) {
        connection_.reset();
        connect();
        return;
    }
    const auto request = next_();
    end_ = {};
    patience_.expires_after(request.deadline + patience_margin);
    patience_.async_wait([this, alive = alive_](const boost::system::error_code& ec) {
        if (!ec && *alive && connection_) {
            connection_->cancel();
            finish();
        }
    });
    gateway::call_request call;
    call.bytes = to_text(request);
    connection_->call(std::move(call), *this);
}

void probe_caller::on_head(const gateway::response_head& head) {
    end_.status = head.status;
    end_.marks = platform_adapter::standins::read_metadata(head.headers);
}

void probe_caller::on_done() {
    finish();
}

void probe_caller::on_failure(gateway::call_failure) {
    end_.status = 0;
    end_.was_cut = true;
    finish();
}

void probe_caller::finish() {
    patience_.cancel();
    done_(end_);
    after(pause_, &probe_caller::send);
}

}  // namespace radishpulley::soak
