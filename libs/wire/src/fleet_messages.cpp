#include "base/findings.h"
#include "details/common.h"
#include "wire/messages.h"
#include "wire/name_list.h"

namespace nlohmann {

template <>
struct adl_serializer<radishpulley::model::ticket> {
    static void to_json(json& out, const radishpulley::model::ticket& it) {
        out = radishpulley::model::to_json(it);
    }
    static void from_json(const json& in, radishpulley::model::ticket& it) {
        it = radishpulley::model::parse_ticket(in.dump());
    }
};

template <>
struct adl_serializer<radishpulley::tickets::head> {
    static void to_json(json& out, const radishpulley::tickets::head& it) {
        out = radishpulley::tickets::to_text(it);
    }
    static void from_json(const json& in, radishpulley::tickets::head& it) {
        it = radishpulley::tickets::parse_head(in.get_ref<const std::string&>());
    }
};

}  // namespace nlohmann

namespace radishpulley::object_api {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(vm_entry, vm, zone, region, peer_address, state)
}  // namespace radishpulley::object_api

namespace radishpulley::membership {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(heartbeat, from, token, echoed, leaving, wanted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(member_report, entry, incarnation)
}  // namespace radishpulley::membership

namespace radishpulley::keys {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(evidence_report, number, revision, age)

void to_json(nlohmann::json& out, const hold_report& it) {
    out = {{"reason", it.reason}, {"number", it.number}, {"age", it.age}};
    out["vms"] = nlohmann::json::binary(wire::pack_names(it.vms));
}

void from_json(const nlohmann::json& in, hold_report& it) {
    it.reason = in.value("reason", it.reason);
    it.number = in.value("number", it.number);
    it.age = in.value("age", it.age);
    if (in.contains("vms")) {
        const std::vector<std::uint8_t>& packed = in["vms"].get_binary();
        it.vms = wire::unpack_names(packed);
    }
}

}  // namespace radishpulley::keys

namespace radishpulley::tickets {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(in_force_report, vm, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(shard_name, writer, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ticket_push, previous, change, fingerprint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(catch_up_request, have)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(head_reply, at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shard_request, index, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(shard_reply, index, name, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(number_notice, number)
}  // namespace radishpulley::tickets

namespace radishpulley::fleet {
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(status, beat, in_force, evidence, holds, numbers,
                                                members)
}  // namespace radishpulley::fleet

namespace radishpulley::wire {
namespace {

constexpr std::array<const char*, 6> ticket_names = {"ticket_push",   "catch_up", "head",
                                                     "shard_request", "shard",    "number"};
constexpr const char* status_name = "status";

}  // namespace

nlohmann::json encode(const fleet::message& it) {
    if (const auto* ticket = std::get_if<tickets::ticket_message>(&it)) {
        return detail::encode_variant(*ticket, ticket_names);
    }
    return {{"k", status_name}, {"v", std::get<fleet::status>(it)}};
}

fleet::message decode_fleet(const nlohmann::json& body) {
    if (body.at("k") == status_name) {
        return body.at("v").get<fleet::status>();
    }
    return detail::decode_variant<tickets::ticket_message>(body, ticket_names);
}

}  // namespace radishpulley::wire
