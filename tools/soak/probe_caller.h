/// A caller that sends one request after the other over a kept connection.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/endpoint_link.h"
#include "platform_standins/service_standin.h"

namespace radishpulley::soak {

/// How a request ended for its caller.
struct call_end {
    /// 0 where the connection broke or the caller gave up.
    unsigned status = 0;
    std::string body;
    platform_adapter::standins::response_metadata marks;
    /// The connection ended without a whole answer, in contrast to a caller that gave up.
    bool was_cut = false;
};

/// Calls one address. All calls and callbacks are on the loop's thread.
class probe_caller final : private gateway::call_handler {
public:
    using request_source = std::function<platform_adapter::standins::plain_request()>;
    using end_handler = std::function<void(const call_end&)>;

    /// `next` makes the request that is sent now, `done` hears its end.
    probe_caller(boost::asio::io_context& loop, const clock& time, std::string address,
                 std::chrono::milliseconds pause, request_source next, end_handler done);
    ~probe_caller() override;
    probe_caller(const probe_caller&) = delete;
    probe_caller& operator=(const probe_caller&) = delete;

    void start();
    /// Sends nothing more after the request under way.
    void stop() { stopped_ = true; }

private:
    void on_head(const gateway::response_head& head) override;
    void on_body(std::string_view bytes) override { end_.body.append(bytes); }
    void on_done() override;
    void on_failure(gateway::call_failure why) override;

    void connect();
    void send();
    void finish();
    void after(std::chrono::milliseconds wait, void (probe_caller::*next)());

    boost::asio::io_context& loop_;
    const clock& time_;
    std::string address_;
    std::chrono::milliseconds pause_;
    request_source next_;
    end_handler done_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer patience_;
    std::shared_ptr<gateway::endpoint_link> connection_;
    call_end end_;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace radishpulley::soak
