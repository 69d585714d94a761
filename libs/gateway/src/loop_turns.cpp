#include "gateway/loop_turns.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace radishpulley::gateway {

loop_turns::loop_turns(boost::asio::io_context& loop, const clock& time, observer on_turn)
    : loop_(loop), time_(time), on_turn_(std::move(on_turn)) {}

void loop_turns::note_input() {
    had_input_ = true;
    if (is_measuring_) {
        return;
    }
    is_measuring_ = true;
    turn_began_ = time_.now();
    previous_turn_began_ = turn_began_;
    boost::asio::post(loop_, [this] { end_turn(); });
}

void loop_turns::end_turn() {
    const time_point now = time_.now();
    on_turn_(now - turn_began_);
    previous_turn_began_ = std::exchange(turn_began_, now);
    is_measuring_ = std::exchange(had_input_, false);
    if (is_measuring_) {
        // The loop runs handlers in the order of their posting, so this one ends the next turn.
        boost::asio::post(loop_, [this] { end_turn(); });
    }
}

duration loop_turns::max_unread() const {
    return is_measuring_ ? time_.now() - previous_turn_began_ : duration::zero();
}

}  // namespace radishpulley::gateway
