// Requests that are refused after their heads, before their bodies have arrived.
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

const std::string body(5'000, 'b');

bool is_answered(const peer& it) {
    return ends_with(it.received, "done") || ends_with(it.received, "}");
}

// The head of a request that states a body.
std::string head_of(const std::string& whole) {
    return whole.substr(0, whole.find("\r\n\r\n") + 4);
}

struct fixture : gateway_fixture {
    fixture() {
        configure();
        add_endpoint("e1", [](const std::string& request, peer& it) {
            it.send(response("200 OK", id_of(request), "done"));
        });
    }

    // Returns the response to a head whose body is never sent. The connection must end.
    std::string refusal_of_head(const std::string& whole) {
        const auto caller = connect();
        caller->send(head_of(whole));
        run_until([&] { return caller->ended; });
        return caller->received;
    }

    void run_for(std::chrono::milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }

    // Sends the head, then the body in parts after waits, and reads only then, as callers do that
    // send a whole request before they look for the response. Requires the refusal.
    void check_refusal_behind_slow_body(const std::string& whole, const std::string& status,
                                        std::chrono::milliseconds wait, std::size_t parts) {
        const auto caller = connect_without_reading();
        caller->send(head_of(whole));
        const std::string rest = whole.substr(head_of(whole).size());
        const std::size_t part = rest.size() / parts;
        for (std::size_t i = 0; i < parts; ++i) {
            run_for(wait);
            caller->send(rest.substr(i * part, part));
        }
        run_for(std::chrono::milliseconds(50));
        BOOST_TEST(!caller->has_send_failed);
        caller->start();
        run_until([&] { return caller->ended; });
        BOOST_TEST(!caller->was_reset);
        BOOST_TEST(caller->received.find(" " + status + " ") != std::string::npos);
        BOOST_TEST(endpoint(0).requests.empty());
        caller->close();
        run_for(std::chrono::milliseconds(50));
        BOOST_TEST(proxy().connection_count() == 0U);
    }

    // Runs the loop until what was sent before has been handled.
    void handle_input() {
        const time_point begin = time.now();
        run_until([&] { return time.now() - begin > std::chrono::milliseconds(50); });
    }

    // Requires that a head alone gets the same response as the whole request.
    void check_same_refusal(const std::string& whole, const std::string& status) {
        std::string early = refusal_of_head(whole);
        const std::string usual = round_trip(whole, is_answered);
        BOOST_TEST(early.find(" " + status + " ") != std::string::npos);
        const std::string close = "Connection: close\r\n";
        const std::size_t at = early.find(close);
        BOOST_REQUIRE(at != std::string::npos);
        if (usual.find(close) == std::string::npos) {
            early.erase(at, close.size());
        }
        BOOST_TEST(early == usual);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(early_refusal_tests)

// Guards against bodies that are kept although no route takes the request.
BOOST_FIXTURE_TEST_CASE(a_head_without_a_route_is_refused_like_the_request, fixture) {
    check_same_refusal(request("POST /nowhere", "r1", "", body), "404");
}

// Guards against bodies that are kept for callers without a valid key.
BOOST_FIXTURE_TEST_CASE(a_head_with_an_unknown_key_is_refused_like_the_request, fixture) {
    std::string whole = request("POST /once/x", "r1", "", body);
    whole.replace(whole.find("X-Key: k"), 8, "X-Key: z");
    check_same_refusal(whole, "401");
}

// Guards against bodies that are kept before there is a configuration.
BOOST_FIXTURE_TEST_CASE(a_head_before_the_first_configuration_is_refused_like_the_request,
                        gateway_fixture) {
    const auto caller = connect();
    caller->send(head_of(request("POST /once/x", "r1", "", body)));
    run_until([&] { return caller->ended; });
    BOOST_TEST(caller->received.find(" 503 ") != std::string::npos);
    BOOST_TEST(caller->received.find("no_configuration") != std::string::npos);
    BOOST_TEST(retry_after_of(caller->received) > 0);
}

// Guards against bodies that are kept by a daemon that will not serve them.
BOOST_FIXTURE_TEST_CASE(a_head_that_arrives_during_the_stop_is_refused_like_the_request, fixture) {
    proxy().begin_stop(stop_in(duration::zero(), duration::zero()));
    check_same_refusal(request("POST /once/x", "r1", "", body), "503");
}

// Guards against bodies that are kept for an account over its rate.
BOOST_FIXTURE_TEST_CASE(a_head_of_an_account_over_its_rate_is_refused, fixture) {
    configure(1);
    for (int i = 0; i < 3; ++i) {
        round_trip(request("POST /once/x", "r" + std::to_string(i), "", body), is_answered);
    }
    const std::string got = refusal_of_head(request("POST /once/x", "last", "", body));
    BOOST_TEST(got.find(" 429 ") != std::string::npos);
    BOOST_TEST(got.find("over_limit") != std::string::npos);
    BOOST_TEST(retry_after_of(got) > 0);
}

// Guards against two charges for one request, at its head and when it is complete.
BOOST_FIXTURE_TEST_CASE(a_request_whose_body_arrives_late_is_charged_once, fixture) {
    configure(1'000);
    const std::string whole = request("POST /once/x", "r1", "", body);
    const auto caller = connect();
    caller->send(head_of(whole));
    handle_input();
    BOOST_TEST(caller->received.empty());
    BOOST_TEST(proxy().limiter().demand(time.now())[client_account_id("acme")] < 0.01);
    caller->send(whole.substr(head_of(whole).size()));
    run_until([&] { return is_answered(*caller); });
    BOOST_TEST(caller->received.find(" 200 ") != std::string::npos);
    BOOST_TEST(ends_with(endpoint(0).requests.back(), body));
}

// Guards against callers that are asked for a body that is not wanted.
BOOST_FIXTURE_TEST_CASE(only_a_request_that_can_be_served_is_asked_for_its_body, fixture) {
    const std::string expect = "Expect: 100-continue\r\n";
    const std::string refused = refusal_of_head(request("POST /nowhere", "r1", expect, body));
    BOOST_TEST(refused.find("100 Continue") == std::string::npos);
    const auto caller = connect();
    const std::string whole = request("POST /once/x", "r2", expect, body);
    caller->send(head_of(whole));
    run_until([&] { return caller->received == "HTTP/1.1 100 Continue\r\n\r\n"; });
    caller->send(whole.substr(head_of(whole).size()));
    run_until([&] { return is_answered(*caller); });
    BOOST_TEST(caller->received.find(" 200 ") != std::string::npos);
}

// Guards against a reset that takes the refusal from a caller that is still sending its body, in
// parts that follow each other for longer than a closed connection is kept.
BOOST_FIXTURE_TEST_CASE(a_refusal_is_not_lost_behind_a_body_that_takes_long, fixture) {
    const std::chrono::milliseconds wait(100);
    check_refusal_behind_slow_body(request("POST /nowhere", "r1", "", body), "404", wait, 16);
    check_refusal_behind_slow_body(request("POST /once/x", "r1", "", std::string(50'000, 'b')),
                                   "413", wait, 16);
}

// Guards against the same where the caller pauses once for that long.
BOOST_FIXTURE_TEST_CASE(a_refusal_is_not_lost_behind_a_body_that_begins_late, fixture) {
    const std::chrono::milliseconds wait(1'300);
    check_refusal_behind_slow_body(request("POST /nowhere", "r1", "", body), "404", wait, 2);
}

// Guards against a refused caller that sends without end and keeps its connection for ever.
BOOST_FIXTURE_TEST_CASE(a_refused_body_ends_with_the_time_of_bodies, fixture) {
    idle_timeout = std::chrono::milliseconds(200);
    configure();
    const auto caller = connect();
    caller->send(head_of(request("POST /nowhere", "r1", "", body)));
    const time_point begin = time.now();
    while (proxy().connection_count() == 0) {
        run_for(std::chrono::milliseconds(1));
    }
    while (proxy().connection_count() > 0 && time.now() - begin < std::chrono::seconds(5)) {
        caller->send("b");
        run_for(std::chrono::milliseconds(10));
    }
    BOOST_TEST(proxy().connection_count() == 0U);
    BOOST_TEST(caller->received.find(" 404 ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
