#include "requests/connection_monitor.h"

#include <algorithm>
#include <stdexcept>

namespace radishpulley::requests {
namespace {

// More doublings would overflow. The maximum backoff is reached long before.
constexpr std::uint32_t max_doublings = 20;

}  // namespace

connection_monitor::connection_monitor(connection_limits limits) : limits_(limits) {
    if (limits.silence_deadline < 2 * limits.heartbeat_interval) {
        throw std::invalid_argument(
            "the silence deadline must be at least two heartbeat intervals");
    }
}

void connection_monitor::opened(connection_number connection, const std::string& remote,
                                time_point now) {
    peer_state& it = peers_[remote];
    it.connection = connection;
    it.is_opening = false;
    it.opened_at = now;
    it.last_received_at = now;
    it.next_heartbeat_at = now + limits_.heartbeat_interval;
}

void connection_monitor::received(connection_number connection, time_point now) {
    for (auto& [remote, it] : peers_) {
        if (it.connection != connection || connection == 0) {
            continue;
        }
        it.last_received_at = now;
        if (now - it.opened_at >= limits_.stable_after) {
            it.failures = 0;
        }
    }
}

void connection_monitor::lost(connection_number connection, const std::string& remote,
                              time_point now) {
    const auto found = peers_.find(remote);
    if (found == peers_.end() || found->second.connection != connection) {
        return;
    }
    schedule_reopen(found->second, now);
}

void connection_monitor::remove(const std::string& remote) {
    peers_.erase(remote);
}

void connection_monitor::schedule_reopen(peer_state& it, time_point now) {
    it.connection = 0;
    it.is_opening = false;
    duration backoff(0);
    if (it.failures > 0) {
        const std::uint32_t doublings = std::min(it.failures - 1, max_doublings);
        backoff = std::min(limits_.max_backoff, limits_.initial_backoff * (1L << doublings));
    }
    ++it.failures;
    it.reopen_at = now + backoff;
}

void connection_monitor::compensate_for_pause(time_point now) {
    const bool was_paused = last_poll_at_ && now - *last_poll_at_ > 2 * limits_.heartbeat_interval;
    last_poll_at_ = now;
    if (!was_paused) {
        return;
    }
    const time_point earliest_received_at =
        now - limits_.silence_deadline + 2 * limits_.heartbeat_interval;
    for (auto& [remote, it] : peers_) {
        it.last_received_at = std::max(it.last_received_at, earliest_received_at);
        it.next_heartbeat_at = std::min(it.next_heartbeat_at, now);
    }
}

std::vector<connection_action> connection_monitor::poll(time_point now) {
    std::vector<connection_action> actions;
    compensate_for_pause(now);
    for (auto& [remote, it] : peers_) {
        if (it.connection != 0 && now - it.last_received_at >= limits_.silence_deadline) {
            actions.push_back(discard_connection{it.connection, remote});
            schedule_reopen(it, now);
        }
        if (it.connection == 0 && !it.is_opening && now >= it.reopen_at) {
            it.is_opening = true;
            actions.push_back(open_replacement{remote});
        }
        if (it.connection != 0 && now >= it.next_heartbeat_at) {
            it.next_heartbeat_at = now + limits_.heartbeat_interval;
            actions.push_back(send_heartbeat{it.connection});
        }
    }
    return actions;
}

}  // namespace radishpulley::requests
