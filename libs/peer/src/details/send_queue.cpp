#include "details/send_queue.h"

#include <algorithm>

namespace radishpulley::peer::detail {

send_queue::push_result send_queue::push(std::string frame, bool is_heartbeat) {
    push_result result;
    while (!has_room(frame.size()) && drop_heartbeat()) {
        ++result.heartbeats_dropped;
    }
    if (!has_room(frame.size())) {
        return result;
    }
    bytes_ += frame.size();
    frames_.push_back({std::move(frame), is_heartbeat});
    result.is_queued = true;
    return result;
}

std::optional<std::string> send_queue::pop() {
    if (frames_.empty()) {
        return std::nullopt;
    }
    std::string frame = std::move(frames_.front().frame);
    frames_.pop_front();
    bytes_ -= frame.size();
    return frame;
}

bool send_queue::has_room(std::size_t n) const {
    return frames_.size() < max_frames && bytes_ + n <= max_bytes;
}

bool send_queue::drop_heartbeat() {
    const auto it = std::find_if(frames_.begin(), frames_.end(),
                                 [](const entry& queued) { return queued.is_heartbeat; });
    if (it == frames_.end()) {
        return false;
    }
    bytes_ -= it->frame.size();
    frames_.erase(it);
    return true;
}

}  // namespace radishpulley::peer::detail
