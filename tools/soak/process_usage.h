/// Memory and file descriptors of a process, as the operating system reports them.
#pragma once

#include <cstddef>
#include <cstdint>

#include <sys/types.h>

namespace radishpulley::soak {

/// Resident memory of a process in bytes; zeros once it has ended.
struct resident_memory {
    std::size_t now = 0;
    /// Largest value since the process started.
    std::size_t peak = 0;
};

resident_memory read_resident_memory(pid_t process);

/// Returns the number of open descriptors of a process; 0 once it has ended.
std::size_t count_descriptors(pid_t process);

/// Returns the bytes that have arrived on all connections accepted at a local TCP port and that
/// their process has not read.
std::size_t count_unread_bytes(std::uint16_t port);

}  // namespace radishpulley::soak
