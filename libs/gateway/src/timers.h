/// Helpers for timers.
#pragma once

#include <boost/asio/steady_timer.hpp>

namespace radishpulley::gateway {

/// Whether the time that was set last is over. The handler of an earlier one can't be cancelled any
/// more once it is queued, and has to ask.
inline bool is_due(const boost::asio::steady_timer& it) {
    return it.expiry() <= boost::asio::steady_timer::clock_type::now();
}

}  // namespace radishpulley::gateway
