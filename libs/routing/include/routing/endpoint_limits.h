/// Enforces the request rate limits that endpoints announce, across all VMs.
///
/// Each VM receives only the responses to its own requests, so the VMs advertise limits to each
/// other. A limit is split in equal shares among as many VMs as it has whole requests per second.
/// Every VM computes the same set of VMs from the endpoint and the serving VMs; the others send the
/// endpoint nothing. No agreement is needed: two VMs whose views of the fleet differ both send for
/// a moment, each at its own share. Pure; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "base/identifier.h"
#include "routing/endpoint.h"
#include "routing/token_bucket.h"

namespace radishpulley::routing {

/// A VM's latest information on an endpoint's limit, sent to the other VMs.
struct advertised_limit {
    endpoint_id endpoint;
    /// Start of the endpoint that announced it.
    std::int64_t started_at_ms = 0;
    /// Requests per second; nothing once the endpoint no longer announces a limit.
    std::optional<double> rate;
    /// Time since the response that it comes from, in milliseconds.
    std::uint32_t age_ms = 0;
};

/// What a response shows of the endpoint's limit.
struct limit_observation {
    std::optional<double> rate;
    /// When the request was sent and when its response arrived.
    time_point sent{};
    time_point answered{};
    /// Whether a limited endpoint would have announced its limit in this response.
    bool is_complete = false;
};

/// Minimum rate and retention times.
struct limit_settings {
    /// Minimum requests per second to an endpoint however low its limit is, so that the end of the
    /// limit is detected.
    double min_rate = 0.1;
    /// Age above which an unconfirmed limit is probed by all VMs, each at its own share.
    duration confirmation_lifetime = std::chrono::seconds(60);
    /// Time for which the end of a limit is advertised to other VMs.
    duration end_retention = std::chrono::seconds(60);
    /// Age above which an unconfirmed limit is dropped: its endpoint is gone, or no VM uses it.
    duration limit_retention = std::chrono::minutes(10);
};

/// Limits of all endpoints and this VM's shares of them.
class endpoint_limits {
public:
    explicit endpoint_limits(limit_settings settings = {}) : settings_(settings) {}

    /// Sets the VMs that serve callers, including this one.
    void set_vms(const vm_id& self, gsl::span<const vm_id> serving, time_point now);
    /// Records a response; returns whether the change has to be advertised to other VMs.
    bool on_response(const endpoint_incarnation& from, const limit_observation& observed);
    /// Applies another VM's advertisement; returns whether the limit changed.
    bool on_peer_limit(const advertised_limit& it, time_point now);
    /// Drops the limit of an earlier start of the endpoint.
    void on_entry(const endpoint& it);
    /// Counts a request that is sent to the endpoint.
    void on_request_sent(const endpoint_id& id, time_point now);

    /// Whether this VM may send the endpoint a request now.
    bool allows(const endpoint_id& id, time_point now) const;
    /// Time until this VM may send a request; zero where no limit applies.
    duration wait(const endpoint_id& id, time_point now) const;
    /// Current limit in requests per second across all VMs.
    std::optional<double> rate(const endpoint_id& id) const;
    /// This VM's share of the limit, in requests per second.
    double share(const endpoint_id& id) const;
    /// Number of endpoints with a limit.
    std::size_t count() const;
    /// Limits to advertise to other VMs.
    std::vector<advertised_limit> advertised_limits(time_point now) const;

private:
    struct record {
        std::int64_t started_at_ms = 0;
        std::optional<double> rate;
        /// Time of the latest confirmation.
        time_point as_of{};
        token_bucket bucket;
    };

    record& record_for(const endpoint_incarnation& from, time_point now);
    bool apply_limit(record& it, const endpoint_id& id, std::optional<double> rate,
                     time_point as_of, time_point now);
    void update_share(record& it, const endpoint_id& id, time_point now) const;

    limit_settings settings_;
    vm_id self_;
    std::vector<vm_id> vms_;
    std::map<endpoint_id, record> records_;
};

}  // namespace radishpulley::routing
