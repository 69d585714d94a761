/// Memory of the VM and descriptors of this process, and the part of both for callers.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

#include "settings/edge_settings.h"

namespace radishpulley::edge {

/// Limits of a process.
struct process_limits {
    /// Memory of the VM.
    std::size_t memory_bytes = 0;
    /// File descriptors, of files and connections together.
    std::size_t descriptors = 0;
};

/// Returns what the settings state, else what the operating system reports.
process_limits process_limits_of(const settings::edge_limits_settings& stated);

/// Reads the text of a control group's memory limit; empty if it states none.
std::optional<std::size_t> parse_memory_limit(std::string_view text);

/// What the data path may use of a process's limits for its callers.
struct caller_allowance {
    std::size_t memory_bytes = 0;
    std::size_t connections = 0;
};

/// Divides the limits of a process between its callers and everything else.
caller_allowance allowance_for_callers(const process_limits& of);

}  // namespace radishpulley::edge
