/// Interface to the other VMs, to which requests are passed on when this VM can't reach the
/// endpoints of a service.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "base/identifier.h"
#include "routing/allowed_regions.h"

namespace radishpulley::gateway {

/// A VM that can serve a request in place of this one.
struct relay_target {
    vm_id vm;
    /// Address at which it accepts requests of its peers, IP:PORT.
    std::string address;
};

/// Knows the other VMs and the secret that they share.
class relay_peers {
public:
    virtual ~relay_peers() = default;
    /// Returns the VM that should serve the request, or nothing if there is none.
    virtual std::optional<relay_target> choose(const service_id& service,
                                               const routing::allowed_regions& regions,
                                               const request_id& request,
                                               const std::set<vm_id>& excluded) const = 0;
    /// Name of this VM.
    virtual const vm_id& self() const = 0;
    /// The secret that proves that a request comes from a peer; empty while it is unknown.
    virtual const std::string& secret() const = 0;
};

}  // namespace radishpulley::gateway
