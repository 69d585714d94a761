/// Bounds the part of the time that a task may take which is requested again and again.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"

namespace radishpulley::edge {

/// Limits of a paced call.
struct pace_limits {
    /// Pause after a run, in lengths of the run.
    int pause_factor = 4;
    duration max_pause = std::chrono::milliseconds(500);
};

/// Runs a task at once when it is requested, or, during the pause after a run, once at its end. All
/// member functions run on the loop's thread. The destructor cancels a pending run.
class paced_call {
public:
    paced_call(boost::asio::io_context& loop, const clock& time, pace_limits limits,
               std::function<void()> task)
        : timer_(loop), time_(time), limits_(limits), task_(std::move(task)) {}

    void request() {
        if (is_scheduled_) {
            return;
        }
        const duration left = pause_ends_ - time_.now();
        if (pause_ends_ == time_point{} || left <= duration::zero()) {
            run();
            return;
        }
        is_scheduled_ = true;
        timer_.expires_after(left);
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec && is_scheduled_) {
                is_scheduled_ = false;
                run();
            }
        });
    }

    /// Runs the task now if it is waiting for the end of the pause.
    void finish_pause() {
        if (is_scheduled_) {
            is_scheduled_ = false;
            timer_.cancel();
            run();
        }
    }

private:
    void run() {
        const time_point began = time_.now();
        task_();
        const time_point ended = time_.now();
        pause_ends_ = ended + std::min(limits_.max_pause, (ended - began) * limits_.pause_factor);
    }

    boost::asio::steady_timer timer_;
    const clock& time_;
    pace_limits limits_;
    std::function<void()> task_;
    time_point pause_ends_{};
    bool is_scheduled_ = false;
};

}  // namespace radishpulley::edge
