/// Attributes of an endpoint, as it publishes them in the platform's directory.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/identifier.h"

namespace radishpulley::routing {

/// An adapter that an engine holds.
struct held_adapter {
    std::string name;
    std::uint64_t version = 0;
};

/// A base model that an engine holds, with its adapters.
struct held_model {
    std::string name;
    std::uint64_t version = 0;
    std::vector<held_adapter> adapters;
};

/// One directory entry.
struct endpoint {
    endpoint_id id;
    service_id service;
    /// IP address and port.
    std::string address;
    zone_id zone;
    /// Version of its software.
    std::string software_version;
    bool draining = false;
    std::uint32_t slots = 1;
    /// Number of entries that the endpoint has written since its start.
    std::uint64_t heartbeat = 0;
    /// Unix time of the endpoint's start in milliseconds; distinguishes two starts under one id.
    std::int64_t started_at_ms = 0;
    std::vector<held_model> models;
    /// Remaining time for which it is cold; nothing if the entry doesn't state it.
    std::optional<std::chrono::milliseconds> cold_left;
};

/// What the endpoints of one service run. Responses of different software don't fit together, also
/// where the adapter is the same.
struct software {
    service_id service;
    std::string version;

    friend bool operator==(const software& a, const software& b) {
        return a.service == b.service && a.version == b.version;
    }
    friend bool operator!=(const software& a, const software& b) { return !(a == b); }
    friend bool operator<(const software& a, const software& b) {
        return a.service == b.service ? a.version < b.version : a.service < b.service;
    }
};

inline software software_of(const endpoint& it) {
    return {it.service, it.software_version};
}

/// One start of an endpoint. What the endpoint announces is valid only for that start.
struct endpoint_incarnation {
    endpoint_id id;
    std::int64_t started_at_ms = 0;
};

inline endpoint_incarnation incarnation_of(const endpoint& it) {
    return {it.id, it.started_at_ms};
}

}  // namespace radishpulley::routing
