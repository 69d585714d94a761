#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace radishpulley::peer::detail {

// Frames that wait for one peer, bounded by number and by bytes. When it is full, heartbeats make
// room first, the oldest before the others; what then doesn't fit is refused.
class send_queue {
public:
    static constexpr std::size_t max_frames = 1024;
    static constexpr std::size_t max_bytes = 4'194'304;

    struct push_result {
        bool is_queued = false;
        std::uint64_t heartbeats_dropped = 0;
    };

    push_result push(std::string frame, bool is_heartbeat);
    std::optional<std::string> pop();
    bool empty() const { return frames_.empty(); }

private:
    struct entry {
        std::string frame;
        bool is_heartbeat = false;
    };

    bool has_room(std::size_t n) const;
    bool drop_heartbeat();

    std::deque<entry> frames_;
    std::size_t bytes_ = 0;
};

}  // namespace radishpulley::peer::detail
