/// Tells which running requests must end when the configuration changes.
#pragma once

#include <vector>

#include <gsl/span>

#include "base/identifier.h"
#include "model/configuration.h"

namespace radishpulley::keys {

/// A request that runs under a key.
struct running_request {
    request_id request;
    key_id key;
    client_account_id account;
    /// Digest of the key when the request was admitted.
    std::string digest;
};

/// Returns the requests whose key was withdrawn, given another digest or another account.
std::vector<request_id> requests_to_end(gsl::span<const running_request> running,
                                        const model::configuration& now);

}  // namespace radishpulley::keys
