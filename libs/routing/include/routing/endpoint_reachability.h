/// Tells whether this VM alone is cut off from the endpoints of a service, from what its own
/// connections show.
///
/// Pure; not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/contact_failure.h"
#include "routing/endpoint_directory.h"

namespace radishpulley::routing {

/// Time limits of the decision.
struct reachability_settings {
    /// Time for which a failure counts beside those of other endpoints.
    duration failure_lifetime = std::chrono::seconds(3);
    /// Time after a response on a kept connection for which failing new connections are no cut.
    duration kept_contact_lifetime = std::chrono::seconds(1);
};

/// A failure of contact with an endpoint.
struct contact_evidence {
    endpoint_id endpoint;
    contact_failure by{};
    time_point at{};
};

/// A service that this VM reaches again.
struct service_regained {
    service_id service;
    contact_proof by{};
    /// When it was found cut off.
    time_point lost_at{};
    /// Whether new connections still failed when a kept one brought a response.
    bool only_kept_connections = false;
    /// Endpoints that failed while it was cut off, and the failures that showed it.
    std::set<endpoint_id> failed;
};

/// Reachability of services. A service is cut off from this VM when contact with two of its
/// endpoints, or with its only one, has failed and no endpoint of it has been reached since. Once
/// one service is cut off, one failure is enough for each of the others that was not reached since.
class endpoint_reachability {
public:
    explicit endpoint_reachability(const endpoint_directory& directory,
                                   reachability_settings settings = {})
        : directory_(directory), settings_(settings) {}

    /// Records a failure of contact; returns the services that are cut off from now on,
    /// ordered by id.
    std::vector<service_id> on_failed(const endpoint_id& id, contact_failure by, time_point now);
    /// Records that an endpoint was reached; returns its service if that was cut off.
    std::optional<service_regained> on_contact(const endpoint_id& id, contact_proof by,
                                               time_point now);
    /// Forgets the failures of an endpoint that was removed or has restarted.
    void forget(const endpoint_id& id);

    bool reaches(const service_id& it) const;
    /// Returns the services that are cut off, ordered by id.
    std::vector<service_id> unreached() const;
    /// Returns the failures since an endpoint of the service was reached last, one an endpoint.
    std::vector<contact_evidence> evidence(const service_id& it) const;

private:
    struct record {
        /// The newest failure of each endpoint since any was reached.
        std::map<endpoint_id, contact_evidence> failures;
        /// Endpoints whose new connections fail; empty once one was established.
        std::set<endpoint_id> refuse_connections;
        std::optional<time_point> reached_at;
        std::optional<time_point> received_at;
        std::optional<time_point> lost_at;
        std::set<endpoint_id> failed_while_lost;
    };

    /// Number of endpoints whose failures show that the service is cut off.
    std::size_t failures_needed(const service_id& service, const record& it) const;
    /// Whether any service was found cut off and this one was not reached since.
    bool is_beside_cut(const record& it) const;
    bool is_new_connection_of_kept_service(const record& it, contact_failure by,
                                           time_point now) const;
    std::size_t recent_failures(const record& it, time_point now) const;
    /// Marks each service as cut off whose failures show it now.
    std::vector<service_id> mark_lost(time_point now);

    const endpoint_directory& directory_;
    reachability_settings settings_;
    std::map<service_id, record> services_;
};

}  // namespace radishpulley::routing
