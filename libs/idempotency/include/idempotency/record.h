/// The record of a call under an idempotency key, as it is kept in the object API.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/identifier.h"

namespace radishpulley::idempotency {

/// Longest idempotency key of a caller, in bytes.
constexpr std::size_t max_key_length = 255;

/// Longest body that is kept in a record, in bytes.
constexpr std::size_t max_body_kept = 64'000;

/// Parts by which records are listed and swept.
constexpr std::size_t record_shard_count = 256;

/// Counts spans of at least one hour of the whole fleet; see record_epochs.
using epoch_number = std::uint64_t;

/// One attempt to run a call; never the same twice.
struct attempt_id {
    vm_incarnation daemon;
    /// Counts the attempts of one daemon, so that a request that asks again is another attempt.
    std::uint64_t sequence = 0;
    request_id request;

    friend bool operator==(const attempt_id& a, const attempt_id& b) {
        return a.daemon == b.daemon && a.sequence == b.sequence && a.request == b.request;
    }
    friend bool operator!=(const attempt_id& a, const attempt_id& b) { return !(a == b); }
};

/// The attempt may have run.
struct started {};

/// The attempt ran, and its endpoint answered this.
struct outcome {
    int status = 0;
    std::string content_type;
    std::string body;
    /// False where the body was too long to be kept; `body` is then empty.
    bool body_kept = true;
};

/// What the object API holds for one client account and key.
struct record {
    attempt_id attempt;
    /// Digest of the call's content.
    std::string fingerprint;
    /// The epoch in which it was created, or an earlier one.
    epoch_number epoch = 0;
    std::variant<started, outcome> state;
};

/// Returns whether a caller's key has a usable length and only printable ASCII characters.
bool is_valid_key(std::string_view key);

/// Returns the object's name, `idempotency/<shard>/<digest>`. Neither account nor key can be read
/// from it.
std::string record_name(const client_account_id& account, std::string_view key);

/// Returns the prefix of the names of one shard.
std::string shard_prefix(std::size_t shard);

/// Returns the digest by which a repeat with the same content is recognised.
std::string fingerprint_of(std::string_view method, std::string_view path, std::string_view body);

/// Returns the record as text; bodies may hold any bytes.
std::string to_text(const record& it);

/// Parses a record. Throws invalid_input.
record parse_record(std::string_view text);

}  // namespace radishpulley::idempotency
