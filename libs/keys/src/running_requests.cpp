#include "keys/running_requests.h"

namespace radishpulley::keys {

std::vector<request_id> requests_to_end(gsl::span<const running_request> running,
                                        const model::configuration& now) {
    std::vector<request_id> ended;
    for (const running_request& it : running) {
        const model::key* current = now.find_key(it.key);
        const bool valid =
            current != nullptr && current->digest == it.digest && current->account == it.account;
        if (!valid) {
            ended.push_back(it.request);
        }
    }
    return ended;
}

}  // namespace radishpulley::keys
