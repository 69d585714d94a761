#include "peer/transport.h"

namespace radishpulley::peer {

const char* to_string(peer_fault fault) {
    switch (fault) {
        case peer_fault::connection_refused:
            return "connection_refused";
        case peer_fault::timed_out:
            return "timed_out";
        case peer_fault::silent:
            return "silent";
        case peer_fault::closed:
            return "closed";
        case peer_fault::authentication_failed:
            return "authentication_failed";
        case peer_fault::wrong_version:
            return "wrong_version";
        case peer_fault::old_incarnation:
            return "old_incarnation";
        case peer_fault::superseded:
            return "superseded";
        case peer_fault::replaced:
            return "replaced";
        case peer_fault::malformed:
            return "malformed";
    }
    return "unknown";
}

std::vector<counter_entry> list_counters(const transport_counters& it) {
    std::vector<counter_entry> entries = {
        {"frames_sent", it.frames_sent},
        {"bytes_sent", it.bytes_sent},
        {"frames_received", it.frames_received},
        {"bytes_received", it.bytes_received},
        {"oversize_frames", it.oversize_frames},
        {"malformed_frames", it.malformed_frames},
        {"wrong_versions", it.wrong_versions},
        {"wrong_senders", it.wrong_senders},
        {"authentication_failures", it.authentication_failures},
        {"old_incarnations", it.old_incarnations},
        {"silent_connections", it.silent_connections},
        {"refused_connections", it.refused_connections},
        {"heartbeats_dropped", it.heartbeats_dropped},
        {"messages_refused", it.messages_refused},
    };
    static_assert(sizeof(it) == 14 * sizeof(std::uint64_t), "a counter is missing from the list");
    return entries;
}

}  // namespace radishpulley::peer
