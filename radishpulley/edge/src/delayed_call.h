/// Coalesces several requests for a call into one call after a delay.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace radishpulley::edge {

/// All member functions run on the loop's thread. The destructor cancels a pending call.
class delayed_call {
public:
    delayed_call(boost::asio::io_context& loop, std::chrono::milliseconds delay,
                 std::function<void()> callback)
        : timer_(loop), delay_(delay), callback_(std::move(callback)) {}

    /// Sets the delay of the calls that are requested from now on.
    void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
    /// Schedules the call after the delay, unless it is already scheduled.
    void request() {
        if (is_scheduled_) {
            return;
        }
        is_scheduled_ = true;
        timer_.expires_after(delay_);
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                is_scheduled_ = false;
                callback_();
            }
        });
    }

private:
    boost::asio::steady_timer timer_;
    std::chrono::milliseconds delay_;
    std::function<void()> callback_;
    bool is_scheduled_ = false;
};

}  // namespace radishpulley::edge
