#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "daemon/caller_request.h"

using namespace radishpulley;
using namespace radishpulley::daemon;

namespace {

model::configuration sample_configuration() {
    return model::apply(model::configuration(), model::parse_ticket(R"({"number": 1, "set": {
        "services": [{"id": "drafts", "kind": "model", "base_model": "b"},
                     {"id": "print", "kind": "application", "route": "print"},
                     {"id": "hours", "kind": "application", "route": "hours", "open": true}],
        "client_accounts": [{"id": "a", "rate": 1, "burst": 1}],
        "adapters": [{"id": "runners", "service": "drafts", "current_version": "v2",
                      "accounts": ["a"]}],
        "adapter_versions": [{"adapter": "runners", "version": "v1", "source": "s"},
                             {"adapter": "runners", "version": "v2", "source": "s"}]}})"));
}

caller_call parse(const std::string& method, const std::string& target, const std::string& body,
                  http::header_map headers = {}) {
    return parse_call({method, target, std::move(headers), body}, sample_configuration());
}

requests::error_code error_of(const caller_call& it) {
    return std::get<call_error>(it).code;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_request)

BOOST_AUTO_TEST_CASE(model_names_the_adapter_and_version) {
    const auto current = std::get<model_call>(
        parse("POST", "/v1/completions", R"({"model": "runners", "prompt": "12345678"})"));
    BOOST_TEST(current.adapter.version.str() == "v2");
    BOOST_TEST(current.prompt_tokens == 2);
    const auto old = std::get<model_call>(
        parse("POST", "/v1/chat/completions", R"({"model": "runners@v1", "messages": []})"));
    BOOST_TEST(old.adapter.version.str() == "v1");
    BOOST_TEST(nlohmann::json::parse(old.to_endpoint.body)["model"] == "runners@v1");
}

BOOST_AUTO_TEST_CASE(charge_is_a_bound_that_the_engine_knows) {
    const auto call = std::get<model_call>(
        parse("POST", "/v1/completions", R"({"model": "runners", "prompt": ""})"));
    BOOST_TEST(nlohmann::json::parse(call.to_endpoint.body)["max_tokens"] == call.max_tokens);
}

BOOST_AUTO_TEST_CASE(wrong_bodies_have_clear_errors) {
    using requests::error_code;
    const auto code = [](const char* body) {
        return error_of(parse("POST", "/v1/completions", body));
    };
    BOOST_TEST((code("{") == error_code::bad_request));
    BOOST_TEST((code("[]") == error_code::bad_request));
    BOOST_TEST((code(R"({"model": 7})") == error_code::bad_request));
    BOOST_TEST((code(R"({"model": "runners", "stream": 1})") == error_code::bad_request));
    BOOST_TEST((code(R"({"model": "runners", "max_tokens": -1})") == error_code::bad_request));
    BOOST_TEST((code(R"({"model": "other"})") == error_code::not_found));
    BOOST_TEST((code(R"({"model": "runners@v9"})") == error_code::not_found));
    BOOST_TEST((error_of(parse("GET", "/nowhere", "")) == error_code::not_found));
}

BOOST_AUTO_TEST_CASE(keys_and_connection_headers_never_reach_an_endpoint) {
    const auto call = std::get<application_call>(
        parse("POST", "/v1/services/print/jobs?x=1", "body",
              {{"authorization", "Bearer k"}, {"Cookie", "c"}, {"X-Job", "7"}, {"Host", "h"}}));
    BOOST_TEST(call.to_endpoint.target == "/jobs?x=1");
    BOOST_TEST(call.to_endpoint.headers.size() == 1);
    BOOST_TEST(call.to_endpoint.header("X-Job") == "7");
}

BOOST_AUTO_TEST_CASE(only_keyed_changes_are_guarded_by_a_record) {
    using requests::repeat_policy;
    const auto rule = [](const char* method, const http::header_map& headers) {
        return std::get<application_call>(parse(method, "/v1/services/print", "b", headers)).repeat;
    };
    BOOST_TEST((rule("GET", {}) == repeat_policy::idempotent));
    BOOST_TEST((rule("POST", {}) == repeat_policy::once_without_key));
    BOOST_TEST((rule("POST", {{"Idempotency-Key", "k"}}) == repeat_policy::once_with_key));
}

BOOST_AUTO_TEST_CASE(open_routes_take_no_idempotency_key) {
    BOOST_TEST((error_of(parse("POST", "/v1/services/hours", "b", {{"Idempotency-Key", "k"}})) ==
                requests::error_code::bad_request));
    BOOST_TEST(std::get<application_call>(parse("POST", "/v1/services/hours", "b")).open);
}

BOOST_AUTO_TEST_CASE(models_of_other_accounts_are_not_shown) {
    const model::configuration now = sample_configuration();
    BOOST_TEST(models_body(now, client_account_id("a")).find("runners") != std::string::npos);
    BOOST_TEST(models_body(now, client_account_id("b")).find("runners") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
