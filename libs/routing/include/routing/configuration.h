/// Configuration of request routing: routes, services, client accounts and the limits on what
/// callers may send.
///
/// A configuration is immutable; a newer version replaces it as a whole.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/identifier.h"
#include "routing/allowed_regions.h"

namespace radishpulley::routing {

using std::chrono::milliseconds;

/// Determines whether a request may be repeated.
enum class request_kind {
    /// May run more than once.
    idempotent,
    /// Runs at most once per attempt of the caller.
    non_idempotent,
    /// Answered by a stream of events; repeatable only if the route is resumable.
    streaming
};

/// A service that takes a share of a route's requests.
struct weighted_service {
    service_id service;
    double weight = 1;
};

/// A route: the requests that it matches and how they are handled.
struct route {
    std::string name;
    /// Lower case, without a port.
    std::string host;
    /// Starts and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Maximum time that a request may wait; 0 means no bound.
    milliseconds timeout{0};
    /// Latency target: time within which a response, or the first event of a stream, has its full
    /// value.
    milliseconds target_latency{0};
    /// Time without a first event after which callers abandon a request; 0 if they wait until their
    /// deadline.
    milliseconds caller_patience{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of endpoints on which one attempt of a caller may run.
    std::uint32_t max_attempts = 1;
    /// The route requires no key.
    bool open = false;
    /// A stream may resume at another endpoint after its last complete event.
    bool resumable = false;
    /// Regions in which its requests may be processed.
    allowed_regions regions;
    std::vector<weighted_service> services;

    /// Whether a request that may have run already may be sent again.
    bool repeatable() const { return kind == request_kind::idempotent || resumable; }
};

/// A base model that the engines of a service serve.
struct model {
    std::string name;
    double weights_mb = 0;
    double adapter_mb = 0;
    milliseconds load_time{0};
};

/// Capacity of each engine of a service.
struct engine_capacity {
    std::uint32_t slots = 1;
    /// Maximum tokens of running requests and cached prompt segments.
    std::uint64_t memory_tokens = 0;
    double weights_mb = 0;
    std::uint32_t max_adapters = 0;
    /// Base model loads per second across all engines.
    double loads_per_second = 0;
    std::vector<model> models;

    /// Number of adapters that an engine is expected to have cached and to load fast. It is
    /// slightly lower than what engines keep.
    std::size_t cached_adapters() const {
        constexpr std::size_t cached_adapters_per_slot = 5;
        return max_adapters * cached_adapters_per_slot;
    }
};

/// A service whose endpoints run requests.
struct service {
    service_id id;
    /// Present for services of model engines.
    std::optional<engine_capacity> engine;
    /// Time for which an endpoint is cold after its start.
    milliseconds cold_start{0};
    /// Requests per second that a cold endpoint accepts from all VMs together; 0 for any number.
    double cold_rate = 0;
};

/// A client account with its keys and its rate limit.
struct client_account {
    client_account_id id;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<int> priority;
    /// Units per second and burst in units; a rate of 0 means no limit.
    double rate = 0;
    double burst = 0;
    /// Units are tokens if true; otherwise each request is one unit.
    bool counts_tokens = false;
    /// Tokens charged for a request that states no token counts.
    double plain_tokens = 1;
    /// Regions in which its requests may be processed, besides the route's own restriction.
    allowed_regions regions;
};

/// Limits on what callers may send.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 4'194'304;
    milliseconds header_timeout{5'000};
    milliseconds idle_timeout{15'000};
};

/// All parts of a configuration.
struct configuration_content {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    caller_limits limits;
};

/// One version of the configuration, indexed for lookups.
class configuration {
public:
    explicit configuration(configuration_content content);

    std::uint64_t version() const { return content_.version; }
    const caller_limits& limits() const { return content_.limits; }
    const std::vector<client_account>& accounts() const { return content_.accounts; }
    const std::vector<route>& routes() const { return content_.routes; }
    const std::vector<service>& services() const { return content_.services; }
    /// Whether routes require keys; without accounts none does.
    bool needs_keys() const { return !content_.accounts.empty(); }

    /// Returns the route of `host` with the longest matching prefix of `path`, or null. `host` may
    /// include a port and any case; a query after `path` is ignored.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// Returns the account that holds `key`, or null.
    const client_account* find_account(std::string_view key) const;
    /// Returns the account, or null.
    const client_account* find_account(const client_account_id& id) const;
    /// Returns the service, or null.
    const service* find_service(const service_id& id) const;

private:
    configuration_content content_;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host_;
    std::unordered_map<std::string, const client_account*> accounts_by_key_;
    std::unordered_map<client_account_id, const client_account*> accounts_by_id_;
    std::unordered_map<service_id, const service*> services_by_id_;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// Selects one of the route's services by weight; `point` is the position from 0 to 1 within the
/// total weight. Returns null if the route has no service.
const service_id* pick_service(const route& it, double point);

/// Returns the services that share a route of resumable streams with others.
std::set<service_id> services_of_split_streams(const configuration& all);

/// Whether the route sends requests to the service.
bool allows(const route& it, const service_id& service);

/// Returns `text` in lower case (ASCII).
std::string lower_case(std::string_view text);

}  // namespace radishpulley::routing
