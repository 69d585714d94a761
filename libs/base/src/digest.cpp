#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace radishpulley {
namespace {

constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

std::string to_hex(const unsigned char* data, std::size_t n) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string buf;
    buf.reserve(n * 2);
    for (std::size_t i = 0; i < n; ++i) {
        buf.push_back(digits[data[i] >> 4]);
        buf.push_back(digits[data[i] & 15]);
    }
    return buf;
}

}  // namespace

std::string sha256_hex(std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    if (EVP_Digest(data.data(), data.size(), buf.data(), &n, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available in this OpenSSL");
    }
    return to_hex(buf.data(), n);
}

std::string hmac_sha256_hex(std::string_view secret, std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(data.data());
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, data.size(),
             buf.data(), &n) == nullptr) {
        throw std::runtime_error("HMAC-SHA-256 is not available in this OpenSSL");
    }
    return to_hex(buf.data(), n);
}

bool constant_time_equal(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_hex(std::size_t n) {
    std::vector<unsigned char> buf(n);
    if (RAND_bytes(buf.data(), static_cast<int>(n)) != 1) {
        throw std::runtime_error("the operating system gave no random bytes");
    }
    return to_hex(buf.data(), n);
}

std::uint64_t stable_hash(std::string_view data) {
    std::uint64_t hash = fnv_offset_basis;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnv_prime;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

}  // namespace radishpulley
