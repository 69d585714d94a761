/// A call that several events ask for, and that is made once for all of them a little later.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace radishpulley::edge {

/// All calls are on the loop's thread; nothing is called after its end.
class delayed_call {
public:
    delayed_call(boost::asio::io_context& loop, std::chrono::milliseconds delay,
                 std::function<void()> call)
        : timer_(loop), delay_(delay), call_(std::move(call)) {}

    /// Makes the call after the delay, unless it is due already.
    void request() {
        if (is_due_) {
            return;
        }
        is_due_ = true;
        timer_.expires_after(delay_);
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                is_due_ = false;
                call_();
            }
        });
    }

private:
    boost::asio::steady_timer timer_;
    std::chrono::milliseconds delay_;
    std::function<void()> call_;
    bool is_due_ = false;
};

}  // namespace radishpulley::edge
