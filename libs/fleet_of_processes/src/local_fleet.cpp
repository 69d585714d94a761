#include "fleet_of_processes/local_fleet.h"

#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "http/free_port.h"

namespace radishpulley::fleet_of_processes {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr const char* operator_token = "operator-token";
constexpr const char* fleet_secret = "fleet-secret-of-the-local-fleet";
constexpr const char* key_secret = "key-secret-of-the-local-fleet";
constexpr auto call_timeout = 30s;
constexpr auto accept_limit = 50s;
constexpr auto poll_interval = 20ms;

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path);
    out << text;
    if (!out) {
        throw std::runtime_error("cannot write " + path);
    }
}

}  // namespace

bool wait_until(const std::function<bool()>& holds, std::chrono::milliseconds limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return holds();
}

local_fleet::local_fleet(local_fleet_settings settings) : settings_(std::move(settings)) {
    platform_ = std::make_unique<standins::platform_server>(http::free_address());
    for (std::size_t i = 0; i < settings_.engines; ++i) {
        standins::model_engine_settings engine;
        engine.id = "engine-" + std::to_string(i);
        engine.address = http::free_address();
        engine.slots = settings_.slots;
        engine.checks_fencing = i % 2 == 0;
        engine.token_time = settings_.token_time;
        engines_.push_back(std::make_unique<standins::model_engine>(engine));
    }
    application_ = std::make_unique<standins::application_engine>(http::free_address());
    write_file(settings_.folder + "/operator.token", operator_token);
    write_file(settings_.folder + "/fleet.secret", fleet_secret);
    write_file(settings_.folder + "/key.secret", key_secret);
    std::vector<object_api::vm_entry> list;
    for (std::size_t i = 0; i < settings_.vms; ++i) {
        local_vm it;
        it.entry.vm = vm_id("vm" + std::to_string(i));
        it.entry.zone = zone_id("zone-" + std::to_string(i % 3));
        it.entry.region = region_id("solo");
        it.entry.peer_address = "ws://127.0.0.1:" + std::to_string(http::free_port());
        it.callers = http::free_address();
        it.administration = http::free_address();
        list.push_back(it.entry);
        write_settings(it);
        vms_.push_back(std::move(it));
    }
    platform_->set_vms(list);
}

void local_fleet::write_settings(local_vm& it) const {
    const std::string& folder = settings_.folder;
    it.settings_file = folder + "/" + it.entry.vm.str() + ".toml";
    write_file(
        it.settings_file,
        "[vm]\nid = \"" + it.entry.vm.str() + "\"\navailability_zone = \"" + it.entry.zone.str() +
            "\"\nregion = \"" + it.entry.region.str() + "\"\n[callers]\nlisten = \"" + it.callers +
            "\"\nrequest_timeout = \"20s\"\n[administration]\nlisten = \"" + it.administration +
            "\"\ntoken_file = \"" + folder + "/operator.token\"\n[peers]\nlisten = \"" +
            it.entry.peer_address + "\"\nsecret_file = \"" + folder +
            "/fleet.secret\"\n[platform]\nobject_api = \"" + platform_->address() +
            "\"\nvm_list = \"" + platform_->address() + "\"\n[keys]\nsecret_file = \"" + folder +
            "/key.secret\"\n[limits]\nbalancer_notice = \"1s\"\nshutdown_grace = "
            "\"30s\"\n");
}

void local_fleet::start(std::size_t i) {
    local_vm& it = vms_[i];
    it.process = std::make_unique<standins::child_process>(
        std::vector<std::string>{settings_.daemon_program, "--settings=" + it.settings_file},
        settings_.folder + "/" + it.entry.vm.str() + ".log");
}

void local_fleet::start_all() {
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        start(i);
    }
}

bool local_fleet::wait_ready(std::size_t i, std::chrono::seconds limit) const {
    const http::client client(vms_[i].callers, 1s);
    return wait_until(
        [&] {
            const http::call_result result = client.call({"GET", "/readyz", {}, {}});
            const auto* answer = std::get_if<http::response>(&result);
            return answer != nullptr && answer->status == 200;
        },
        limit);
}

http::response local_fleet::administer(std::size_t i, const std::string& method,
                                       const std::string& path, const std::string& body) const {
    const http::client client(vms_[i].administration, call_timeout);
    const http::header_map headers = {{"Authorization", std::string("Bearer ") + operator_token}};
    const http::call_result result = client.call({method, path, headers, body});
    const auto* answer = std::get_if<http::response>(&result);
    return answer == nullptr ? http::response{0, {}, {}} : *answer;
}

http::response local_fleet::call(std::size_t i, const std::string& key, const std::string& path,
                                 const std::string& body,
                                 const std::string& idempotency_key) const {
    const http::client client(vms_[i].callers, call_timeout);
    http::header_map headers = {{"Content-Type", "application/json"}};
    if (!key.empty()) {
        headers["Authorization"] = "Bearer " + key;
    }
    if (!idempotency_key.empty()) {
        headers["Idempotency-Key"] = idempotency_key;
    }
    const http::call_result result =
        client.call({body.empty() ? "GET" : "POST", path, headers, body});
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        return {0, {}, failure->message};
    }
    return std::get<http::response>(result);
}

void local_fleet::accept(std::size_t i, const std::string& ticket) {
    http::response last;
    const bool accepted = wait_until(
        [&] {
            last = administer(i, "POST", "/v1/tickets", ticket);
            if (last.status != 200 && last.status < 500 && last.status != 0) {
                throw std::runtime_error("the ticket was refused: " + last.body);
            }
            return last.status == 200;
        },
        accept_limit);
    if (!accepted) {
        throw std::runtime_error("the ticket was not accepted: " + last.body);
    }
}

std::string local_fleet::digest_of(const std::string& key) const {
    return hmac_sha256_hex(key_secret, key);
}

std::string local_fleet::first_ticket(std::uint64_t number) const {
    json endpoints = json::array();
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        endpoints.push_back({{"id", "engine-" + std::to_string(i)},
                             {"service", "drafts"},
                             {"address", engines_[i]->address()},
                             {"zone", "zone-" + std::to_string(i % 3)},
                             {"region", "solo"},
                             {"slots", settings_.slots},
                             {"concurrency", settings_.concurrency},
                             {"checks_fencing", i % 2 == 0}});
    }
    endpoints.push_back({{"id", "press"},
                         {"service", "print"},
                         {"address", application_->address()},
                         {"zone", "zone-0"},
                         {"region", "solo"},
                         {"concurrency", 8}});
    json adapters = json::array();
    json versions = json::array();
    for (const char* name : {"runners", "spines", "stock"}) {
        adapters.push_back({{"id", name}, {"service", "drafts"}, {"current_version", "v1"}});
        versions.push_back({{"adapter", name}, {"version", "v1"}, {"source", "store:/v1"}});
    }
    adapters[1]["accounts"] = {"rhwymo"};
    const json set = {
        {"services",
         {{{"id", "drafts"}, {"kind", "model"}, {"base_model", "base"}},
          {{"id", "print"}, {"kind", "application"}, {"route", "print"}}}},
        {"client_accounts",
         {{{"id", "sastro"}, {"rate", 10000000}, {"burst", 20000000}},
          {{"id", "rhwymo"}, {"rate", 100}, {"burst", 1000}}}},
        {"keys",
         {{{"id", "k-sastro"}, {"account", "sastro"}, {"digest", digest_of("sastro-key")}},
          {{"id", "k-rhwymo"}, {"account", "rhwymo"}, {"digest", digest_of("rhwymo-key")}}}},
        {"adapters", adapters},
        {"adapter_versions", versions},
        {"endpoints", endpoints}};
    return json{{"number", number}, {"set", set}}.dump();
}

}  // namespace radishpulley::fleet_of_processes
