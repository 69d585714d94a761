#include "daemon/caller_request.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "idempotency/record.h"
#include "placement/response_check.h"

namespace radishpulley::daemon {
namespace {

using model::resource_kind;
using nlohmann::json;
using requests::error_code;
using requests::repeat_policy;

constexpr double bytes_per_token = 4;
constexpr std::uint64_t default_max_tokens = 256;
constexpr std::uint64_t largest_max_tokens = 1'000'000;
constexpr std::size_t prefix_bytes = 1024;
constexpr std::string_view services_path = "/v1/services/";
constexpr std::string_view bearer_prefix = "Bearer ";

// Headers that concern one connection or the caller's identity, and so are not passed on.
constexpr std::array<std::string_view, 8> private_headers = {
    "Authorization", "Connection",        "Content-Length", "Cookie",
    "Host",          "Transfer-Encoding", "Expect",         "Idempotency-Key"};

bool is_private(std::string_view name) {
    return std::any_of(private_headers.begin(), private_headers.end(), [&](std::string_view it) {
        const http::header_name_less less;
        return !less(it, name) && !less(name, it);
    });
}

// Checks the members that this product reads; engines judge the others.
std::optional<call_error> check_body(const json& body) {
    if (!body.is_object()) {
        return call_error{error_code::bad_request, "the body is not a JSON object"};
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return call_error{error_code::bad_request, "\"model\" must be a string"};
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return call_error{error_code::bad_request, "\"stream\" must be true or false"};
    }
    const auto tokens = body.find("max_tokens");
    const bool has_tokens = tokens != body.end();
    if (has_tokens &&
        (!tokens->is_number_unsigned() || tokens->get<std::uint64_t>() > largest_max_tokens)) {
        return call_error{error_code::bad_request, "\"max_tokens\" must be from 0 to 1000000"};
    }
    return std::nullopt;
}

struct named_model {
    const model::adapter* adapter = nullptr;
    version_id version;
};

std::variant<named_model, call_error> find_model(const std::string& name,
                                                 const model::configuration& now) {
    const auto at = name.find('@');
    named_model it;
    it.adapter = now.find_adapter(adapter_id(name.substr(0, at)));
    if (it.adapter == nullptr) {
        return call_error{error_code::not_found, "model \"" + name + "\" does not exist"};
    }
    it.version =
        at == std::string::npos ? it.adapter->current_version : version_id(name.substr(at + 1));
    if (now.find_version(it.adapter->id, it.version) == nullptr) {
        return call_error{error_code::not_found, "model \"" + name + "\" has no such version"};
    }
    return it;
}

std::string prompt_of(const json& body) {
    const auto prompt = body.find("prompt");
    if (prompt != body.end()) {
        return prompt->is_string() ? prompt->get<std::string>() : prompt->dump();
    }
    return body.value("messages", json::array()).dump();
}

caller_call parse_model_call(const http::request& it, const model::configuration& now) {
    json body = json::parse(it.body, nullptr, false);
    if (const auto error = check_body(body)) {
        return *error;
    }
    const auto found = find_model(body["model"].get<std::string>(), now);
    if (const auto* error = std::get_if<call_error>(&found)) {
        return *error;
    }
    const auto& named = std::get<named_model>(found);
    const model::service* service = now.find_service(named.adapter->service);
    model_call call;
    call.service = service->id;
    call.open = service->open;
    call.adapter = {named.adapter->id, named.version};
    call.streamed = body.value("stream", false);
    const std::string prompt = prompt_of(body);
    call.prompt_tokens = static_cast<double>(prompt.size()) / bytes_per_token;
    call.max_tokens = static_cast<double>(body.value("max_tokens", default_max_tokens));
    call.prefix = stable_hash(std::string_view(prompt).substr(0, prefix_bytes));
    body["model"] = placement::engine_name(call.adapter);
    // The charge rests on this bound, so the engine must know it.
    body["max_tokens"] = body.value("max_tokens", default_max_tokens);
    call.to_endpoint = {
        "POST", std::string(it.path()), {{"Content-Type", "application/json"}}, body.dump()};
    return call;
}

const model::service* find_route(std::string_view route, const model::configuration& now) {
    for (const model::resource* held : now.list(resource_kind::service)) {
        const auto& it = std::get<model::service>(*held);
        if (it.kind == model::service_kind::application && it.route == route) {
            return &it;
        }
    }
    return nullptr;
}

bool is_idempotent_method(std::string_view method) {
    return method != "POST" && method != "PATCH";
}

caller_call parse_application_call(const http::request& it, const model::configuration& now) {
    const std::string_view rest = std::string_view(it.target).substr(services_path.size());
    const auto end = rest.find_first_of("/?");
    const model::service* service = find_route(rest.substr(0, end), now);
    if (service == nullptr) {
        return call_error{error_code::not_found, "no service has this route"};
    }
    application_call call;
    call.service = service->id;
    call.open = service->open;
    call.idempotency_key = std::string(it.header("Idempotency-Key"));
    if (!call.idempotency_key.empty() && !idempotency::is_valid_key(call.idempotency_key)) {
        return call_error{error_code::bad_request, "the Idempotency-Key is too long or not ASCII"};
    }
    if (service->open && !call.idempotency_key.empty()) {
        // Callers of an open route would share their keys, and so see each other's answers.
        return call_error{error_code::bad_request, "open routes take no Idempotency-Key"};
    }
    if (!is_idempotent_method(it.method)) {
        call.repeat = call.idempotency_key.empty() ? repeat_policy::once_without_key
                                                   : repeat_policy::once_with_key;
    }
    const std::string target = end == std::string_view::npos ? "/" : std::string(rest.substr(end));
    call.to_endpoint = {it.method, target.front() == '?' ? "/" + target : target, {}, it.body};
    for (const auto& [name, value] : it.headers) {
        if (!is_private(name)) {
            call.to_endpoint.headers[name] = value;
        }
    }
    return call;
}

}  // namespace

caller_call parse_call(const http::request& it, const model::configuration& now) {
    const std::string_view path = it.path();
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        if (it.method != "POST") {
            return call_error{error_code::bad_request, "only POST is served here"};
        }
        return parse_model_call(it, now);
    }
    if (path == "/v1/models" && it.method == "GET") {
        return list_models_call{};
    }
    if (path.substr(0, services_path.size()) == services_path) {
        return parse_application_call(it, now);
    }
    return call_error{error_code::not_found, "there is nothing at this path"};
}

std::optional<std::string> bearer_token(const http::request& it) {
    const std::string_view value = it.header("Authorization");
    if (value.substr(0, bearer_prefix.size()) != bearer_prefix) {
        return std::nullopt;
    }
    return std::string(value.substr(bearer_prefix.size()));
}

bool may_use(const model::adapter& it, const client_account_id& account) {
    return it.accounts.empty() ||
           std::find(it.accounts.begin(), it.accounts.end(), account) != it.accounts.end();
}

std::string models_body(const model::configuration& now, const client_account_id& account) {
    json list = json::array();
    for (const model::resource* held : now.list(resource_kind::adapter)) {
        const auto& it = std::get<model::adapter>(*held);
        if (may_use(it, account)) {
            list.push_back(
                {{"id", it.id.str()}, {"object", "model"}, {"version", it.current_version.str()}});
        }
    }
    return json{{"object", "list"}, {"data", list}}.dump();
}

}  // namespace radishpulley::daemon
