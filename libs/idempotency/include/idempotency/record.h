/// The record of a call with an idempotency key, as it is stored through the object API.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/identifier.h"

namespace radishpulley::idempotency {

/// Maximum length of an idempotency key, in bytes.
constexpr std::size_t max_key_length = 255;

/// Maximum length of a body that is stored in a record, in bytes.
constexpr std::size_t max_body_kept = 64'000;

/// Number of shards in which records are listed and swept.
constexpr std::size_t record_shard_count = 256;

/// Number of an epoch of the whole fleet, which lasts at least one hour; see record_epochs.
using epoch_number = std::uint64_t;

/// Identifies one attempt to run a call. It is never reused.
struct attempt_id {
    vm_incarnation daemon;
    /// Sequence number of the attempt on one daemon, so that a retry of a request is a new attempt.
    std::uint64_t sequence = 0;
    request_id request;

    friend bool operator==(const attempt_id& a, const attempt_id& b) {
        return a.daemon == b.daemon && a.sequence == b.sequence && a.request == b.request;
    }
    friend bool operator!=(const attempt_id& a, const attempt_id& b) { return !(a == b); }
};

/// The attempt was started and may have run.
struct started {};

/// The attempt ran, and its endpoint returned this response.
struct outcome {
    int status = 0;
    std::string content_type;
    std::string body;
    /// False if the body was too long to be stored; `body` is then empty.
    bool body_kept = true;
};

/// Stored object for one client account and key.
struct record {
    attempt_id attempt;
    /// Digest of the call's content.
    std::string fingerprint;
    /// The epoch in which the record was created, or an earlier one.
    epoch_number epoch = 0;
    std::variant<started, outcome> state;
};

/// Returns whether a caller's key has a valid length and only printable ASCII characters.
bool is_valid_key(std::string_view key);

/// Returns the object name, `idempotency/<shard>/<digest>`. Neither account nor key can be derived
/// from it.
std::string record_name(const client_account_id& account, std::string_view key);

/// Returns the prefix of the object names of one shard.
std::string shard_prefix(std::size_t shard);

/// Returns the digest by which a repeated call with the same content is recognized.
std::string fingerprint_of(std::string_view method, std::string_view path, std::string_view body);

/// Serializes a record. Bodies may contain any bytes.
std::string to_text(const record& it);

/// Parses a record. Throws invalid_input if it is malformed.
record parse_record(std::string_view text);

}  // namespace radishpulley::idempotency
