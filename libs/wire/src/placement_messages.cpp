#include "details/common.h"
#include "wire/messages.h"

namespace radishpulley::placement {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(adapter_ref, adapter, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(engine_digest, running, queued, concurrency,
                                                waiting_loads)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pin_request, daemon, endpoint, adapter, number,
                                                waiting, running, arrived, oldest_wait, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pin_grant, endpoint, adapter, daemon, number, fence,
                                                validity, window, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pin_refusal, endpoint, adapter, daemon, number,
                                                fence, reason, expected_wait, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pin_recall, endpoint, adapter, daemon, fence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pin_release, daemon, endpoint, adapter, number,
                                                arrived)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pin_record, daemon, adapter, number, remaining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(keeper_handoff, endpoint, fence, from, pins,
                                                unknown_pins)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(permit_request, holder, endpoint, number, needs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(load_permit, endpoint, holder, number, permit,
                                                fence, validity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(permit_done, holder, endpoint, permit, fence, used)
}  // namespace radishpulley::placement

namespace radishpulley::wire {
namespace {

constexpr std::array<const char*, 9> names = {"pin_request",    "pin_grant",   "pin_refusal",
                                              "pin_recall",     "pin_release", "keeper_handoff",
                                              "permit_request", "load_permit", "permit_done"};

}  // namespace

nlohmann::json encode(const placement::message& it) {
    return detail::encode_variant(it, names);
}

placement::message decode_placement(const nlohmann::json& body) {
    return detail::decode_variant<placement::message>(body, names);
}

}  // namespace radishpulley::wire
