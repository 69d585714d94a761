#include "requests/connection_monitor.h"

#include <algorithm>
#include <stdexcept>

namespace radishpulley::requests {
namespace {

// Doubling further would only overflow; the maximum backoff is reached long before.
constexpr std::uint32_t max_doublings = 20;

}  // namespace

connection_monitor::connection_monitor(connection_limits limits) : limits_(limits) {
    if (limits.silence_deadline < 2 * limits.heartbeat_interval) {
        throw std::invalid_argument("the silence deadline must hold two heartbeats");
    }
}

void connection_monitor::opened(connection_number connection, const std::string& remote,
                                time_point now) {
    peer& it = peers_[remote];
    it.connection = connection;
    it.opening = false;
    it.opened_at = now;
    it.heard_at = now;
    it.heartbeat_at = now + limits_.heartbeat_interval;
}

void connection_monitor::received(connection_number connection, time_point now) {
    for (auto& [remote, it] : peers_) {
        if (it.connection != connection || connection == 0) {
            continue;
        }
        it.heard_at = now;
        if (now - it.opened_at >= limits_.steady_after) {
            it.failures = 0;
        }
    }
}

void connection_monitor::lost(connection_number connection, const std::string& remote,
                              time_point now) {
    const auto held = peers_.find(remote);
    if (held == peers_.end() || held->second.connection != connection) {
        return;
    }
    schedule(held->second, now);
}

void connection_monitor::remove(const std::string& remote) {
    peers_.erase(remote);
}

void connection_monitor::schedule(peer& it, time_point now) {
    it.connection = 0;
    it.opening = false;
    duration wait(0);
    if (it.failures > 0) {
        const std::uint32_t doublings = std::min(it.failures - 1, max_doublings);
        wait = std::min(limits_.max_backoff, limits_.first_backoff * (1L << doublings));
    }
    ++it.failures;
    it.reopen_at = now + wait;
}

void connection_monitor::allow_for_pause(time_point now) {
    const bool was_paused = polled_at_ && now - *polled_at_ > 2 * limits_.heartbeat_interval;
    polled_at_ = now;
    if (!was_paused) {
        return;
    }
    const time_point earliest = now - limits_.silence_deadline + 2 * limits_.heartbeat_interval;
    for (auto& [remote, it] : peers_) {
        it.heard_at = std::max(it.heard_at, earliest);
        it.heartbeat_at = std::min(it.heartbeat_at, now);
    }
}

std::vector<connection_action> connection_monitor::poll(time_point now) {
    std::vector<connection_action> actions;
    allow_for_pause(now);
    for (auto& [remote, it] : peers_) {
        if (it.connection != 0 && now - it.heard_at >= limits_.silence_deadline) {
            actions.push_back(discard_connection{it.connection, remote});
            schedule(it, now);
        }
        if (it.connection == 0 && !it.opening && now >= it.reopen_at) {
            it.opening = true;
            actions.push_back(open_replacement{remote});
        }
        if (it.connection != 0 && now >= it.heartbeat_at) {
            it.heartbeat_at = now + limits_.heartbeat_interval;
            actions.push_back(send_heartbeat{it.connection});
        }
    }
    return actions;
}

}  // namespace radishpulley::requests
