/// Ways in which contact with an endpoint fails or succeeds, as a VM sees it.
#pragma once

#include <string_view>

namespace radishpulley::routing {

/// How contact with an endpoint failed. What an endpoint answers, or that it is slow to answer, is
/// no such failure.
enum class contact_failure {
    /// A new connection was not answered in time.
    connect_timed_out,
    /// A new connection was refused.
    connect_refused,
    /// A new connection failed in another way.
    connect_failed,
    /// A connection was reset or broke.
    connection_broken,
    /// The endpoint's system does not acknowledge what is sent on a connection.
    no_progress
};

/// Proof that an endpoint is reached.
enum class contact_proof {
    /// A new connection was established.
    connected,
    /// Bytes arrived on a connection.
    received
};

constexpr std::string_view to_text(contact_failure it) {
    switch (it) {
        case contact_failure::connect_timed_out:
            return "connect_timed_out";
        case contact_failure::connect_refused:
            return "connect_refused";
        case contact_failure::connect_failed:
            return "connect_failed";
        case contact_failure::connection_broken:
            return "connection_broken";
        case contact_failure::no_progress:
            return "no_progress";
    }
    return "unknown";
}

constexpr std::string_view to_text(contact_proof it) {
    return it == contact_proof::connected ? "connected" : "received";
}

}  // namespace radishpulley::routing
