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

}  // namespace radishpulley::peer
