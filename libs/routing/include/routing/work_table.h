/// Outstanding work at each endpoint: this daemon's own and that reported by other daemons.
///
/// Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::routing {

/// Total of the requests at one endpoint.
struct endpoint_work {
    std::uint32_t requests = 0;
    /// Prompt tokens that the engine has yet to prefill.
    std::uint64_t unread_tokens = 0;
    /// Tokens that the requests occupy in the engine's memory.
    std::uint64_t memory_tokens = 0;

    endpoint_work& operator+=(const endpoint_work& it) {
        requests += it.requests;
        unread_tokens += it.unread_tokens;
        memory_tokens += it.memory_tokens;
        return *this;
    }
    endpoint_work& operator-=(const endpoint_work& it) {
        requests -= it.requests;
        unread_tokens -= it.unread_tokens;
        memory_tokens -= it.memory_tokens;
        return *this;
    }
};

using work_by_endpoint = std::map<endpoint_id, endpoint_work>;

/// Sequence number of a request on this daemon.
using request_number = std::uint64_t;

/// Sums the work by endpoint.
class work_table {
public:
    /// Records that a request is sent to an endpoint.
    void start(request_number number, const endpoint_id& to, std::uint32_t unread_tokens,
               std::uint32_t memory_tokens);
    /// Records that the endpoint has prefilled the request's prompt.
    void on_prompt_read(request_number number);
    void finish(request_number number);
    /// Replaces the work reported by another daemon; it expires after `lifetime`.
    void on_peer_work(const vm_id& peer, work_by_endpoint work, time_point now, duration lifetime);

    /// Drops expired reports.
    void drop_expired(time_point now);

    /// Returns this daemon's work.
    const work_by_endpoint& own() const { return own_; }
    /// Returns the work of all daemons at one endpoint.
    endpoint_work total(const endpoint_id& id) const;

private:
    struct outstanding_request {
        endpoint_id at;
        std::uint32_t unread_tokens = 0;
        std::uint32_t memory_tokens = 0;
    };
    struct peer_work {
        work_by_endpoint work;
        time_point ends_at{};
    };

    void subtract(const work_by_endpoint& work);

    std::unordered_map<request_number, outstanding_request> requests_;
    work_by_endpoint own_;
    std::map<vm_id, peer_work> peers_;
    /// Total of the peers' work, so that endpoint selection does not iterate over the fleet.
    std::unordered_map<endpoint_id, endpoint_work> peer_total_;
};

}  // namespace radishpulley::routing
