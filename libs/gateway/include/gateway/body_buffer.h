/// Body of a message that arrives in parts.
///
/// Parts are kept in blocks, so that a growing body is not copied to a string of twice its size:
/// its memory is its length, one block more and less than a part in each block.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace radishpulley::gateway {

class body_buffer {
public:
    void append(std::string part);
    std::size_t size() const { return size_; }
    /// Number of bytes that are allocated.
    std::size_t capacity() const { return capacity_; }
    /// Returns the whole body and empties the buffer. Each block is freed as it is copied.
    std::string take();
    void clear();

private:
    /// Whether the part fits into the last block.
    bool has_room_for(std::size_t bytes) const;
    void add_block(std::string block);

    std::vector<std::string> blocks_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
};

}  // namespace radishpulley::gateway
