#include "standins/platform_server.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/overloaded.h"

namespace radishpulley::standins {
namespace {

using namespace object_api;
using http::request;
using http::response;
using nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::chrono::milliseconds max_watch_wait{30'000};

std::string tag_of(object_version version) {
    return '"' + std::to_string(version) + '"';
}

object_version expected_version(const request& it) {
    std::string_view tag = it.header("If-Match");
    tag = tag.size() >= 2 ? tag.substr(1, tag.size() - 2) : tag;
    object_version version = 0;
    std::from_chars(tag.data(), tag.data() + tag.size(), version);
    return version;
}

response answer_get(const get_result& result) {
    return std::visit(overloaded{[](const object& it) {
                                     return response{200, {{"ETag", tag_of(it.version)}}, it.value};
                                 },
                                 [](const not_found&) {
                                     return response{404, {}, {}};
                                 },
                                 [](const unreachable&) {
                                     return response{503, {}, {}};
                                 }},
                      result);
}

response answer_put(const put_result& result) {
    return std::visit(overloaded{[](const stored& it) {
                                     return response{200, {{"ETag", tag_of(it.version)}}, {}};
                                 },
                                 [](const conflict& it) {
                                     return response{412, {{"ETag", tag_of(it.current)}}, {}};
                                 },
                                 [](const outcome_unknown&) {
                                     return response{503, {}, {}};
                                 }},
                      result);
}

response answer_list(const list_result& result) {
    const auto* names = std::get_if<std::vector<std::string>>(&result);
    if (names == nullptr) {
        return {503, {}, {}};
    }
    return http::json_response(200, json{{"names", *names}}.dump());
}

response answer_watch(const watch_result& result) {
    const auto* it = std::get_if<watch_answer>(&result);
    if (it == nullptr) {
        return {503, {}, {}};
    }
    const json value = {
        {"changed", it->changed}, {"revision", it->revision}, {"complete", it->complete}};
    return http::json_response(200, value.dump());
}

std::uint64_t number_in(const request& it, std::string_view name) {
    const std::string text = it.query(name).value_or("0");
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

json to_json(const vm_entry& it) {
    return {{"id", it.vm.str()},
            {"availability_zone", it.zone.str()},
            {"region", it.region.str()},
            {"peer_address", it.peer_address},
            {"state", it.state == vm_state::leaving ? "leaving" : "live"}};
}

}  // namespace

struct platform_server::details {
    memory_object_store store{true};
    std::mutex mutex;
    std::vector<vm_entry> vms;
    std::unique_ptr<http::server> listener;

    response answer_vms() {
        const std::lock_guard<std::mutex> lock(mutex);
        json list = json::array();
        for (const vm_entry& it : vms) {
            list.push_back(to_json(it));
        }
        return http::json_response(200, json{{"vms", list}}.dump());
    }

    response answer_object(const request& it) {
        const std::string name(it.path().substr(objects_path.size()));
        if (it.method == "GET") {
            return answer_get(store.get(name));
        }
        if (it.method == "PUT") {
            return answer_put(store.put(name, it.body, expected_version(it)));
        }
        if (it.method == "DELETE") {
            return answer_put(store.remove(name, expected_version(it)));
        }
        return {405, {}, {}};
    }

    // Waiting watches must not hold the threads of the library.
    void start_watch(const request& it, const std::shared_ptr<http::responder>& answer) {
        const std::string prefix = it.query("prefix").value_or("");
        const std::uint64_t since = number_in(it, "since");
        const auto wait =
            std::min(std::chrono::milliseconds(number_in(it, "wait_ms")), max_watch_wait);
        std::thread([this, prefix, since, wait, answer] {
            answer->send(answer_watch(store.watch(prefix, since, wait)));
        }).detach();
    }

    void take(const request& it, const std::shared_ptr<http::responder>& answer) {
        const std::string_view path = it.path();
        if (path == "/v1/watch") {
            start_watch(it, answer);
        } else if (path == "/v1/vms") {
            answer->send(answer_vms());
        } else if (path == "/v1/objects") {
            answer->send(answer_list(store.list(it.query("prefix").value_or(""))));
        } else if (path.substr(0, objects_path.size()) == objects_path) {
            answer->send(answer_object(it));
        } else {
            answer->send({404, {}, {}});
        }
    }
};

platform_server::platform_server(std::string address) : details_(std::make_unique<details>()) {
    details* state = details_.get();
    details_->listener = std::make_unique<http::server>(
        std::move(address),
        [state](const request& it, const auto& answer) { state->take(it, answer); });
}

platform_server::~platform_server() {
    // Ends waiting watches before the listener waits for their answers.
    details_->store.set_down(true);
    details_->listener.reset();
}

const std::string& platform_server::address() const {
    return details_->listener->address();
}

memory_object_store& platform_server::store() {
    return details_->store;
}

void platform_server::set_vms(std::vector<vm_entry> vms) {
    const std::lock_guard<std::mutex> lock(details_->mutex);
    details_->vms = std::move(vms);
}

}  // namespace radishpulley::standins
