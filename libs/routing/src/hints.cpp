#include "routing/hints.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "base/findings.h"
#include "base/overloaded.h"

namespace radishpulley::routing {
namespace {

using nlohmann::json;

json to_json(const model_ref& it) {
    return json::array({it.model, it.adapter});
}

model_ref read_choice(const json& in) {
    model_ref out{in.at(0).get<std::string>(), in.at(1).get<std::string>()};
    if (!is_valid(out)) {
        findings found;
        found.add("hint", "the name of an adapter is not valid");
        throw invalid_input(found);
    }
    return out;
}

json to_json(const std::vector<model_ref>& list) {
    json out = json::array();
    for (const model_ref& it : list) {
        out.push_back(to_json(it));
    }
    return out;
}

std::vector<model_ref> read_choices(const json& in) {
    std::vector<model_ref> out;
    for (const json& it : in) {
        out.push_back(read_choice(it));
    }
    return out;
}

json work_to_json(const work_by_endpoint& work) {
    json out = json::array();
    for (const auto& [id, it] : work) {
        out.push_back({id.str(), it.requests, it.unread_tokens, it.memory_tokens});
    }
    return out;
}

work_by_endpoint read_work(const json& in) {
    work_by_endpoint out;
    for (const json& it : in) {
        out[endpoint_id(it.at(0).get<std::string>())] = {it.at(1).get<std::uint32_t>(),
                                                         it.at(2).get<std::uint64_t>(),
                                                         it.at(3).get<std::uint64_t>()};
    }
    return out;
}

json demand_to_json(const demand_by_account& demand) {
    json out = json::array();
    for (const auto& [account, units] : demand) {
        out.push_back({account.str(), static_cast<std::uint64_t>(units)});
    }
    return out;
}

demand_by_account read_demand(const json& in) {
    demand_by_account out;
    for (const json& it : in) {
        out[client_account_id(it.at(0).get<std::string>())] = it.at(1).get<double>();
    }
    return out;
}

json limits_to_json(const std::vector<advertised_limit>& limits) {
    json out = json::array();
    for (const advertised_limit& it : limits) {
        out.push_back(
            {it.endpoint.str(), it.started_at_ms, it.rate ? json(*it.rate) : json(), it.age_ms});
    }
    return out;
}

std::vector<advertised_limit> read_limits(const json& in) {
    std::vector<advertised_limit> out;
    for (const json& it : in) {
        advertised_limit limit{endpoint_id(it.at(0).get<std::string>()),
                               it.at(1).get<std::int64_t>(), std::nullopt,
                               it.at(3).get<std::uint32_t>()};
        if (!it.at(2).is_null()) {
            limit.rate = it.at(2).get<double>();
        }
        out.push_back(std::move(limit));
    }
    return out;
}

json to_json(const std::optional<std::uint32_t>& it) {
    return it ? json(*it) : json();
}

std::optional<std::uint32_t> read_optional(const json& in) {
    return in.is_null() ? std::nullopt : std::optional<std::uint32_t>(in.get<std::uint32_t>());
}

// A segment is its id, a request both halves of its digest.
json to_json(const suspect_id& it) {
    return it.is_request() ? json::array({it.high, it.low}) : json(it.low);
}

suspect_id read_suspect_id(const json& in) {
    return in.is_array() ? suspect_id{in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()}
                         : suspect_id{0, in.get<std::uint64_t>()};
}

// Older releases read only the suspects that are segments, so those that are requests stand apart.
json to_json(const std::vector<suspect>& suspects, bool requests) {
    json out = json::array();
    for (const suspect& it : suspects) {
        if (it.id.is_request() != requests) {
            continue;
        }
        json accusations = json::array();
        for (const suspect::accusation& accusation : it.accusations) {
            accusations.push_back({accusation.crash, accusation.age_ms});
        }
        out.push_back({to_json(it.id), std::move(accusations), to_json(it.answered_age_ms),
                       to_json(it.trial_age_ms)});
    }
    return out;
}

void read_suspects(const json& in, std::vector<suspect>& out) {
    for (const json& it : in) {
        suspect told;
        told.id = read_suspect_id(it.at(0));
        for (const json& accusation : it.at(1)) {
            told.accusations.push_back(
                {accusation.at(0).get<crash_id>(), accusation.at(1).get<std::uint32_t>()});
        }
        told.answered_age_ms = read_optional(it.at(2));
        told.trial_age_ms = read_optional(it.at(3));
        out.push_back(std::move(told));
    }
}

// A part is [first, count] or new text.
json to_json(const relay::object_delta& it) {
    json parts = json::array();
    for (const relay::delta_part& part : it.to_contents.parts) {
        std::visit(overloaded{[&](const relay::base_run& run) {
                                  parts.push_back({run.first, run.count});
                              },
                              [&](const std::string& text) { parts.push_back(text); }},
                   part);
    }
    return {it.base_revision, it.to_contents.target_hash, std::move(parts)};
}

relay::object_delta read_delta(const json& in) {
    relay::object_delta out;
    out.base_revision = in.at(0).get<relay::revision_number>();
    out.to_contents.target_hash = in.at(1).get<std::uint64_t>();
    for (const json& it : in.at(2)) {
        if (it.is_string()) {
            out.to_contents.parts.emplace_back(it.get<std::string>());
        } else {
            out.to_contents.parts.emplace_back(
                relay::base_run{it.at(0).get<std::uint32_t>(), it.at(1).get<std::uint32_t>()});
        }
    }
    return out;
}

json to_json(const relay::reported_change& it) {
    json out = {it.revision, it.name, it.removed, it.contents};
    if (it.delta) {
        out.push_back(to_json(*it.delta));
    }
    return out;
}

relay::reported_change read_reported_change(const json& in) {
    relay::reported_change out{in.at(0).get<relay::revision_number>(), in.at(1).get<std::string>(),
                               in.at(2).get<bool>(), in.at(3).get<std::string>()};
    if (in.size() > 4) {
        out.delta = read_delta(in.at(4));
    }
    return out;
}

json to_json(gsl::span<const relay::reported_change> changes) {
    json out = json::array();
    for (const relay::reported_change& it : changes) {
        out.push_back(to_json(it));
    }
    return out;
}

// Number of changes up to the last one that is told by a delta.
std::size_t count_to_last_delta(const std::vector<relay::reported_change>& changes) {
    const auto last = std::find_if(changes.rbegin(), changes.rend(),
                                   [](const auto& it) { return it.delta.has_value(); });
    return static_cast<std::size_t>(std::distance(last, changes.rend()));
}

json to_json(const relay::copy_report& it) {
    const gsl::span<const relay::reported_change> all = it.changes;
    const std::size_t n = count_to_last_delta(it.changes);
    if (n == 0) {
        return {it.collection, it.as_of, it.complete_after, it.age_ms, to_json(all)};
    }
    // Older releases can't apply deltas: for them the report lists only what follows the last one,
    // so that they fetch the rest from the store.
    return {it.collection,           it.as_of,          all[n - 1].revision, it.age_ms,
            to_json(all.subspan(n)), it.complete_after, to_json(all)};
}

relay::copy_report read_report(const json& in) {
    relay::copy_report out{in.at(0).get<std::string>(),
                           in.at(1).get<relay::revision_number>(),
                           in.at(2).get<relay::revision_number>(),
                           in.at(3).get<std::uint32_t>(),
                           {}};
    const bool has_deltas = in.size() > 6;
    if (has_deltas) {
        out.complete_after = in.at(5).get<relay::revision_number>();
    }
    for (const json& it : in.at(has_deltas ? 6 : 4)) {
        out.changes.push_back(read_reported_change(it));
    }
    return out;
}

json to_json(const std::vector<vm_id>& list) {
    json out = json::array();
    for (const vm_id& it : list) {
        out.push_back(it.str());
    }
    return out;
}

std::vector<vm_id> read_vms(const json& in) {
    std::vector<vm_id> out;
    for (const json& it : in) {
        out.push_back(vm_id(it.get<std::string>()));
    }
    return out;
}

json services_to_json(const std::vector<service_id>& list) {
    json out = json::array();
    for (const service_id& it : list) {
        out.push_back(it.str());
    }
    return out;
}

std::vector<service_id> read_services(const json& in) {
    std::vector<service_id> out;
    for (const json& it : in) {
        out.push_back(service_id(it.get<std::string>()));
    }
    return out;
}

json to_json(const stated_losses& it) {
    return {it.more_unheard, to_json(it.unheard), it.more_deaf, to_json(it.deaf)};
}

stated_losses read_losses(const json& in) {
    return {read_vms(in.at(1)), in.at(0).get<bool>(), read_vms(in.at(3)), in.at(2).get<bool>()};
}

json to_json(const vm_status& it) {
    json out = {"p",
                it.configuration_version,
                it.leaving,
                work_to_json(it.work),
                demand_to_json(it.demand),
                limits_to_json(it.limits),
                to_json(it.suspects, false),
                to_json(it.suspects, true),
                to_json(it.losses)};
    if (!it.unreached_services.empty()) {
        out.push_back(services_to_json(it.unreached_services));
    }
    return out;
}

json to_json(const store_reports& it) {
    json out = json::array();
    for (const relay::copy_report& report : it.reports) {
        out.push_back(to_json(report));
    }
    return out;
}

store_reports read_reports(const json& in) {
    store_reports out;
    for (const json& it : in) {
        out.reports.push_back(read_report(it));
    }
    return out;
}

json to_json(const account_usage_report& it) {
    json out = json::array();
    for (const account_usage& use : it.uses) {
        out.push_back({use.account.str(), use.total.requested, use.total.admitted,
                       use.before.requested, use.before.admitted});
    }
    return out;
}

account_usage_report read_uses(const json& in) {
    account_usage_report out;
    for (const json& it : in) {
        out.uses.push_back({client_account_id(it.at(0).get<std::string>()),
                            {it.at(1).get<double>(), it.at(2).get<double>()},
                            {it.at(3).get<double>(), it.at(4).get<double>()}});
    }
    return out;
}

json to_json(const saturated_accounts& it) {
    json out = json::array();
    for (const account_saturation& account : it.accounts) {
        out.push_back({account.account.str(), account.demand, account.fill});
    }
    return out;
}

saturated_accounts read_saturated(const json& in) {
    saturated_accounts out;
    for (const json& it : in) {
        out.accounts.push_back({client_account_id(it.at(0).get<std::string>()),
                                it.at(1).get<double>(), it.at(2).get<double>()});
    }
    return out;
}

json to_json(const software& it) {
    return json::array({it.service.str(), it.version});
}

software read_software(const json& in) {
    return {service_id(in.at(0).get<std::string>()), in.at(1).get<std::string>()};
}

json to_json(const stream_announcement& it) {
    json out = json::array();
    for (const stream_group& group : it.groups) {
        out.push_back({to_json(group.at), group.streams});
    }
    return out;
}

stream_announcement read_announcement(const json& in) {
    stream_announcement out;
    for (const json& it : in) {
        out.groups.push_back({read_software(it.at(0)), it.at(1).get<std::vector<stream_key>>()});
    }
    return out;
}

json encode_body(const hint& it) {
    return std::visit(
        overloaded{
            [](const vm_status& p) { return to_json(p); },
            [](const adapter_usage& u) {
                return json::array({"u", u.engine.str(), to_json(u.sent), to_json(u.running)});
            },
            [](const load_request& w) {
                return json::array({"w", w.engine.str(), to_json(w.adapter), w.max_wait_ms});
            },
            [](const adapter_hint& h) {
                return json::array({"h", h.engine.str(), to_json(h.adapter), h.held, h.ready_in_ms,
                                    h.version, h.ordered, h.load_time_ms, h.concurrent_loads});
            },
            [](const load_refusal& r) {
                return json::array(
                    {"r", r.engine.str(), to_json(r.adapter), to_json(r.ready_in_ms)});
            },
            [](const store_reports& s) {
                return json::array({"s", to_json(s)});
            },
            [](const account_usage_report& u) {
                return json::array({"a", to_json(u)});
            },
            [](const saturated_accounts& c) {
                return json::array({"c", to_json(c)});
            },
            [](const suspects_update& x) {
                return json::array({"x", to_json(x.suspects, false), to_json(x.suspects, true)});
            },
            [](const stream_announcement& b) {
                return json::array({"b", to_json(b)});
            },
            [](const stream_query& q) {
                return json::array({"q", q.stream});
            },
            [](const stream_reply& o) {
                return json::array({"o", o.stream, o.began_at ? to_json(*o.began_at) : json()});
            }},
        it);
}

hint read_body(const json& in) {
    const std::string kind = in.at(0).get<std::string>();
    if (kind == "p") {
        vm_status out{in.at(1).get<std::uint64_t>(),
                      in.at(2).get<bool>(),
                      read_work(in.at(3)),
                      read_demand(in.at(4)),
                      {},
                      {},
                      {},
                      {}};
        // Daemons of older releases send no limits.
        if (in.size() > 5) {
            out.limits = read_limits(in.at(5));
        }
        // Nor do they send suspects.
        if (in.size() > 6) {
            read_suspects(in.at(6), out.suspects);
        }
        if (in.size() > 7) {
            read_suspects(in.at(7), out.suspects);
        }
        // Nor do they send losses of contact.
        if (in.size() > 8) {
            out.losses = read_losses(in.at(8));
        }
        // A sender that reaches all services leaves them out.
        if (in.size() > 9) {
            out.unreached_services = read_services(in.at(9));
        }
        return out;
    }
    if (kind == "s") {
        return read_reports(in.at(1));
    }
    if (kind == "a") {
        return read_uses(in.at(1));
    }
    if (kind == "c") {
        return read_saturated(in.at(1));
    }
    if (kind == "x") {
        suspects_update out;
        read_suspects(in.at(1), out.suspects);
        if (in.size() > 2) {
            read_suspects(in.at(2), out.suspects);
        }
        return out;
    }
    if (kind == "b") {
        return read_announcement(in.at(1));
    }
    if (kind == "q") {
        return stream_query{in.at(1).get<stream_key>()};
    }
    if (kind == "o") {
        stream_reply out{in.at(1).get<stream_key>(), std::nullopt};
        if (!in.at(2).is_null()) {
            out.began_at = read_software(in.at(2));
        }
        return out;
    }
    const endpoint_id engine(in.at(1).get<std::string>());
    if (kind == "u") {
        return adapter_usage{engine, read_choices(in.at(2)), read_choices(in.at(3))};
    }
    if (kind == "w") {
        return load_request{engine, read_choice(in.at(2)), in.at(3).get<std::uint32_t>()};
    }
    if (kind == "h") {
        adapter_hint out{engine,
                         read_choice(in.at(2)),
                         in.at(3).get<bool>(),
                         in.at(4).get<std::uint32_t>(),
                         in.at(5).get<std::uint64_t>(),
                         in.at(6).get<bool>(),
                         0,
                         0};
        // Daemons of older releases send no load time.
        if (in.size() > 8) {
            out.load_time_ms = in.at(7).get<std::uint32_t>();
            out.concurrent_loads = in.at(8).get<std::uint32_t>();
        }
        return out;
    }
    if (kind == "r") {
        load_refusal out{engine, read_choice(in.at(2)), std::nullopt};
        // Daemons of older releases send no time.
        if (in.size() > 3 && !in.at(3).is_null()) {
            out.ready_in_ms = in.at(3).get<std::uint32_t>();
        }
        return out;
    }
    findings found;
    found.add("hint", "unknown kind " + kind);
    throw invalid_input(found);
}

}  // namespace

std::string encode(const hint_message& it) {
    const json out = json::array({it.from.vm.str(), it.from.incarnation, encode_body(it.body)});
    std::string bytes;
    json::to_cbor(out, bytes);
    return bytes;
}

hint_message decode_hint(std::string_view data) {
    try {
        const json in = json::from_cbor(data.begin(), data.end());
        hint_message out;
        out.from.vm = vm_id(in.at(0).get<std::string>());
        out.from.incarnation = in.at(1).get<incarnation_number>();
        out.body = read_body(in.at(2));
        return out;
    } catch (const json::exception& e) {
        findings found;
        found.add("hint", e.what());
        throw invalid_input(found);
    }
}

}  // namespace radishpulley::routing
