/// Authenticates callers: maps a key to its client account.
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

/// The key is unknown or withdrawn. The result does not distinguish the two.
struct key_refused {};

using authentication_result = std::variant<authenticated, key_missing, key_refused>;

/// Returns the digest that tickets contain for a key.
std::string key_digest(std::string_view secret, std::string_view key);

/// Index of all keys of one configuration. It is immutable, so threads can share it.
///
/// Example:
///
///     auto index = key_authenticator(secret).updated(configuration);
///     authentication_result who = index.authenticate(bearer_token);
class key_authenticator {
public:
    /// `secret` is the secret of the fleet, which is the same on all VMs.
    explicit key_authenticator(std::string secret);

    /// Returns the index for `next`. Only changed shards are indexed again.
    key_authenticator updated(const model::configuration& next) const;

    /// Looks up a key. This computes one HMAC and compares digests in constant time.
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
