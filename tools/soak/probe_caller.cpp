#include "probe_caller.h"

#include "gateway/endpoint_pool.h"
#include "gateway/http_text.h"

namespace radishpulley::soak {
namespace {

constexpr std::chrono::milliseconds connect_timeout{1'000};
constexpr std::chrono::milliseconds reconnect_delay{50};
// Time that the caller waits beyond the request's own deadline.
constexpr std::chrono::milliseconds deadline_margin{1'000};

}  // namespace

probe_caller::probe_caller(boost::asio::io_context& loop, const clock& time, std::string address,
                           std::chrono::milliseconds pause, request_source next,
                           outcome_handler on_call_end)
    : loop_(loop),
      time_(time),
      address_(std::move(address)),
      pause_between_requests_(pause),
      next_request_(std::move(next)),
      on_call_end_(std::move(on_call_end)),
      timer_(loop),
      call_timer_(loop) {}

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
    auto new_link = std::make_shared<gateway::link>(loop_);
    new_link->connect(gateway::parse_address(address_), connect_timeout,
                      [this, new_link, alive = alive_](bool connected) {
                          if (!*alive) {
                              return;
                          }
                          if (!connected) {
                              after(reconnect_delay, &probe_caller::connect);
                              return;
                          }
                          connection_ = std::make_shared<gateway::endpoint_link>(new_link, time_);
                          send();
                      });
}

void probe_caller::send() {
    if (!connection_ || !connection_->reusable()) {
        connection_.reset();
        connect();
        return;
    }
    const auto request = next_request_();
    outcome_ = {};
    call_timer_.expires_after(request.deadline + deadline_margin);
    call_timer_.async_wait([this, alive = alive_](const boost::system::error_code& ec) {
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
    outcome_.status = head.status;
    outcome_.marks = platform_adapter::standins::read_metadata(head.headers);
}

void probe_caller::on_done() {
    finish();
}

void probe_caller::on_failure(gateway::call_failure) {
    outcome_.status = 0;
    outcome_.was_truncated = true;
    finish();
}

void probe_caller::finish() {
    call_timer_.cancel();
    on_call_end_(outcome_);
    after(pause_between_requests_, &probe_caller::send);
}

}  // namespace radishpulley::soak
