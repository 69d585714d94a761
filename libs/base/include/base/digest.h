/// Digests and hashes: SHA-256 and HMAC-SHA-256 through OpenSSL, and a hash that is the same on
/// every VM for rendezvous hashing and sharding.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace radishpulley {

/// Returns the SHA-256 digest of `data` as 64 hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// Returns the HMAC-SHA-256 of `data` under `secret` as 64 hexadecimal digits.
std::string hmac_sha256_hex(std::string_view secret, std::string_view data);

/// Compares in a time that depends on the lengths only.
bool constant_time_equal(std::string_view a, std::string_view b);

/// Returns `n` random bytes of the operating system as hexadecimal digits.
std::string random_hex(std::size_t n);

/// Returns a 64-bit hash that is equal on every VM and in every release (FNV-1a with a finalizer).
std::uint64_t stable_hash(std::string_view data);

}  // namespace radishpulley
