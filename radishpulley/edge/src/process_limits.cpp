#include "process_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <string>

namespace radishpulley::edge {
namespace {

// Part of the VM's memory for what callers hold. The rest is for the process without callers (15 MB
// at first, more with the store's lists), buffers of the operating system, unused parts of the heap
// and whatever else runs on the VM.
constexpr double memory_part_of_callers = 0.35;
// Part of the VM's memory for connections that hold nothing else.
constexpr double memory_part_of_connections = 0.1;
// An idle connection's objects here and in the operating system.
constexpr std::size_t bytes_per_connection = 8'192;
// Descriptors of files.
constexpr std::size_t descriptors_of_files = 200;
// Part of the other descriptors for callers. The rest is for endpoints, the store, other VMs and
// the status addresses.
constexpr double descriptor_part_of_callers = 0.6;
// A process with less could not serve anyone.
constexpr std::size_t min_connections = 16;
// Where a control group states its limit to the processes in it: version 2, version 1.
constexpr const char* memory_limit_files[] = {"/sys/fs/cgroup/memory.max",
                                              "/sys/fs/cgroup/memory/memory.limit_in_bytes"};

std::size_t part_of(std::size_t whole, double part) {
    return static_cast<std::size_t>(static_cast<double>(whole) * part);
}

std::size_t total_memory() {
    return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
           static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t reported_memory() {
    std::size_t least = total_memory();
    for (const char* path : memory_limit_files) {
        std::ifstream file(path);
        std::string line;
        std::getline(file, line);
        least = std::min(least, parse_memory_limit(line).value_or(least));
    }
    return least;
}

std::size_t reported_descriptors() {
    rlimit it{};
    getrlimit(RLIMIT_NOFILE, &it);
    return it.rlim_cur;
}

}  // namespace

std::optional<std::size_t> parse_memory_limit(std::string_view text) {
    std::size_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value);
    const bool is_number = ec == std::errc() && stop == end;
    return is_number && value > 0 ? std::optional(value) : std::nullopt;
}

process_limits process_limits_of(const settings::edge_limits_settings& stated) {
    process_limits out;
    out.memory_bytes = stated.memory_bytes ? *stated.memory_bytes : reported_memory();
    out.descriptors = stated.descriptors ? *stated.descriptors : reported_descriptors();
    return out;
}

caller_allowance allowance_for_callers(const process_limits& of) {
    const std::size_t descriptors = of.descriptors - std::min(of.descriptors, descriptors_of_files);
    const std::size_t by_descriptors = part_of(descriptors, descriptor_part_of_callers);
    const std::size_t by_memory =
        part_of(of.memory_bytes, memory_part_of_connections) / bytes_per_connection;
    caller_allowance out;
    out.memory_bytes = part_of(of.memory_bytes, memory_part_of_callers);
    out.connections = std::max(min_connections, std::min(by_descriptors, by_memory));
    return out;
}

}  // namespace radishpulley::edge
