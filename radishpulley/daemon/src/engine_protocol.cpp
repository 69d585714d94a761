#include "daemon/engine_protocol.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "placement/response_check.h"

namespace radishpulley::daemon {
namespace {

using nlohmann::json;
using placement::order_kind;
using placement::order_outcome;

constexpr int status_fenced = 409;

order_outcome outcome_of(const http::response& answer) {
    if (answer.status == 200) {
        return order_outcome::done;
    }
    return answer.status == status_fenced ? order_outcome::fenced : order_outcome::failed;
}

placement::reported_adapter parse_reported(const json& value) {
    placement::reported_adapter it;
    it.adapter = parse_adapter_name(value.at("lora_name").get_ref<const std::string&>());
    it.state = value.at("state") == "loaded" ? placement::reported_state::loaded
                                             : placement::reported_state::loading;
    it.active = value.value("active", 0U);
    return it;
}

}  // namespace

http::request order_call(const placement::engine_order& it, std::string_view source) {
    const bool is_load = it.kind == order_kind::load;
    json body = {{"lora_name", placement::engine_name(it.adapter)}, {"fencing_number", it.fence}};
    if (is_load) {
        body["lora_path"] = source;
    }
    http::request call;
    call.method = "POST";
    call.target = is_load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
    call.headers["Content-Type"] = "application/json";
    call.body = body.dump();
    return call;
}

placement::order_result order_result_of(const placement::engine_order& it,
                                        const http::call_result& result) {
    placement::order_result out;
    out.order = it;
    if (const auto* answer = std::get_if<http::response>(&result)) {
        out.outcome = outcome_of(*answer);
        out.engine_incarnation = std::string(answer->header("X-Engine-Incarnation"));
        return out;
    }
    const bool not_sent =
        std::get<http::call_failure>(result).stage == http::failure_stage::not_connected;
    out.outcome = not_sent ? order_outcome::failed : order_outcome::unknown;
    return out;
}

placement::engine_report parse_report(const endpoint_id& endpoint, std::string_view text) {
    const json value = json::parse(text);
    placement::engine_report it;
    it.endpoint = endpoint;
    it.engine_incarnation = value.at("engine_incarnation").get<std::string>();
    it.sequence = value.at("sequence").get<std::uint64_t>();
    it.running = value.value("running", 0U);
    it.queued = value.value("queued", 0U);
    for (const json& adapter : value.at("adapters")) {
        it.adapters.push_back(parse_reported(adapter));
    }
    return it;
}

placement::adapter_ref parse_adapter_name(std::string_view name) {
    const auto at = name.find('@');
    if (at == std::string_view::npos) {
        throw std::invalid_argument("adapter name \"" + std::string(name) + "\" has no version");
    }
    return {adapter_id(name.substr(0, at)), version_id(name.substr(at + 1))};
}

}  // namespace radishpulley::daemon
