/// Finds the client account to which a caller's key belongs.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "model/configuration.h"

namespace radishpulley::keys {

/// The key is valid.
struct authenticated {
    key_id key;
    client_account_id account;
};

/// The request carries no key.
struct key_missing {};

/// The key is unknown or withdrawn; the answer does not tell which.
struct key_refused {};

using authentication_result = std::variant<authenticated, key_missing, key_refused>;

/// Returns the digest that tickets carry for a key.
std::string key_digest(std::string_view secret, std::string_view key);

/// Index of all keys of one configuration; immutable, so that threads can share one.
///
/// Example:
///
///     auto index = key_authenticator(secret).updated(configuration);
///     authentication_result who = index.authenticate(bearer_token);
class key_authenticator {
public:
    /// `secret` is the fleet's secret, the same on all VMs.
    explicit key_authenticator(std::string secret);

    /// Returns the index for `next`; only shards that changed are read again.
    key_authenticator updated(const model::configuration& next) const;

    /// Looks a key up. Costs one HMAC; the digests are compared in constant time.
    authentication_result authenticate(std::string_view key) const;

private:
    struct entry {
        std::string digest;
        key_id key;
        client_account_id account;
    };
    using shard_index = std::unordered_map<std::string, entry>;

    std::shared_ptr<const std::string> secret_;
    std::array<std::shared_ptr<const model::shard>, model::shard_count> sources_;
    std::array<std::shared_ptr<const shard_index>, model::shard_count> indexes_;
};

}  // namespace radishpulley::keys
