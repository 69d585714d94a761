/// Settings of a daemon on a platform's entry VM: a TOML file, checked as a whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::settings {

/// Addresses of the daemon, each IP:PORT.
struct edge_listen_settings {
    std::string callers;
    /// Where the platform asks whether the daemon takes callers.
    std::string readiness;
    /// Datagrams of the other daemons.
    std::string peers;
    std::string metrics;

    friend bool operator==(const edge_listen_settings& a, const edge_listen_settings& b) {
        return std::tie(a.callers, a.readiness, a.peers, a.metrics) ==
               std::tie(b.callers, b.readiness, b.peers, b.metrics);
    }
    friend bool operator!=(const edge_listen_settings& a, const edge_listen_settings& b) {
        return !(a == b);
    }
};

/// The platform's store.
struct edge_store_settings {
    /// IP:PORT.
    std::string address;
};

/// Figures that the platform promises or asks for.
struct edge_bounds_settings {
    /// Time from SIGTERM until the process is killed.
    duration shutdown_grace = std::chrono::seconds(8);
    /// Repeats over all VMs: as a part of the requests, and beyond that part.
    double retry_ratio = 0.2;
    double retry_reserve = 50;
    /// Units by which all VMs together may overdraw an account's limit for a while.
    double limit_reserve = 0;
    /// Time from the acknowledgement of a configuration until it has to be in force.
    duration configuration_apply = std::chrono::milliseconds(2'500);
    /// Time from the acknowledgement that an endpoint is leaving until it gets no new requests.
    duration endpoint_drain = std::chrono::milliseconds(2'500);
    /// Time from the announcement of an adapter's version until no older one is used.
    duration version_apply = std::chrono::milliseconds(5'000);
    /// Time from the acknowledgement that an availability zone is evacuated until its endpoints get
    /// no more requests. Evacuations are not followed where it is not set.
    std::optional<duration> evacuation;
    /// Whether endpoints refuse orders with an old fencing number.
    bool endpoints_check_fencing = false;
};

/// Memory of the VM and descriptors of the process; unset where the platform does not state them.
struct edge_limits_settings {
    std::optional<std::size_t> memory_bytes;
    /// File descriptors of this process.
    std::optional<std::size_t> descriptors;
};

/// All settings.
struct edge_settings {
    vm_id vm;
    zone_id availability_zone;
    region_id region;
    /// Region of each availability zone of the deployment.
    std::map<zone_id, region_id> regions;
    edge_listen_settings listen;
    edge_store_settings store;
    edge_bounds_settings bounds;
    edge_limits_settings limits;
};

/// Reads and checks a file.
/// Throws invalid_input with every finding, each placed as `file:line:column`.
edge_settings load_edge_settings(const std::string& path);

/// Checks `text`; `file_name` stands in the places of the findings. Throws invalid_input.
edge_settings parse_edge_settings(std::string_view text, std::string_view file_name);

}  // namespace radishpulley::settings
