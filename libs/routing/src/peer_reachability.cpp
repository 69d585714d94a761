#include "routing/peer_reachability.h"

#include <iterator>

namespace radishpulley::routing {

void peer_reachability::on_status(const vm_id& from, const std::vector<service_id>& unreached,
                                  time_point now, duration lifetime) {
    if (unreached.empty()) {
        statements_.erase(from);
        return;
    }
    statements_[from] = {{unreached.begin(), unreached.end()}, now + lifetime};
}

void peer_reachability::drop_expired(time_point now) {
    for (auto it = statements_.begin(); it != statements_.end();) {
        it = it->second.ends_at <= now ? statements_.erase(it) : std::next(it);
    }
}

bool peer_reachability::states_unreached(const vm_id& vm, const service_id& service,
                                         time_point now) const {
    const auto found = statements_.find(vm);
    return found != statements_.end() && now < found->second.ends_at &&
           found->second.unreached.count(service) != 0;
}

std::vector<vm_id> peer_reachability::without(const service_id& service, time_point now) const {
    std::vector<vm_id> out;
    for (const auto& [vm, it] : statements_) {
        if (states_unreached(vm, service, now)) {
            out.push_back(vm);
        }
    }
    return out;
}

std::map<vm_id, std::set<service_id>> peer_reachability::unreached(time_point now) const {
    std::map<vm_id, std::set<service_id>> out;
    for (const auto& [vm, it] : statements_) {
        if (now < it.ends_at) {
            out.emplace(vm, it.unreached);
        }
    }
    return out;
}

}  // namespace radishpulley::routing
