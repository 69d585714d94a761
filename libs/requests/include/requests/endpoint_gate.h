/// Tells whether an endpoint may get new work.
#pragma once

#include <map>
#include <set>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::requests {

/// Why an endpoint gets no new work.
enum class leaving_reason {
    /// A ticket marked it as draining or removed it.
    configured,
    /// The endpoint itself said that it is leaving.
    announced
};

/// Ask it when an endpoint is chosen and again right before the first byte is written.
/// Not safe for concurrent calls.
class endpoint_gate {
public:
    /// Closes the endpoint. Returns true if it was open, and then every request whose attempt is
    /// not yet sent there must get events::endpoint_leaving.
    bool close(const endpoint_id& endpoint, leaving_reason reason);
    /// Takes one reason back; the endpoint opens when none is left.
    void reopen(const endpoint_id& endpoint, leaving_reason reason);
    bool may_start(const endpoint_id& endpoint) const;

    /// Counts a running attempt, so that operators see when an endpoint is empty.
    void started(const endpoint_id& endpoint);
    void ended(const endpoint_id& endpoint);
    std::size_t running(const endpoint_id& endpoint) const;

private:
    std::map<endpoint_id, std::set<leaving_reason>> closed_;
    std::map<endpoint_id, std::size_t> running_;
};

}  // namespace radishpulley::requests
