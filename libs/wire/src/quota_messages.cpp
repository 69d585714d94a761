#include "details/common.h"
#include "wire/messages.h"

namespace radishpulley::quota {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(loan_key, slot, fence, account, loan)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(slot_level, balance, outstanding, ready_in)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(loan_request, key, wanted, lifetime, wait, priority,
                                                recall)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(loan_grant, key, granted, level)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(loan_return, key, spent, returned, refunded, closed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(loan_recall, slot, fence, account, priority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(loan_rejected, key)
}  // namespace radishpulley::quota

namespace radishpulley::wire {
namespace {

constexpr std::array<const char*, 5> names = {"request", "grant", "return", "recall", "rejected"};

}  // namespace

nlohmann::json encode(const quota::quota_message& it) {
    return detail::encode_variant(it, names);
}

quota::quota_message decode_quota(const nlohmann::json& body) {
    return detail::decode_variant<quota::quota_message>(body, names);
}

}  // namespace radishpulley::wire
