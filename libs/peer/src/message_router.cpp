#include "peer/message_router.h"

namespace radishpulley::peer {

dispatch_result message_router::dispatch(const peer_message& message) {
    const auto it = routes_.find(message.type);
    if (it == routes_.end()) {
        ++counters_.unknown_type;
        return dispatch_result::unknown_type;
    }
    const dispatch_result result = it->second(message);
    if (result == dispatch_result::handled) {
        ++counters_.handled;
    } else {
        ++counters_.malformed_body;
    }
    return result;
}

}  // namespace radishpulley::peer
