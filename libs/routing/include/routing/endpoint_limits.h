/// Keeps endpoints that name a limit of requests a second to it, over all VMs together.
///
/// Each VM hears only the answers to its own requests, so VMs tell each other of limits. A limit is
/// used by as many VMs as there are whole requests a second in it, in equal parts; all compute
/// alike which ones, from the endpoint and the VMs that serve. The others send the endpoint
/// nothing. Nothing has to be agreed: two VMs whose views of the fleet differ both send for a
/// moment, each its part. Pure; not thread-safe.
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

/// What a VM knows of an endpoint's limit, told to the other VMs.
struct advertised_limit {
    endpoint_id endpoint;
    /// The endpoint's start that named it.
    std::int64_t started_at_ms = 0;
    /// Requests a second; nothing where the endpoint has ceased to name one.
    std::optional<double> rate;
    /// Time since the answer that said so, in milliseconds.
    std::uint32_t age_ms = 0;
};

/// An answer, as far as it tells of a limit.
struct limit_observation {
    std::optional<double> rate;
    /// When its request was sent, and when it came.
    time_point sent{};
    time_point answered{};
    /// Whether an endpoint that is in need would have named its limit in it.
    bool is_complete = false;
};

/// Times and rates of the limits.
struct limit_settings {
    /// Least requests a second to an endpoint however low its limit, so that the limit's end is
    /// noticed.
    double least_rate = 0.1;
    /// Age from which a limit that no VM has confirmed is tried by all, each in its part.
    duration unconfirmed = std::chrono::seconds(60);
    /// Time for which VMs are told of a limit's end.
    duration end_memory = std::chrono::seconds(60);
    /// Age from which a limit that no VM has confirmed is forgotten: its endpoint is gone, or none
    /// of them needs it.
    duration limit_memory = std::chrono::minutes(10);
};

/// The limits of all endpoints, and this VM's parts of them.
class endpoint_limits {
public:
    explicit endpoint_limits(limit_settings settings = {}) : settings_(settings) {}

    /// Sets the VMs that serve callers, this one included.
    void set_vms(const vm_id& self, gsl::span<const vm_id> serving, time_point now);
    /// Takes what an answer says; returns whether other VMs need to hear of it.
    bool on_response(const endpoint_incarnation& from, const limit_observation& said);
    /// Takes what another VM knows; returns whether that is news.
    bool on_peer_limit(const advertised_limit& it, time_point now);
    /// The endpoint's entry tells of a start that no limit is known of.
    void on_entry(const endpoint& it);
    /// Counts a request that goes to the endpoint.
    void on_request_sent(const endpoint_id& id, time_point now);

    /// Whether this VM may send the endpoint a request now.
    bool allows(const endpoint_id& id, time_point now) const;
    /// Time until it may; zero where no limit holds.
    duration wait(const endpoint_id& id, time_point now) const;
    /// The limit that holds, in requests a second over all VMs.
    std::optional<double> rate(const endpoint_id& id) const;
    /// This VM's part of it.
    double share(const endpoint_id& id) const;
    /// Endpoints that name a limit.
    std::size_t count() const;
    /// What other VMs should know.
    std::vector<advertised_limit> advertised_limits(time_point now) const;

private:
    struct record {
        std::int64_t started_at_ms = 0;
        std::optional<double> rate;
        /// The moment up to which it is known to hold.
        time_point as_of{};
        token_bucket bucket;
    };

    record& make(const endpoint_incarnation& from, time_point now);
    bool take(record& it, const endpoint_id& id, std::optional<double> rate, time_point as_of,
              time_point now);
    void share_out(record& it, const endpoint_id& id, time_point now) const;

    limit_settings settings_;
    vm_id self_;
    std::vector<vm_id> vms_;
    std::map<endpoint_id, record> records_;
};

}  // namespace radishpulley::routing
