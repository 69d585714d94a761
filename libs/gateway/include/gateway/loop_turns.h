/// Measures how long the event loop takes for one turn: to run all handlers that were ready at its
/// start, and to ask the operating system for new input once.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "base/clock.h"

namespace radishpulley::gateway {

/// All member functions run on the loop's thread. Must outlive the loop's last run.
class loop_turns {
public:
    /// Receives the length of each turn in which input was handled.
    using observer = std::function<void(duration)>;

    loop_turns(boost::asio::io_context& loop, const clock& time, observer on_turn);

    /// Records that input is being handled. Turns are measured only while there is input, so that
    /// an idle process sleeps.
    void note_input();

    /// Longest time for which input that is handled now can have lain unread since the process
    /// last looked for input: the lengths of this turn and the one before.
    duration max_unread() const;

private:
    void end_turn();

    boost::asio::io_context& loop_;
    const clock& time_;
    observer on_turn_;
    time_point previous_turn_began_{};
    time_point turn_began_{};
    bool is_measuring_ = false;
    bool had_input_ = false;
};

}  // namespace radishpulley::gateway
