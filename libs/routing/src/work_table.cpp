#include "routing/work_table.h"

#include <iterator>

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

void work_table::take_back(const work_by_endpoint& work) {
    for (const auto& [id, it] : work) {
        const auto found = others_.find(id);
        found->second -= it;
        if (found->second.requests == 0) {
            others_.erase(found);
        }
    }
}

void work_table::on_peer_work(const vm_id& peer, work_by_endpoint work, time_point now,
                         duration lifetime) {
    peer_work& known = peers_[peer];
    take_back(known.work);
    // Work without requests would leave entries that nobody takes back.
    for (auto it = work.begin(); it != work.end();) {
        it = it->second.requests == 0 ? work.erase(it) : std::next(it);
    }
    known = {std::move(work), now + lifetime};
    for (const auto& [id, it] : known.work) {
        others_[id] += it;
    }
}

void work_table::drop_expired(time_point now) {
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now > it->second.ends_at) {
            take_back(it->second.work);
            it = peers_.erase(it);
        } else {
            ++it;
        }
    }
}

endpoint_work work_table::total(const endpoint_id& id) const {
    endpoint_work sum;
    const auto own = own_.find(id);
    if (own != own_.end()) {
        sum += own->second;
    }
    const auto others = others_.find(id);
    if (others != others_.end()) {
        sum += others->second;
    }
    return sum;
}

}  // namespace radishpulley::routing
