// Callers that hold memory: bodies that do not end, and responses that are not read.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t body_bytes = 8'000;
constexpr std::size_t caller_count = 20;
// Room for four bodies with their heads.
constexpr std::size_t held_limit = 40'000;

bool is_answered(const peer& it) {
    return ends_with(it.received, "done") || ends_with(it.received, "}");
}

// The head of a request, and its body but for the last byte.
std::string unfinished(const std::string& id) {
    const std::string whole = request("POST /once/x", id, "", std::string(body_bytes, 'b'));
    return whole.substr(0, whole.size() - 1);
}

struct fixture : gateway_fixture {
    fixture() {
        configure();
        add_endpoint("e1", [this](const std::string& request, peer& it) {
            sent.push_back(id_of(request));
            if (answers) {
                it.send(response("200 OK", id_of(request), "done"));
            }
        });
        limit_memory(held_limit);
    }

    void limit_memory(std::size_t bytes) {
        gateway_settings settings;
        settings.retry_reserve = 100;
        settings.max_held_bytes = bytes;
        proxy().reconfigure(settings);
    }

    // Connects callers that each hold back the last byte of their bodies.
    std::vector<std::shared_ptr<peer>> connect_unfinished() {
        std::vector<std::shared_ptr<peer>> out;
        for (std::size_t i = 0; i < caller_count; ++i) {
            out.push_back(connect());
            out.back()->send(unfinished("u" + std::to_string(i)));
            serve("o" + std::to_string(i));
        }
        return out;
    }

    std::string serve(const std::string& id, const std::string& more = "",
                      const std::string& body = "") {
        return round_trip(request("POST /once/x", id, more, body), is_answered);
    }

    bool was_sent(const std::string& id) const {
        return std::find(sent.begin(), sent.end(), id) != sent.end();
    }

    bool answers = true;
    std::vector<std::string> sent;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_memory_tests)

// Guards against a process that runs out of memory because callers don't end their bodies.
BOOST_FIXTURE_TEST_CASE(bodies_that_do_not_end_hold_no_more_than_the_limit, fixture) {
    const auto callers = connect_unfinished();
    BOOST_TEST(proxy().budget()->held() <= held_limit);
    BOOST_TEST(proxy().budget()->held() > 0U);
    BOOST_TEST(sent.size() == caller_count);
}

// Guards against refusals without the id, the time to come back or the reason, and against
// connections on which the rest of the body would be taken for a request.
BOOST_FIXTURE_TEST_CASE(a_caller_that_is_turned_away_gets_a_refusal, fixture) {
    const auto callers = connect_unfinished();
    const auto refused =
        std::find_if(callers.begin(), callers.end(), [](const auto& it) { return it->ended; });
    BOOST_REQUIRE(refused != callers.end());
    const std::string& got = (*refused)->received;
    BOOST_TEST(got.find(" 503 ") != std::string::npos);
    BOOST_TEST(got.find("X-Id: u") != std::string::npos);
    BOOST_TEST(got.find("{\"error\":\"memory_limit\"}") != std::string::npos);
    BOOST_TEST(got.find("Connection: close") != std::string::npos);
    BOOST_TEST(retry_after_of(got) > 0);
}

// Guards against requests that run although their callers were told that they have not.
BOOST_FIXTURE_TEST_CASE(requests_that_are_turned_away_are_not_sent, fixture) {
    connect_unfinished();
    const auto is_unfinished = [](const std::string& id) { return id.front() == 'u'; };
    BOOST_TEST(std::none_of(sent.begin(), sent.end(), is_unfinished));
}

// Guards against bodies that stay charged after their requests have ended.
BOOST_FIXTURE_TEST_CASE(a_finished_request_holds_nothing, fixture) {
    for (const char* id : {"a", "b", "c"}) {
        serve(id, "", std::string(body_bytes, 'b'));
    }
    run_until([&] { return proxy().budget()->held() == 0; });
    BOOST_TEST(sent.size() == 3U);
}

// Guards against a large request that is turned away although nobody else needs the memory.
BOOST_FIXTURE_TEST_CASE(the_largest_body_is_served_without_other_load, fixture) {
    const std::string got = serve("large", "", std::string(10'000, 'b'));
    BOOST_TEST(got.find(" 200 ") != std::string::npos);
}

// Guards against a 503 for a request that an endpoint has.
BOOST_FIXTURE_TEST_CASE(a_request_that_was_sent_is_not_refused_as_not_run, fixture) {
    answers = false;
    const auto caller = connect();
    caller->send(request("POST /once/x", "sent", "", std::string(body_bytes, 'b')));
    run_until([&] { return was_sent("sent"); });
    limit_memory(1);
    proxy().relieve_memory();
    run_until([&] { return caller->ended; });
    BOOST_TEST(caller->received.find(" 503 ") == std::string::npos);
    BOOST_TEST(proxy().request_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
