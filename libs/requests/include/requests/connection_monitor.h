/// Finds connections that went silent and has them replaced by new ones.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace radishpulley::requests {

/// Numbers the connections of a daemon; never used twice.
using connection_number = std::uint64_t;

/// Times of the supervision.
struct connection_limits {
    duration heartbeat_interval = std::chrono::seconds(2);
    /// Silence after which a connection counts as dead; at least two heartbeats.
    duration silence_deadline = std::chrono::seconds(6);
    /// Wait before the second replacement in a row; it doubles up to the maximum.
    duration first_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(15);
    /// Time that a connection must be heard for, until its remote counts as steady again.
    duration steady_after = std::chrono::seconds(30);
};

/// Send a heartbeat on this connection.
struct send_heartbeat {
    connection_number connection = 0;
};
/// Close the connection and report its attempts as failed. Never use it again.
struct discard_connection {
    connection_number connection = 0;
    std::string remote;
};
/// Open a new connection to the remote.
struct open_replacement {
    std::string remote;
};
using connection_action = std::variant<send_heartbeat, discard_connection, open_replacement>;

/// Supervises long-lived connections. Not safe for concurrent calls.
class connection_monitor {
public:
    /// Throws std::invalid_argument where the silence deadline is under two heartbeats.
    explicit connection_monitor(connection_limits limits);

    /// A connection was opened; one that the remote had before is no longer supervised.
    void opened(connection_number connection, const std::string& remote, time_point now);
    /// Anything was received on a connection; late words on a discarded one are ignored.
    void received(connection_number connection, time_point now);
    /// A connection broke, or could not be opened (`connection` is then 0).
    void lost(connection_number connection, const std::string& remote, time_point now);
    /// The remote is no longer wanted.
    void remove(const std::string& remote);

    /// Returns what is to be done now; call it at least once per heartbeat interval. After a pause
    /// of this daemon nothing counts as silent until another heartbeat could be answered.
    std::vector<connection_action> poll(time_point now);

private:
    struct peer {
        connection_number connection = 0;
        time_point opened_at;
        time_point heard_at;
        time_point heartbeat_at;
        time_point reopen_at;
        bool opening = false;
        std::uint32_t failures = 0;
    };

    void schedule(peer& it, time_point now);
    void allow_for_pause(time_point now);

    const connection_limits limits_;
    std::map<std::string, peer> peers_;
    std::optional<time_point> polled_at_;
};

}  // namespace radishpulley::requests
