/// When to return freed memory to the operating system.
#pragma once

#include <algorithm>
#include <cstddef>

namespace radishpulley::edge {

/// Decides by the memory that callers hold. The allocator keeps freed blocks of bodies, and to
/// search the heap for them takes milliseconds. Pure; not thread-safe.
class heap_trim {
public:
    /// Memory that has to be freed before the heap is searched for it.
    static constexpr std::size_t least_freed_bytes = 8'388'608;

    /// Records what callers hold now; returns whether enough has been freed since the last trim.
    bool on_held(std::size_t bytes) {
        peak_ = std::max(peak_, bytes);
        if (peak_ - bytes < least_freed_bytes) {
            return false;
        }
        peak_ = bytes;
        return true;
    }

private:
    /// Most that was held at once since the last trim.
    std::size_t peak_ = 0;
};

}  // namespace radishpulley::edge
