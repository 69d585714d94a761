#include "routing/work_table.h"

namespace radishpulley::routing {

void work_table::start(request_number number, const endpoint_id& to, std::uint32_t unread_tokens,
                       std::uint32_t memory_tokens) {
    finish(number);
    running_[number] = {to, unread_tokens, memory_tokens};
    own_[to] += {1, unread_tokens, memory_tokens};
}

void work_table::on_prompt_read(request_number number) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
        return;
    }
    own_[found->second.at].unread_tokens -= found->second.unread_tokens;
    found->second.unread_tokens = 0;
}

void work_table::finish(request_number number) {
    const auto found = running_.find(number);
    if (found == running_.end()) {
        return;
    }
    const auto work = own_.find(found->second.at);
    work->second.requests -= 1;
    work->second.unread_tokens -= found->second.unread_tokens;
    work->second.memory_tokens -= found->second.memory_tokens;
    if (work->second.requests == 0) {
        own_.erase(work);
    }
    running_.erase(found);
}

void work_table::on_peer(const vm_id& peer, work_by_endpoint work, time_point now,
                         duration lifetime) {
    peers_[peer] = {std::move(work), now + lifetime};
}

endpoint_work work_table::total(const endpoint_id& id, time_point now) const {
    endpoint_work sum;
    const auto own = own_.find(id);
    if (own != own_.end()) {
        sum += own->second;
    }
    for (const auto& [vm, peer] : peers_) {
        if (now > peer.ends_at) {
            continue;
        }
        const auto found = peer.work.find(id);
        if (found != peer.work.end()) {
            sum += found->second;
        }
    }
    return sum;
}

}  // namespace radishpulley::routing
