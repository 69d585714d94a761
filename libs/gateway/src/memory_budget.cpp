#include "gateway/memory_budget.h"

#include <tuple>

namespace radishpulley::gateway {
namespace {

// Time without progress after which a holder is turned away before those that make some. A caller
// on a lossy link may need a retransmission or two between its bytes.
constexpr duration stall_time = std::chrono::milliseconds(500);
// Bytes that count as progress. Callers that send byte by byte hold memory for long.
constexpr std::size_t progress_bytes = 1'024;

}  // namespace

memory_budget::holder_id memory_budget::add(time_point now) {
    holder it;
    it.progress = now;
    holders_.emplace(++last_id_, it);
    return last_id_;
}

void memory_budget::remove(holder_id id) {
    const auto found = holders_.find(id);
    if (found != holders_.end()) {
        held_ -= found->second.bytes;
        holders_.erase(found);
    }
}

void memory_budget::set_held(holder_id id, std::size_t bytes) {
    const auto found = holders_.find(id);
    if (found != holders_.end()) {
        held_ += bytes;
        held_ -= found->second.bytes;
        found->second.bytes = bytes;
    }
}

void memory_budget::set_wait(holder_id id, holder_wait wait, time_point now) {
    const auto found = holders_.find(id);
    if (found != holders_.end() && found->second.wait != wait) {
        found->second.wait = wait;
        found->second.progress = now;
        found->second.moved = 0;
    }
}

void memory_budget::note_moved(holder_id id, std::size_t bytes, time_point now) {
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    found->second.moved += bytes;
    if (found->second.moved >= progress_bytes) {
        found->second.moved = 0;
        found->second.progress = now;
    }
}

bool memory_budget::is_stalled(const holder& it, time_point now) {
    return it.wait == holder_wait::for_caller && now - it.progress >= stall_time;
}

std::optional<memory_budget::holder_id> memory_budget::holder_to_turn_away(time_point now) const {
    std::optional<holder_id> out;
    std::tuple<bool, std::size_t> worst;
    for (const auto& [id, it] : holders_) {
        const std::tuple<bool, std::size_t> rank(is_stalled(it, now), it.bytes);
        if (it.bytes > 0 && (!out || rank > worst)) {
            out = id;
            worst = rank;
        }
    }
    return out;
}

std::optional<memory_budget::holder_id> memory_budget::connection_to_close(time_point now) const {
    std::optional<holder_id> out;
    std::tuple<bool, duration> worst;
    for (const auto& [id, it] : holders_) {
        const bool is_idle = it.wait == holder_wait::idle;
        const std::tuple<bool, duration> rank(is_idle, now - it.progress);
        if ((is_idle || is_stalled(it, now)) && (!out || rank > worst)) {
            out = id;
            worst = rank;
        }
    }
    return out;
}

}  // namespace radishpulley::gateway
