/// Tracks which endpoints accept new requests.
#pragma once

#include <map>
#include <set>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::requests {

/// Reason why an endpoint gets no new requests.
enum class leaving_reason {
    /// A configuration ticket marked it as draining or removed it.
    configured,
    /// The endpoint itself announced that it is leaving.
    announced
};

/// Must be checked when an endpoint is chosen and again immediately before the first byte is
/// written. Not thread-safe.
class endpoint_gate {
public:
    /// Closes the endpoint. Returns true if it was open; the caller must then deliver
    /// events::endpoint_leaving to every request that is not yet sent to it.
    bool close(const endpoint_id& endpoint, leaving_reason reason);
    /// Withdraws one reason. The endpoint opens when no reason is left.
    void reopen(const endpoint_id& endpoint, leaving_reason reason);
    bool may_start(const endpoint_id& endpoint) const;

    /// Counts a running attempt, so that operators can see when an endpoint has drained.
    void started(const endpoint_id& endpoint);
    void ended(const endpoint_id& endpoint);
    std::size_t running(const endpoint_id& endpoint) const;

private:
    std::map<endpoint_id, std::set<leaving_reason>> closed_;
    std::map<endpoint_id, std::size_t> running_;
};

}  // namespace radishpulley::requests
