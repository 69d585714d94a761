/// Work under way at each endpoint: what this daemon sent, and what other daemons say they sent.
///
/// Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "base/clock.h"
#include "base/identifier.h"

namespace radishpulley::routing {

/// Sum of the requests at one endpoint.
struct endpoint_work {
    std::uint32_t requests = 0;
    /// Prompt tokens that the engine has still to read.
    std::uint64_t unread_tokens = 0;
    /// Tokens that the requests take in the engine's memory.
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

/// Number of a request on this daemon.
using request_number = std::uint64_t;

/// Adds up the work by endpoint.
class work_table {
public:
    /// A request goes to an endpoint.
    void start(request_number number, const endpoint_id& to, std::uint32_t unread_tokens,
               std::uint32_t memory_tokens);
    /// The endpoint has read the request's prompt.
    void on_prompt_read(request_number number);
    void finish(request_number number);
    /// Takes what another daemon has under way; it counts for `lifetime`.
    void on_peer_work(const vm_id& peer, work_by_endpoint work, time_point now, duration lifetime);

    /// Drops the statements whose lifetime is over.
    void drop_expired(time_point now);

    /// Work of this daemon.
    const work_by_endpoint& own() const { return own_; }
    /// Work of all daemons at one endpoint.
    endpoint_work total(const endpoint_id& id) const;

private:
    struct running {
        endpoint_id at;
        std::uint32_t unread_tokens = 0;
        std::uint32_t memory_tokens = 0;
    };
    struct peer_work {
        work_by_endpoint work;
        time_point ends_at{};
    };

    void take_back(const work_by_endpoint& work);

    std::unordered_map<request_number, running> running_;
    work_by_endpoint own_;
    std::map<vm_id, peer_work> peers_;
    /// Sum of the peers' work, so that a choice costs no pass over the fleet.
    std::unordered_map<endpoint_id, endpoint_work> others_;
};

}  // namespace radishpulley::routing
