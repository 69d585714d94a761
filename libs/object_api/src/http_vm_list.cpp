#include "object_api/http_vm_list.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace radishpulley::object_api {
namespace {

using nlohmann::json;

vm_entry parse_entry(const json& value) {
    vm_entry it;
    it.vm = vm_id(value.at("id").get<std::string>());
    it.zone = zone_id(value.at("availability_zone").get<std::string>());
    it.region = region_id(value.at("region").get<std::string>());
    it.peer_address = value.at("peer_address").get<std::string>();
    it.state = value.at("state") == "leaving" ? vm_state::leaving : vm_state::live;
    return it;
}

}  // namespace

http_vm_list::http_vm_list(std::string address, std::chrono::milliseconds timeout)
    : client_(std::move(address), timeout) {}

vm_list_result http_vm_list::read() {
    const http::call_result result = client_.call({"GET", "/v1/vms", {}, {}});
    const auto* answer = std::get_if<http::response>(&result);
    if (answer == nullptr || answer->status != 200) {
        return unreachable{};
    }
    try {
        std::vector<vm_entry> all;
        const json whole = json::parse(answer->body);
        for (const json& value : whole.at("vms")) {
            all.push_back(parse_entry(value));
        }
        return all;
    } catch (const json::exception&) {
        return unreachable{};
    }
}

}  // namespace radishpulley::object_api
