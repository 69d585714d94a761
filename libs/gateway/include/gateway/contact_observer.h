/// Interface that tells whether endpoints are reached.
#pragma once

#include "base/identifier.h"
#include "routing/contact_failure.h"

namespace radishpulley::gateway {

/// Receives what connections show of the path to their endpoints.
class contact_observer {
public:
    virtual ~contact_observer() = default;
    virtual void on_contact(const endpoint_id& with, routing::contact_proof by) = 0;
    virtual void on_contact_failed(const endpoint_id& with, routing::contact_failure by) = 0;
};

}  // namespace radishpulley::gateway
