/// Determines which running requests have to end when the configuration changes.
#pragma once

#include <vector>

#include <gsl/span>

#include "base/identifier.h"
#include "model/configuration.h"

namespace radishpulley::keys {

/// A running request and the key that it was authenticated with.
struct running_request {
    request_id request;
    key_id key;
    client_account_id account;
    /// Digest of the key at the time when the request was admitted.
    std::string digest;
};

/// Returns the requests whose key was withdrawn or now has a different digest or account.
std::vector<request_id> requests_to_end(gsl::span<const running_request> running,
                                        const model::configuration& now);

}  // namespace radishpulley::keys
