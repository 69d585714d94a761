#include "gateway/body_buffer.h"

#include <utility>

namespace radishpulley::gateway {
namespace {

// Capacity of a block that collects small parts; as much as a link reads at once.
constexpr std::size_t block_bytes = 16'384;

}  // namespace

bool body_buffer::has_room_for(std::size_t bytes) const {
    return !blocks_.empty() && blocks_.back().capacity() - blocks_.back().size() >= bytes;
}

void body_buffer::add_block(std::string block) {
    capacity_ += block.capacity();
    blocks_.push_back(std::move(block));
}

void body_buffer::append(std::string part) {
    if (part.empty()) {
        return;
    }
    size_ += part.size();
    const bool is_whole_block = blocks_.empty() || part.size() >= block_bytes;
    if (has_room_for(part.size())) {
        blocks_.back() += part;
    } else if (is_whole_block) {
        add_block(std::move(part));
    } else {
        std::string block;
        block.reserve(block_bytes);
        block += part;
        add_block(std::move(block));
    }
}

std::string body_buffer::take() {
    std::string out;
    if (blocks_.size() == 1) {
        out = std::move(blocks_.front());
    } else {
        out.reserve(size_);
        for (std::string& it : blocks_) {
            out += std::exchange(it, {});
        }
    }
    clear();
    return out;
}

void body_buffer::clear() {
    blocks_ = std::vector<std::string>();
    size_ = 0;
    capacity_ = 0;
}

}  // namespace radishpulley::gateway
