#include "encoded_size.h"

#include <nlohmann/json.hpp>

namespace radishpulley::measure {

using namespace quota;

std::size_t encoded_size(const outgoing_message& message) {
    struct visitor {
        nlohmann::json key(const loan_key& it) const {
            return {it.slot, it.fence, it.account.str(), it.loan};
        }
        nlohmann::json operator()(const loan_request& it) const {
            return {key(it.key),     it.wanted,   it.lifetime.count(),
                    it.wait.count(), it.priority, it.recall};
        }
        nlohmann::json operator()(const loan_grant& it) const {
            return {key(it.key), it.granted, it.level.balance, it.level.outstanding,
                    it.level.ready_in.count()};
        }
        nlohmann::json operator()(const loan_return& it) const {
            return {key(it.key), it.spent, it.returned, it.refunded, it.closed};
        }
        nlohmann::json operator()(const loan_recall& it) const {
            return {it.slot, it.fence, it.account.str(), it.priority};
        }
        nlohmann::json operator()(const loan_rejected& it) const { return {key(it.key)}; }
    };
    return nlohmann::json::to_cbor(std::visit(visitor{}, message.message)).size();
}

}  // namespace radishpulley::measure
