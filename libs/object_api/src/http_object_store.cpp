#include "object_api/http_object_store.h"

#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace radishpulley::object_api {
namespace {

using nlohmann::json;

std::string target_of(std::string_view name) {
    return "/v1/objects/" + http::encode_path(name);
}

object_version version_in(const http::response& it) {
    std::string_view tag = it.header("ETag");
    if (tag.size() >= 2 && tag.front() == '"') {
        tag = tag.substr(1, tag.size() - 2);
    }
    object_version version = 0;
    std::from_chars(tag.data(), tag.data() + tag.size(), version);
    return version;
}

// Returns the answer, or nothing when the call failed or the server had a fault.
const http::response* answer_in(const http::call_result& it) {
    const auto* answer = std::get_if<http::response>(&it);
    return answer == nullptr || answer->status >= 500 ? nullptr : answer;
}

watch_result parse_watch(const http::response& answer) {
    const json value = json::parse(answer.body, nullptr, false);
    if (!value.is_object()) {
        return unreachable{};
    }
    try {
        watch_answer it;
        it.changed = value.at("changed").get<std::vector<std::string>>();
        it.revision = value.at("revision").get<store_revision>();
        it.complete = value.at("complete").get<bool>();
        return it;
    } catch (const json::exception&) {
        return unreachable{};
    }
}

}  // namespace

http_object_store::http_object_store(std::string address, std::chrono::milliseconds timeout)
    : address_(std::move(address)),
      timeout_(timeout),
      reads_(address_, timeout),
      updates_(address_, timeout, http::connection_reuse::one_per_call) {}

get_result http_object_store::get(std::string_view name) {
    const http::call_result result = reads_.call({"GET", target_of(name), {}, {}});
    const http::response* answer = answer_in(result);
    if (answer == nullptr) {
        return unreachable{};
    }
    if (answer->status == 404) {
        return not_found{};
    }
    if (answer->status != 200) {
        return unreachable{};
    }
    return object{answer->body, version_in(*answer)};
}

put_result http_object_store::update(http::request it, object_version expected) {
    if (expected == 0) {
        it.headers["If-None-Match"] = "*";
    } else {
        it.headers["If-Match"] = '"' + std::to_string(expected) + '"';
    }
    const http::call_result result = updates_.call(it);
    const http::response* answer = answer_in(result);
    if (answer == nullptr) {
        return outcome_unknown{};
    }
    if (answer->status == 200 || answer->status == 201) {
        return stored{version_in(*answer)};
    }
    if (answer->status == 412) {
        return conflict{version_in(*answer)};
    }
    return outcome_unknown{};
}

put_result http_object_store::put(std::string_view name, std::string_view value,
                                  object_version expected) {
    return update({"PUT", target_of(name), {}, std::string(value)}, expected);
}

put_result http_object_store::remove(std::string_view name, object_version expected) {
    return update({"DELETE", target_of(name), {}, {}}, expected);
}

list_result http_object_store::list(std::string_view prefix) {
    const std::string target = "/v1/objects?prefix=" + http::encode_path(prefix);
    const http::call_result result = reads_.call({"GET", target, {}, {}});
    const http::response* answer = answer_in(result);
    if (answer == nullptr || answer->status != 200) {
        return unreachable{};
    }
    const json value = json::parse(answer->body, nullptr, false);
    try {
        return value.at("names").get<std::vector<std::string>>();
    } catch (const json::exception&) {
        return unreachable{};
    }
}

watch_result http_object_store::watch(std::string_view prefix, store_revision since,
                                      duration wait) {
    const auto wait_time = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    const std::string target = "/v1/watch?prefix=" + http::encode_path(prefix) +
                               "&since=" + std::to_string(since) +
                               "&wait_ms=" + std::to_string(wait_time.count());
    // A watch has a connection of its own, so a silent one is never used again.
    const http::client client(address_, timeout_ + wait_time, http::connection_reuse::one_per_call);
    const http::call_result result = client.call({"GET", target, {}, {}});
    const http::response* answer = answer_in(result);
    if (answer == nullptr || answer->status != 200) {
        return unreachable{};
    }
    return parse_watch(*answer);
}

}  // namespace radishpulley::object_api
