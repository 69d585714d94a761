/// Detects silent connections by heartbeats and schedules their replacement.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"

namespace radishpulley::requests {

/// Number of a connection, unique within a daemon. Numbers are never reused.
using connection_number = std::uint64_t;

/// Timeouts and backoff of connection monitoring.
struct connection_limits {
    duration heartbeat_interval = std::chrono::seconds(2);
    /// Time without received data after which a connection counts as dead; at least two heartbeat
    /// intervals.
    duration silence_deadline = std::chrono::seconds(6);
    /// Backoff before the second consecutive replacement. It doubles up to `max_backoff`.
    duration initial_backoff = std::chrono::milliseconds(250);
    duration max_backoff = std::chrono::seconds(15);
    /// Time for which a connection must receive data before the backoff of its remote is reset.
    duration stable_after = std::chrono::seconds(30);
};

/// Sends a heartbeat on this connection.
struct send_heartbeat {
    connection_number connection = 0;
};
/// Closes the connection, which must not be used again, and reports its attempts as failed.
struct discard_connection {
    connection_number connection = 0;
    std::string remote;
};
/// Opens a new connection to the remote.
struct open_replacement {
    std::string remote;
};
using connection_action = std::variant<send_heartbeat, discard_connection, open_replacement>;

/// Monitors long-lived connections. Not thread-safe.
class connection_monitor {
public:
    /// Throws std::invalid_argument if the silence deadline is shorter than two heartbeat
    /// intervals.
    explicit connection_monitor(connection_limits limits);

    /// Records a new connection, which replaces any earlier connection of the remote.
    void opened(connection_number connection, const std::string& remote, time_point now);
    /// Records that data was received. Late data on a discarded connection is ignored.
    void received(connection_number connection, time_point now);
    /// Records that a connection broke, or that it could not be opened (`connection` is 0 then).
    void lost(connection_number connection, const std::string& remote, time_point now);
    /// Stops monitoring the remote.
    void remove(const std::string& remote);

    /// Returns the actions that are due. Must be called at least once per heartbeat interval. After
    /// a pause of this daemon, no connection counts as silent until the remote has had time to
    /// answer another heartbeat.
    std::vector<connection_action> poll(time_point now);

private:
    struct peer_state {
        connection_number connection = 0;
        time_point opened_at;
        time_point last_received_at;
        time_point next_heartbeat_at;
        time_point reopen_at;
        bool is_opening = false;
        std::uint32_t failures = 0;
    };

    void schedule_reopen(peer_state& it, time_point now);
    void compensate_for_pause(time_point now);

    const connection_limits limits_;
    std::map<std::string, peer_state> peers_;
    std::optional<time_point> last_poll_at_;
};

}  // namespace radishpulley::requests
