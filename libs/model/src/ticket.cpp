#include "model/ticket.h"

#include <limits>
#include <optional>

#include "base/digest.h"
#include "details/object_reader.h"

namespace radishpulley::model {
namespace {

using detail::object_reader;
using nlohmann::json;

constexpr double min_weight = 0.001;
constexpr std::size_t digest_length = 64;
constexpr std::uint32_t max_slots = 4096;
constexpr std::uint32_t max_concurrency = 65536;

service read_service(object_reader& in) {
    service it;
    it.id = service_id(in.name("id"));
    const std::string kind = in.text("kind");
    if (kind == "application") {
        it.kind = service_kind::application;
        it.route = in.name("route");
    } else if (kind == "model") {
        it.base_model = in.text("base_model");
    } else {
        in.report("kind", "must be \"model\" or \"application\"");
    }
    it.open = in.boolean("open", false);
    return it;
}

client_account read_account(object_reader& in) {
    client_account it;
    it.id = client_account_id(in.name("id"));
    it.rate = in.number("rate", 0, true, 0);
    it.burst = in.number("burst", 0, true, 0);
    it.weight = in.number("weight", 1, false, min_weight);
    return it;
}

key read_key(object_reader& in) {
    key it;
    it.id = key_id(in.name("id"));
    it.account = client_account_id(in.name("account"));
    it.digest = in.text("digest");
    const bool is_hex = it.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (it.digest.size() != digest_length || !is_hex) {
        in.report("digest", "must be 64 lower-case hexadecimal digits");
    }
    return it;
}

adapter read_adapter(object_reader& in) {
    adapter it;
    it.id = adapter_id(in.name("id"));
    it.service = service_id(in.name("service"));
    it.current_version = version_id(in.name("current_version"));
    for (const std::string& account : in.texts("accounts")) {
        it.accounts.emplace_back(account);
    }
    return it;
}

adapter_version read_version(object_reader& in) {
    adapter_version it;
    it.adapter = adapter_id(in.name("adapter"));
    it.version = version_id(in.name("version"));
    it.source = in.text("source");
    return it;
}

endpoint read_endpoint(object_reader& in) {
    endpoint it;
    it.id = endpoint_id(in.name("id"));
    it.service = service_id(in.name("service"));
    it.address = in.text("address");
    it.zone = zone_id(in.name("zone"));
    it.region = region_id(in.name("region"));
    it.slots = static_cast<std::uint32_t>(in.integer("slots", 0, false, 0, max_slots));
    it.concurrency =
        static_cast<std::uint32_t>(in.integer("concurrency", 1, false, 1, max_concurrency));
    it.checks_fencing = in.boolean("checks_fencing", false);
    it.draining = in.boolean("draining", false);
    return it;
}

resource read_resource(resource_kind kind, object_reader& in) {
    switch (kind) {
        case resource_kind::service:
            return read_service(in);
        case resource_kind::client_account:
            return read_account(in);
        case resource_kind::key:
            return read_key(in);
        case resource_kind::adapter:
            return read_adapter(in);
        case resource_kind::adapter_version:
            return read_version(in);
        case resource_kind::endpoint:
            return read_endpoint(in);
    }
    throw std::logic_error("a resource kind has no reader");
}

struct json_visitor {
    json operator()(const service& it) const {
        json value = {{"id", it.id.str()}, {"open", it.open}};
        if (it.kind == service_kind::model) {
            value["kind"] = "model";
            value["base_model"] = it.base_model;
        } else {
            value["kind"] = "application";
            value["route"] = it.route;
        }
        return value;
    }
    json operator()(const client_account& it) const {
        return {{"id", it.id.str()}, {"rate", it.rate}, {"burst", it.burst}, {"weight", it.weight}};
    }
    json operator()(const key& it) const {
        return {{"id", it.id.str()}, {"account", it.account.str()}, {"digest", it.digest}};
    }
    json operator()(const adapter& it) const {
        json accounts = json::array();
        for (const client_account_id& account : it.accounts) {
            accounts.push_back(account.str());
        }
        return {{"id", it.id.str()},
                {"service", it.service.str()},
                {"current_version", it.current_version.str()},
                {"accounts", accounts}};
    }
    json operator()(const adapter_version& it) const {
        return {
            {"adapter", it.adapter.str()}, {"version", it.version.str()}, {"source", it.source}};
    }
    json operator()(const endpoint& it) const {
        return {{"id", it.id.str()},
                {"service", it.service.str()},
                {"address", it.address},
                {"zone", it.zone.str()},
                {"region", it.region.str()},
                {"slots", it.slots},
                {"concurrency", it.concurrency},
                {"checks_fencing", it.checks_fencing},
                {"draining", it.draining}};
    }
};

void read_set(const json& value, ticket& into, findings& found) {
    object_reader in(value, "set", found);
    for (std::size_t i = 0; i < resource_kind_count; ++i) {
        const auto kind = static_cast<resource_kind>(i);
        const std::string name(plural_name(kind));
        const json* list = in.take(name.c_str(), false);
        if (list == nullptr) {
            continue;
        }
        if (!list->is_array()) {
            in.report(name, "must be an array");
            continue;
        }
        for (std::size_t n = 0; n < list->size(); ++n) {
            const std::string place = "set." + name + "[" + std::to_string(n) + "]";
            into.set.push_back(parse_resource(kind, (*list)[n], place, found));
        }
    }
    in.finish();
}

void read_remove(const json& value, ticket& into, findings& found) {
    object_reader in(value, "remove", found);
    for (std::size_t i = 0; i < resource_kind_count; ++i) {
        const auto kind = static_cast<resource_kind>(i);
        for (const std::string& name : in.texts(std::string(plural_name(kind)).c_str())) {
            into.remove.push_back({kind, name});
        }
    }
    in.finish();
}

}  // namespace

resource parse_resource(resource_kind kind, const json& value, std::string_view place,
                        findings& found) {
    object_reader in(value, std::string(place), found);
    resource it = read_resource(kind, in);
    in.finish();
    return it;
}

ticket parse_ticket(std::string_view text) {
    findings found;
    const json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        found.add("ticket", "is not valid JSON");
        throw invalid_input(found);
    }
    ticket it;
    object_reader in(value, "", found);
    it.number = in.integer("number", 0, true, 1, std::numeric_limits<std::int64_t>::max());
    if (const json* set = in.take("set", false)) {
        read_set(*set, it, found);
    }
    if (const json* remove = in.take("remove", false)) {
        read_remove(*remove, it, found);
    }
    in.finish();
    if (!found.empty()) {
        throw invalid_input(found);
    }
    return it;
}

json to_json(const resource& it) {
    return std::visit(json_visitor{}, it);
}

json to_json(const ticket& it) {
    json value = {{"number", it.number}, {"set", json::object()}, {"remove", json::object()}};
    for (const resource& entry : it.set) {
        const std::string kind(plural_name(reference_to(entry).kind));
        value["set"][kind].push_back(to_json(entry));
    }
    for (const resource_reference& name : it.remove) {
        value["remove"][std::string(plural_name(name.kind))].push_back(name.name);
    }
    return value;
}

std::string ticket_digest(const ticket& it) {
    return sha256_hex(to_json(it).dump());
}

}  // namespace radishpulley::model
