#include "routing/work_table.h"

#include <iterator>

namespace radishpulley::routing {

void work_table::start(request_number number, const endpoint_id& to, std::uint32_t unread_tokens,
                       std::uint32_t memory_tokens) {
    finish(number);
    requests_[number] = {to, unread_tokens, memory_tokens};
    own_[to] += {1, unread_tokens, memory_tokens};
}

void work_table::on_prompt_read(request_number number) {
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    own_[found->second.at].unread_tokens -= found->second.unread_tokens;
    found->second.unread_tokens = 0;
}

void work_table::finish(request_number number) {
    const auto found = requests_.find(number);
    if (found == requests_.end()) {
        return;
    }
    const auto work = own_.find(found->second.at);
    work->second.requests -= 1;
    work->second.unread_tokens -= found->second.unread_tokens;
    work->second.memory_tokens -= found->second.memory_tokens;
    if (work->second.requests == 0) {
        own_.erase(work);
    }
    requests_.erase(found);
}

void work_table::subtract(const work_by_endpoint& work) {
    for (const auto& [id, it] : work) {
        const auto found = peer_total_.find(id);
        found->second -= it;
        if (found->second.requests == 0) {
            peer_total_.erase(found);
        }
    }
}

void work_table::on_peer_work(const vm_id& peer, work_by_endpoint work, time_point now,
                              duration lifetime) {
    peer_work& report = peers_[peer];
    subtract(report.work);
    // Work without requests would leave entries that are never subtracted.
    for (auto it = work.begin(); it != work.end();) {
        it = it->second.requests == 0 ? work.erase(it) : std::next(it);
    }
    report = {std::move(work), now + lifetime};
    for (const auto& [id, it] : report.work) {
        peer_total_[id] += it;
    }
}

void work_table::drop_expired(time_point now) {
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (now > it->second.ends_at) {
            subtract(it->second.work);
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
    const auto others = peer_total_.find(id);
    if (others != peer_total_.end()) {
        sum += others->second;
    }
    return sum;
}

}  // namespace radishpulley::routing
