#include "model/configuration.h"

#include <set>
#include <utility>

#include "base/digest.h"

namespace radishpulley::model {
namespace {

using nlohmann::json;

std::string place_of(const resource_reference& name) {
    return std::string(plural_name(name.kind)) + "/" + name.name;
}

// Resources after a ticket, seen without building the configuration.
class view_after {
public:
    view_after(const configuration& before, const ticket& it) : before_(before) {
        for (const resource& entry : it.set) {
            changed_[reference_to(entry)] = &entry;
        }
        for (const resource_reference& name : it.remove) {
            changed_[name] = nullptr;
        }
    }

    const resource* find(const resource_reference& name) const {
        const auto it = changed_.find(name);
        return it != changed_.end() ? it->second : before_.find(name);
    }

    const std::map<resource_reference, const resource*>& changed() const { return changed_; }

private:
    const configuration& before_;
    std::map<resource_reference, const resource*> changed_;
};

std::vector<resource_reference> references_of(const resource& it) {
    if (const auto* held = std::get_if<key>(&it)) {
        return {{resource_kind::client_account, held->account.str()}};
    }
    if (const auto* held = std::get_if<adapter>(&it)) {
        std::vector<resource_reference> names = {
            {resource_kind::service, held->service.str()},
            {resource_kind::adapter_version, version_name(held->id, held->current_version)}};
        for (const client_account_id& account : held->accounts) {
            names.push_back({resource_kind::client_account, account.str()});
        }
        return names;
    }
    if (const auto* held = std::get_if<adapter_version>(&it)) {
        return {{resource_kind::adapter, held->adapter.str()}};
    }
    if (const auto* held = std::get_if<endpoint>(&it)) {
        return {{resource_kind::service, held->service.str()}};
    }
    return {};
}

void check_references(const view_after& after, const resource& it, findings& found) {
    const resource_reference own = reference_to(it);
    for (const resource_reference& name : references_of(it)) {
        if (after.find(name) == nullptr) {
            found.add(place_of(own), "refers to " + place_of(name) + ", which does not exist");
        }
    }
}

void check_duplicates(const ticket& it, findings& found) {
    std::set<resource_reference> seen;
    for (const resource& entry : it.set) {
        const resource_reference name = reference_to(entry);
        if (!seen.insert(name).second) {
            found.add(place_of(name), "stands more than once in the ticket");
        }
    }
    for (const resource_reference& name : it.remove) {
        if (!seen.insert(name).second) {
            found.add(place_of(name), "stands more than once in the ticket");
        }
    }
}

void check_removed(const configuration& before, const view_after& after, const ticket& it,
                   findings& found) {
    if (it.remove.empty()) {
        return;
    }
    const std::set<resource_reference> removed(it.remove.begin(), it.remove.end());
    for (const resource_reference& name : removed) {
        if (before.find(name) == nullptr) {
            found.add(place_of(name), "cannot be removed: it does not exist");
        }
    }
    for (std::size_t i = 0; i < shard_count; ++i) {
        for (const auto& [name, held] : *before.shard_at(i)) {
            if (after.changed().count(name) != 0) {
                continue;
            }
            for (const resource_reference& used : references_of(held)) {
                if (removed.count(used) != 0) {
                    found.add(place_of(used),
                              "cannot be removed: " + place_of(name) + " refers to it");
                }
            }
        }
    }
}

// Two keys of one digest would be one key to callers, and withdrawing one would leave the other.
void check_key_digests(const configuration& before, const view_after& after, const ticket& it,
                       findings& found) {
    std::map<std::string_view, std::string_view> owners;
    for (const resource& entry : it.set) {
        if (const auto* held = std::get_if<key>(&entry)) {
            const auto [first, is_new] = owners.emplace(held->digest, held->id.str());
            if (!is_new) {
                found.add(place_of(reference_to(entry)),
                          "has the same digest as keys/" + std::string(first->second));
            }
        }
    }
    if (owners.empty()) {
        return;
    }
    for (const resource* entry : before.list(resource_kind::key)) {
        const resource_reference name = reference_to(*entry);
        const auto clash = owners.find(std::get<key>(*entry).digest);
        const bool stays = after.changed().count(name) == 0;
        if (stays && clash != owners.end()) {
            found.add("keys/" + std::string(clash->second),
                      "has the same digest as " + place_of(name));
        }
    }
}

}  // namespace

std::size_t shard_of(const resource_reference& name) {
    return stable_hash(place_of(name)) % shard_count;
}

configuration::configuration() {
    static const auto empty = std::make_shared<const shard>();
    shards_.fill(empty);
}

configuration::configuration(ticket_number number,
                             std::array<std::shared_ptr<const shard>, shard_count> shards)
    : number_(number), shards_(std::move(shards)) {}

const resource* configuration::find(const resource_reference& name) const {
    const shard& held = *shards_[shard_of(name)];
    const auto it = held.find(name);
    return it == held.end() ? nullptr : &it->second;
}

template <typename T>
const T* configuration::find_as(resource_kind kind, const std::string& name) const {
    const resource* it = find({kind, name});
    return it == nullptr ? nullptr : std::get_if<T>(it);
}

const service* configuration::find_service(const service_id& id) const {
    return find_as<service>(resource_kind::service, id.str());
}
const client_account* configuration::find_account(const client_account_id& id) const {
    return find_as<client_account>(resource_kind::client_account, id.str());
}
const key* configuration::find_key(const key_id& id) const {
    return find_as<key>(resource_kind::key, id.str());
}
const adapter* configuration::find_adapter(const adapter_id& id) const {
    return find_as<adapter>(resource_kind::adapter, id.str());
}
const adapter_version* configuration::find_version(const adapter_id& id,
                                                   const version_id& version) const {
    return find_as<adapter_version>(resource_kind::adapter_version, version_name(id, version));
}
const endpoint* configuration::find_endpoint(const endpoint_id& id) const {
    return find_as<endpoint>(resource_kind::endpoint, id.str());
}

std::vector<const resource*> configuration::list(resource_kind kind) const {
    std::map<std::string_view, const resource*> sorted;
    for (const auto& held : shards_) {
        const auto first = held->lower_bound({kind, ""});
        for (auto it = first; it != held->end() && it->first.kind == kind; ++it) {
            sorted[it->first.name] = &it->second;
        }
    }
    std::vector<const resource*> all;
    all.reserve(sorted.size());
    for (const auto& it : sorted) {
        all.push_back(it.second);
    }
    return all;
}

findings check(const configuration& before, const ticket& it) {
    findings found;
    check_duplicates(it, found);
    const view_after after(before, it);
    for (const resource& entry : it.set) {
        check_references(after, entry, found);
    }
    check_removed(before, after, it, found);
    check_key_digests(before, after, it, found);
    return found;
}

configuration apply(const configuration& before, const ticket& it) {
    findings found = check(before, it);
    if (!found.empty()) {
        throw invalid_input(std::move(found));
    }
    std::map<std::size_t, shard> changed;
    const auto shard_to_change = [&](const resource_reference& name) -> shard& {
        const std::size_t i = shard_of(name);
        return changed.try_emplace(i, *before.shard_at(i)).first->second;
    };
    for (const resource& entry : it.set) {
        const resource_reference name = reference_to(entry);
        shard_to_change(name)[name] = entry;
    }
    for (const resource_reference& name : it.remove) {
        shard_to_change(name).erase(name);
    }
    std::array<std::shared_ptr<const shard>, shard_count> shards;
    for (std::size_t i = 0; i < shard_count; ++i) {
        const auto found_shard = changed.find(i);
        shards[i] = found_shard == changed.end()
                        ? before.shard_at(i)
                        : std::make_shared<const shard>(std::move(found_shard->second));
    }
    return configuration(it.number, std::move(shards));
}

std::string to_text(const shard& it) {
    json value = json::object();
    for (const auto& [name, entry] : it) {
        value[std::string(plural_name(name.kind))].push_back(to_json(entry));
    }
    return value.dump();
}

shard parse_shard(std::string_view text) {
    findings found;
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        found.add("shard", "is not a JSON object");
        throw invalid_input(std::move(found));
    }
    shard it;
    for (std::size_t i = 0; i < resource_kind_count; ++i) {
        const auto kind = static_cast<resource_kind>(i);
        const std::string name(plural_name(kind));
        for (const json& entry : value.value(name, json::array())) {
            resource held = parse_resource(kind, entry, name, found);
            it.emplace(reference_to(held), std::move(held));
        }
    }
    if (!found.empty()) {
        throw invalid_input(std::move(found));
    }
    return it;
}

}  // namespace radishpulley::model
