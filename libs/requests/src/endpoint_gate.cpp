#include "requests/endpoint_gate.h"

namespace radishpulley::requests {

bool endpoint_gate::close(const endpoint_id& endpoint, leaving_reason reason) {
    auto& reasons = closed_[endpoint];
    const bool was_open = reasons.empty();
    reasons.insert(reason);
    return was_open;
}

void endpoint_gate::reopen(const endpoint_id& endpoint, leaving_reason reason) {
    const auto it = closed_.find(endpoint);
    if (it == closed_.end()) {
        return;
    }
    it->second.erase(reason);
    if (it->second.empty()) {
        closed_.erase(it);
    }
}

bool endpoint_gate::may_start(const endpoint_id& endpoint) const {
    return closed_.count(endpoint) == 0;
}

void endpoint_gate::started(const endpoint_id& endpoint) {
    ++running_[endpoint];
}

void endpoint_gate::ended(const endpoint_id& endpoint) {
    const auto it = running_.find(endpoint);
    if (it != running_.end() && --it->second == 0) {
        running_.erase(it);
    }
}

std::size_t endpoint_gate::running(const endpoint_id& endpoint) const {
    const auto it = running_.find(endpoint);
    return it == running_.end() ? 0 : it->second;
}

}  // namespace radishpulley::requests
