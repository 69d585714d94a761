#include "daemon/admin_server.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/overloaded.h"
#include "details/responses.h"
#include "telemetry/event_log.h"

namespace radishpulley::daemon {
namespace {

using http::json_response;
using http::request;
using http::response;
using model::resource_kind;
using nlohmann::json;
using telemetry::log_event;
using telemetry::severity;

constexpr std::size_t key_bytes = 24;
constexpr std::string_view tickets_path = "/v1/tickets/";
constexpr std::string_view resources_path = "/v1/resources/";

response state_answer(int status, std::string_view state, json more = json::object()) {
    more["state"] = state;
    return json_response(status, more.dump());
}

json to_json(const findings& it) {
    json list = json::array();
    for (const finding& entry : it.list()) {
        list.push_back({{"place", entry.place}, {"message", entry.message}});
    }
    return list;
}

response to_response(const tickets::accept_result& it, model::ticket_number number) {
    const json named = {{"number", number}};
    return std::visit(
        overloaded{
            [&](const tickets::accepted&) { return state_answer(200, "accepted", named); },
            [&](const tickets::accepted_before&) { return state_answer(200, "accepted", named); },
            [&](const tickets::refused_as_older& e) {
                return state_answer(409, "older_than_newest", {{"newest", e.newest}});
            },
            [&](const tickets::refused_as_different&) {
                return state_answer(409, "number_taken", named);
            },
            [&](const tickets::refused_with_findings& e) {
                return state_answer(422, "refused", {{"findings", to_json(e.found)}});
            },
            [&](const tickets::not_accepted&) { return state_answer(503, "not_accepted", named); },
            [&](const tickets::acceptance_unknown&) {
                return state_answer(504, "unknown", named);
            }},
        it);
}

response to_response(const keys::must_not_commit& it) {
    json unaware = json::array();
    for (const vm_id& vm : it.unaware) {
        unaware.push_back(vm.str());
    }
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(it.retry_after);
    return state_answer(503, "not_accepted",
                        {{"retry_after_ms", wait.count()}, {"unaware", unaware}});
}

json names_of(const std::vector<vm_id>& vms) {
    json list = json::array();
    for (const vm_id& it : vms) {
        list.push_back(it.str());
    }
    return list;
}

// A key's digest is of no use to operators, and is left out.
json shown(const model::resource& it) {
    json value = model::to_json(it);
    value.erase("digest");
    return value;
}

std::optional<resource_kind> kind_named(std::string_view plural) {
    for (std::size_t i = 0; i < model::resource_kind_count; ++i) {
        const auto kind = static_cast<resource_kind>(i);
        if (model::plural_name(kind) == plural) {
            return kind;
        }
    }
    return std::nullopt;
}

std::string_view name_of(membership::member_state it) {
    switch (it) {
        case membership::member_state::listed:
            return "listed";
        case membership::member_state::alive:
            return "heard";
        case membership::member_state::silent:
            return "silent";
        case membership::member_state::ended:
            return "gone";
        case membership::member_state::leaving:
            return "leaving";
    }
    return "unknown";
}

std::string_view name_of(const keys::serving_decision& it) {
    return std::visit(
        overloaded{[](const keys::serve_fresh&) { return std::string_view("fresh"); },
                   [](const keys::serve_on_holds&) { return std::string_view("on_holds"); },
                   [](const keys::refuse_keyed&) { return std::string_view("refused"); }},
        it);
}

}  // namespace

admin_server::admin_server(admin_settings settings, services& with, service_state& state,
                           telemetry::registry& metrics)
    : settings_(std::move(settings)),
      services_(with),
      state_(state),
      metrics_(metrics),
      server_(
          settings_.address, [this](const request& it, const auto& answer) { take(it, answer); },
          http::server_limits(), settings_.tls) {}

bool admin_server::is_operator(const request& it) const {
    const std::string token = bearer_token(it).value_or("");
    return constant_time_equal(sha256_hex(token), settings_.token_digest);
}

void admin_server::take(const request& it, const std::shared_ptr<http::responder>& answer) {
    const std::string_view path = it.path();
    if (const auto health = detail::health_response(path, state_)) {
        answer->send(*health);
        return;
    }
    if (path == "/metrics") {
        answer->send({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.to_text()});
        return;
    }
    if (!is_operator(it)) {
        log_event(severity::warning, "operator_refused", {{"path", path}});
        answer->send(state_answer(401, "unauthenticated"));
        return;
    }
    if (path == "/v1/tickets" && it.method == "POST") {
        // Commits wait for the object API, so they run on a worker.
        services_.workers.post([this, it, answer] { answer->send(accept_ticket(it)); });
    } else if (path == "/v1/keys" && it.method == "POST") {
        services_.workers.post([this, it, answer] { answer->send(create_key(it)); });
    } else if (path.substr(0, tickets_path.size()) == tickets_path) {
        answer->send(show_ticket(path.substr(tickets_path.size())));
    } else if (path.substr(0, resources_path.size()) == resources_path) {
        answer->send(show_resources(path.substr(resources_path.size())));
    } else if (path == "/v1/status") {
        answer->send(show_status());
    } else {
        answer->send(state_answer(404, "not_found"));
    }
}

response admin_server::accept_ticket(const request& it) {
    model::ticket ticket;
    try {
        ticket = model::parse_ticket(it.body);
    } catch (const invalid_input& e) {
        return state_answer(422, "refused", {{"findings", to_json(e.found())}});
    }
    const auto result = services_.fleet.accept(ticket);
    const response out = std::holds_alternative<keys::must_not_commit>(result)
                             ? to_response(std::get<keys::must_not_commit>(result))
                             : to_response(std::get<tickets::accept_result>(result), ticket.number);
    log_event(severity::info, "ticket_answered",
              {{"ticket", ticket.number}, {"status", out.status}});
    return out;
}

response admin_server::create_key(const request& it) {
    const json body = json::parse(it.body, nullptr, false);
    if (!body.is_object() || !body.contains("id") || !body.contains("account") ||
        !body.contains("number")) {
        return state_answer(
            422, "refused",
            {{"findings", {{{"place", "key"}, {"message", "needs id, account and number"}}}}});
    }
    const std::string key = "rp-" + random_hex(key_bytes);
    const json ticket = {{"number", body["number"]},
                         {"set",
                          {{"keys",
                            {{{"id", body["id"]},
                              {"account", body["account"]},
                              {"digest", keys::key_digest(settings_.key_secret, key)}}}}}}};
    request inner = it;
    inner.body = ticket.dump();
    response out = accept_ticket(inner);
    if (out.status == 200) {
        json shown_once = json::parse(out.body);
        shown_once["key"] = key;
        out.body = shown_once.dump();
    }
    return out;
}

response admin_server::show_ticket(std::string_view number) const {
    model::ticket_number n = 0;
    const auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), n);
    if (ec != std::errc() || end != number.data() + number.size()) {
        return state_answer(404, "not_found");
    }
    const tickets::rollout_status status = services_.fleet.rollout(n);
    return state_answer(200, status.missing.empty() ? "in_force" : "rolling_out",
                        {{"number", n},
                         {"in_force", names_of(status.in_force)},
                         {"missing", names_of(status.missing)}});
}

response admin_server::show_resources(std::string_view path) const {
    const auto slash = path.find('/');
    const auto kind = kind_named(path.substr(0, slash));
    if (!kind) {
        return state_answer(404, "not_found");
    }
    const auto view = services_.fleet.view();
    if (slash != std::string_view::npos) {
        const auto* it = view->value().find({*kind, std::string(path.substr(slash + 1))});
        return it == nullptr ? state_answer(404, "not_found")
                             : json_response(200, shown(*it).dump());
    }
    json list = json::array();
    for (const model::resource* it : view->value().list(*kind)) {
        list.push_back(shown(*it));
    }
    return json_response(
        200, json{{"ticket", view->value().number()}, {std::string(path), list}}.dump());
}

response admin_server::show_status() const {
    json peers = json::array();
    for (const membership::member& it : services_.fleet.members()) {
        peers.push_back({{"vm", it.entry.vm.str()},
                         {"incarnation", it.incarnation},
                         {"availability_zone", it.entry.zone.str()},
                         {"state", name_of(it.state)}});
    }
    json held = json::array();
    for (const ownership::holding& it : services_.placement.holdings()) {
        held.push_back({{"holding", it.id.str()}, {"fence", it.fence}});
    }
    const json value = {{"vm", services_.self.vm.str()},
                        {"incarnation", services_.self.incarnation},
                        {"ticket", services_.fleet.view()->value().number()},
                        {"keyed_requests", name_of(services_.fleet.serving())},
                        {"running_requests", services_.sessions.size()},
                        {"limit_slots", services_.quota.slot_count()},
                        {"holdings", held},
                        {"members", peers},
                        {"ready", state_.ready.load()}};
    return json_response(200, value.dump());
}

}  // namespace radishpulley::daemon
