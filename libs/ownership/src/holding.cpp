#include "ownership/holding.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/findings.h"

namespace radishpulley::ownership {
namespace {

using nlohmann::json;

json to_json(const vm_incarnation& it) {
    return {{"vm", it.vm.str()}, {"run", it.incarnation}};
}

vm_incarnation incarnation_from(const json& it) {
    return {vm_id(it.at("vm").get<std::string>()), it.at("run").get<incarnation_number>()};
}

json to_json(const holding& it) {
    json suspects = json::array();
    for (const vm_incarnation& who : it.suspects) {
        suspects.push_back(to_json(who));
    }
    return {{"id", it.id.str()},
            {"holder", to_json(it.holder)},
            {"fence", it.fence},
            {"suspects", std::move(suspects)}};
}

holding holding_from(const json& it) {
    holding result;
    result.id = holding_id(it.at("id").get<std::string>());
    result.holder = incarnation_from(it.at("holder"));
    result.fence = it.at("fence").get<fencing_number>();
    for (const json& who : it.at("suspects")) {
        result.suspects.push_back(incarnation_from(who));
    }
    return result;
}

[[noreturn]] void throw_invalid(const std::string& place, const std::string& message) {
    findings found;
    found.add(place, message);
    throw invalid_input(std::move(found));
}

}  // namespace

std::string encode(const std::vector<holding>& holdings) {
    json list = json::array();
    for (const holding& it : holdings) {
        list.push_back(to_json(it));
    }
    return json{{"holdings", std::move(list)}}.dump();
}

std::vector<holding> decode(std::string_view text) {
    std::vector<holding> result;
    try {
        const json document = json::parse(text);
        for (const json& it : document.at("holdings")) {
            result.push_back(holding_from(it));
        }
    } catch (const json::exception& error) {
        throw_invalid("holdings[" + std::to_string(result.size()) + "]", error.what());
    }
    return result;
}

shard_index shard_of(const holding_id& id, shard_index shards) {
    return static_cast<shard_index>(stable_hash(id.str()) % shards);
}

}  // namespace radishpulley::ownership
