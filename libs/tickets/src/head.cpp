#include "tickets/head.h"

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace radishpulley::tickets {
namespace {

using nlohmann::json;

json shard_to_json(const shard_name& it) {
    return it.digest.empty() ? json() : json::array({it.writer, it.digest});
}

shard_name shard_from_json(const json& value) {
    if (value.is_null()) {
        return {};
    }
    return {value.at(0).get<model::ticket_number>(), value.at(1).get<std::string>()};
}

[[noreturn]] void refuse(std::string_view place, std::string_view message) {
    findings found;
    found.add(place, message);
    throw invalid_input(std::move(found));
}

}  // namespace

std::string to_text(const head& it) {
    json shards = json::array();
    for (const shard_name& name : it.shards) {
        shards.push_back(shard_to_json(name));
    }
    json history = json::array();
    for (const accepted_ticket& entry : it.history) {
        history.push_back(json::array({entry.number, entry.digest}));
    }
    return json{{"number", it.number},
                {"previous", it.previous},
                {"shards", std::move(shards)},
                {"history", std::move(history)}}
        .dump();
}

head parse_head(std::string_view text) {
    try {
        const json value = json::parse(text);
        head it;
        it.number = value.at("number").get<model::ticket_number>();
        it.previous = value.at("previous").get<model::ticket_number>();
        const json& shards = value.at("shards");
        if (shards.size() != it.shards.size()) {
            refuse("head.shards", "has another number of shards than this release");
        }
        for (std::size_t i = 0; i < it.shards.size(); ++i) {
            it.shards[i] = shard_from_json(shards.at(i));
        }
        for (const json& entry : value.at("history")) {
            it.history.push_back(
                {entry.at(0).get<model::ticket_number>(), entry.at(1).get<std::string>()});
        }
        return it;
    } catch (const json::exception& e) {
        refuse("head", e.what());
    }
}

std::string object_name(std::size_t i, const shard_name& it) {
    return std::string(shard_prefix) + std::to_string(i) + "/" + std::to_string(it.writer) + "-" +
           it.digest;
}

std::string fingerprint(const head& it) {
    std::string buf = std::to_string(it.number);
    for (const shard_name& name : it.shards) {
        buf += "/" + std::to_string(name.writer) + "-" + name.digest;
    }
    return sha256_hex(buf);
}

committed_configuration apply(const committed_configuration& before, const model::ticket& it) {
    committed_configuration after{before.at, model::apply(before.value, it)};
    after.at.number = it.number;
    after.at.previous = before.at.number;
    for (std::size_t i = 0; i < model::shard_count; ++i) {
        const auto& held = after.value.shard_at(i);
        if (held == before.value.shard_at(i)) {
            continue;
        }
        const std::string digest = held->empty() ? "" : sha256_hex(model::to_text(*held));
        if (digest != before.at.shards[i].digest) {
            after.at.shards[i] = {digest.empty() ? 0 : it.number, digest};
        }
    }
    auto& history = after.at.history;
    history.push_back({it.number, model::ticket_digest(it)});
    if (history.size() > history_length) {
        history.erase(history.begin());
    }
    return after;
}

model::shard parse_verified(const shard_name& name, std::string_view text) {
    if (name.digest.empty()) {
        return {};
    }
    if (sha256_hex(text) != name.digest) {
        refuse("shard", "the text does not match the digest in its name");
    }
    return model::parse_shard(text);
}

}  // namespace radishpulley::tickets
