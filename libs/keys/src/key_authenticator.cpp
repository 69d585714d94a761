#include "keys/key_authenticator.h"

#include <utility>

#include "base/digest.h"

namespace radishpulley::keys {

std::string key_digest(std::string_view secret, std::string_view key) {
    return hmac_sha256_hex(secret, key);
}

key_authenticator::key_authenticator(std::string secret)
    : secret_(std::make_shared<const std::string>(std::move(secret))) {}

key_authenticator key_authenticator::updated(const model::configuration& next) const {
    key_authenticator result = *this;
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        const auto& source = next.shard_at(i);
        if (source == sources_[i]) {
            continue;
        }
        shard_index index;
        const auto first = source->lower_bound({model::resource_kind::key, ""});
        for (auto it = first; it != source->end() && it->first.kind == model::resource_kind::key;
             ++it) {
            const auto& stored_key = std::get<model::key>(it->second);
            index.emplace(stored_key.digest,
                          entry{stored_key.digest, stored_key.id, stored_key.account});
        }
        result.sources_[i] = source;
        result.indexes_[i] = std::make_shared<const shard_index>(std::move(index));
    }
    return result;
}

authentication_result key_authenticator::authenticate(std::string_view key) const {
    if (key.empty()) {
        return key_missing{};
    }
    const std::string digest = key_digest(*secret_, key);
    // The position in the index depends on the keyed digest, which a caller cannot control.
    for (const auto& index : indexes_) {
        if (index == nullptr) {
            continue;
        }
        const auto it = index->find(digest);
        if (it != index->end() && constant_time_equal(it->second.digest, digest)) {
            return authenticated{it->second.key, it->second.account};
        }
    }
    return key_refused{};
}

}  // namespace radishpulley::keys
