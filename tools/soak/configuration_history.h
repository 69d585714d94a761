/// Determines which versions of the configuration are consistent with a response of the system.
///
/// Has no side effects: the run supplies what the operator published and what callers observed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "platform_standins/operator_standin.h"

namespace radishpulley::soak {

using platform_adapter::standins::plain_configuration;

/// A request that a caller sent.
struct probe {
    std::string route;
    std::string key;
    time_point sent{};
};

/// An endpoint of the service ran the request.
struct served_by {
    std::string service;
};
/// The system refused the request because no route matches.
struct route_not_found {};
/// The system refused the request because its API key is unknown.
struct key_rejected {};
/// Any other outcome, which does not depend on the configuration.
struct inconclusive {};

using probe_outcome = std::variant<served_by, route_not_found, key_rejected, inconclusive>;

/// The lowest and the highest version that are consistent with a response, among the versions
/// published before it.
struct version_range {
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/// All configuration versions of a run in order.
class configuration_history {
public:
    /// Records that the operator publishes a version, which is higher than all earlier ones.
    void on_sent(const plain_configuration& it, time_point now);
    /// Records that the store has acknowledged a version.
    void on_acknowledged(std::uint64_t version, time_point now);

    /// Returns the versions that are consistent with the outcome, or nothing if there are none.
    std::optional<version_range> matching_versions(const probe& it, const probe_outcome& outcome,
                                                   time_point ended) const;
    /// Returns the newest version acknowledged at or before `when`; 0 if there is none.
    std::uint64_t acknowledged_at(time_point when) const;
    const plain_configuration& newest() const { return versions_.back().content; }
    bool empty() const { return versions_.empty(); }

private:
    struct version_entry {
        plain_configuration content;
        time_point sent;
        std::optional<time_point> acknowledged;
    };

    std::vector<version_entry> versions_;
};

/// Returns whether a version is consistent with the outcome of a request.
bool allows(const plain_configuration& version, const probe& it, const probe_outcome& outcome);

}  // namespace radishpulley::soak
