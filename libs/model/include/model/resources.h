/// The resources that operators configure, as plain values.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "base/identifier.h"

namespace radishpulley::model {

/// What the endpoints of a service run.
enum class service_kind { model, application };

/// A service that callers may ask for.
struct service {
    service_id id;
    service_kind kind = service_kind::model;
    /// Base model of the engines; empty for applications.
    std::string base_model;
    /// Path under /v1/services/ that leads to an application; empty for models.
    std::string route;
    /// True when callers need no key.
    bool open = false;
};

/// A customer, whose rate and burst count over all VMs together.
struct client_account {
    client_account_id id;
    /// Tokens added a second.
    double rate = 0;
    /// Most tokens that can be held, and so the largest request.
    double burst = 0;
    /// Share of short endpoints in proportion to the other accounts.
    double weight = 1;
};

/// A caller's key, kept as a keyed digest only.
struct key {
    key_id id;
    client_account_id account;
    /// HMAC-SHA-256 of the key under the fleet's secret, 64 hexadecimal digits.
    std::string digest;
};

/// A fine-tuned adapter of a model service.
struct adapter {
    adapter_id id;
    service_id service;
    /// Version that runs when a request names none.
    version_id current_version;
    /// Client accounts that may use it; empty for all.
    std::vector<client_account_id> accounts;
};

/// One immutable set of weights of an adapter.
struct adapter_version {
    adapter_id adapter;
    version_id version;
    /// Where the engines load the weights from.
    std::string source;
};

/// A back end that serves requests.
struct endpoint {
    endpoint_id id;
    service_id service;
    /// Base address, such as http://127.0.0.1:8000.
    std::string address;
    zone_id zone;
    region_id region;
    /// Adapters that fit at the same time; 0 for applications.
    std::uint32_t slots = 0;
    /// Requests that it runs at the same time.
    std::uint32_t concurrency = 1;
    /// True when it refuses orders with an old fencing number.
    bool checks_fencing = false;
    /// True when it must get no new requests.
    bool draining = false;
};

/// Any resource.
using resource = std::variant<service, client_account, key, adapter, adapter_version, endpoint>;

/// Position of a resource's alternative in `resource`.
enum class resource_kind : std::uint8_t {
    service,
    client_account,
    key,
    adapter,
    adapter_version,
    endpoint
};
constexpr std::size_t resource_kind_count = 6;

/// Names one resource. Versions are named `adapter@version`.
struct resource_reference {
    resource_kind kind = resource_kind::service;
    std::string name;

    friend bool operator==(const resource_reference& a, const resource_reference& b) {
        return a.kind == b.kind && a.name == b.name;
    }
    friend bool operator<(const resource_reference& a, const resource_reference& b) {
        return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
    }
};

/// Returns the name under which an adapter's version is kept.
std::string version_name(const adapter_id& adapter, const version_id& version);

/// Returns the reference that names `it`.
resource_reference reference_to(const resource& it);

/// Returns the plural used in tickets and in the administration API, such as `client_accounts`.
std::string_view plural_name(resource_kind kind);

}  // namespace radishpulley::model
