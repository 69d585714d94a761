#include "message_size.h"

#include <nlohmann/json.hpp>

#include "wire/name_list.h"

namespace radishpulley::measure {
namespace {

using nlohmann::json;

std::int64_t milliseconds(duration it) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

json status_json(const fleet::status& it) {
    json value = {{"v", it.beat.from.vm.str()}, {"i", it.beat.from.incarnation},
                  {"t", it.beat.token},         {"e", it.beat.echoed},
                  {"w", it.beat.wanted},        {"n", it.in_force}};
    if (it.evidence) {
        value["a"] = {it.evidence->number, it.evidence->revision, milliseconds(it.evidence->age)};
    }
    for (const keys::hold_report& held : it.holds) {
        value["h"].push_back({int(held.reason), held.number, milliseconds(held.age),
                              json::binary(wire::pack_names(held.vms))});
    }
    for (const tickets::in_force_report& held : it.numbers) {
        value["f"].push_back({held.vm.vm.str(), held.vm.incarnation, held.number});
    }
    for (const membership::member_report& held : it.members) {
        value["m"].push_back({held.entry.vm.str(), held.entry.zone.str(), held.entry.region.str(),
                              held.entry.peer_address, int(held.entry.state), held.incarnation});
    }
    return value;
}

struct ticket_json {
    json operator()(const tickets::ticket_push& it) const {
        return {{"p", it.previous}, {"c", model::to_json(it.change)}, {"f", it.fingerprint}};
    }
    json operator()(const tickets::catch_up_request& it) const { return {{"n", it.have}}; }
    json operator()(const tickets::head_reply& it) const {
        return {{"h", tickets::to_text(it.at)}};
    }
    json operator()(const tickets::shard_request& it) const {
        return {{"i", it.index}, {"w", it.name.writer}, {"d", it.name.digest}};
    }
    json operator()(const tickets::shard_reply& it) const {
        return {{"i", it.index}, {"w", it.name.writer}, {"d", it.name.digest}, {"t", it.text}};
    }
    json operator()(const tickets::number_notice& it) const { return {{"n", it.number}}; }
};

}  // namespace

std::size_t message_size(const fleet::message& it) {
    const json value = std::holds_alternative<fleet::status>(it)
                           ? status_json(std::get<fleet::status>(it))
                           : std::visit(ticket_json{}, std::get<tickets::ticket_message>(it));
    return json::to_cbor(value).size() + header_size;
}

}  // namespace radishpulley::measure
