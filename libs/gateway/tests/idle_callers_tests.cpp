// Callers' connections that lie idle when the limits change, when their time is over, or when the
// process stops.
#include <algorithm>
#include <chrono>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds short_idle{120};
constexpr milliseconds long_idle{5'000};
constexpr int small_receive_buffer = 4'096;

bool is_answered(const peer& it) {
    return ends_with(it.received, "done") || ends_with(it.received, "}");
}

struct fixture : gateway_fixture {
    fixture() {
        add_endpoint("e1", [](const std::string& request, peer& it) {
            it.send(response("200 OK", id_of(request), "done"));
        });
    }

    void set_idle_timeout(milliseconds it) {
        idle_timeout = it;
        configure();
    }

    // Returns a connection on which a request was served.
    std::shared_ptr<peer> connect_and_serve() {
        auto it = connect();
        serve(*it, "r1");
        return it;
    }

    void serve(peer& caller, const std::string& id) {
        caller.received.clear();
        caller.send(request("GET /again/x", id));
        run_until([&] { return caller.ended || is_answered(caller); });
    }

    // Replaces the endpoint.
    void use_endpoint(fake_endpoint::script on_request) {
        proxy().on_endpoint_removed(endpoint_id("e1"));
        proxy().directory().on_removed(endpoint_id("e1"), time.now());
        add_endpoint("e2", std::move(on_request));
    }

    void run_for(milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(idle_callers_tests)

// Guards against connections that end by an idle limit that is not in force any more, with the
// requests that callers send within the one that is.
BOOST_FIXTURE_TEST_CASE(a_raised_idle_limit_holds_for_connections_that_lie_idle, fixture) {
    set_idle_timeout(short_idle);
    const auto caller = connect_and_serve();
    const auto unused = connect();
    run_for(short_idle / 4);
    set_idle_timeout(long_idle);
    run_for(short_idle * 2);
    for (const auto& it : {caller, unused}) {
        BOOST_TEST(!it->ended);
        serve(*it, "r2");
        BOOST_TEST(ends_with(it->received, "done"));
    }
}

// Guards against proper requests that are refused on kept connections, because the limits of heads
// and bodies are those that were in force when the connection became idle.
BOOST_FIXTURE_TEST_CASE(raised_sizes_hold_for_connections_that_lie_idle, fixture) {
    const std::string headers = "X-Pad: " + std::string(max_header_bytes * 40, 'h') + "\r\n";
    const std::string body(max_body_bytes * 2, 'b');
    set_idle_timeout(long_idle);
    const auto caller = connect_and_serve();
    const auto unused = connect();
    run_for(short_idle / 4);
    max_header_bytes *= 50;
    max_body_bytes *= 4;
    configure();
    for (const auto& it : {caller, unused}) {
        it->received.clear();
        it->send(request("POST /again/x", "r2", headers, body));
        run_until([&] { return it->ended || is_answered(*it); });
        BOOST_TEST(ends_with(it->received, "done"));
    }
}

// Guards against requests that are lost because a lowered limit ends connections on which callers
// still count on the earlier one.
BOOST_FIXTURE_TEST_CASE(a_lowered_idle_limit_holds_from_the_next_response_on, fixture) {
    set_idle_timeout(long_idle);
    const auto caller = connect_and_serve();
    set_idle_timeout(short_idle);
    run_for(short_idle * 3);
    BOOST_TEST(!caller->ended);
    serve(*caller, "r2");
    BOOST_TEST(ends_with(caller->received, "done"));
    run_for(short_idle * 3);
    BOOST_TEST(caller->ended);
}

// Guards against a request that is read after its connection was closed as idle, and so gets
// neither a response nor a sign that it was not read.
BOOST_FIXTURE_TEST_CASE(a_request_that_crosses_the_idle_close_is_not_read, fixture) {
    set_idle_timeout(short_idle);
    const auto caller = connect_without_reading();
    run_until([&] { return proxy().caller_count() == 1; });
    run_until([&] { return proxy().caller_count() == 0; });
    caller->send(request("GET /again/x", "crossing"));
    run_for(short_idle);
    BOOST_TEST(proxy().connection_count() == 0U);
    BOOST_TEST(metrics.to_text().find("caller_bytes_discarded_total{") == std::string::npos);
    BOOST_TEST(endpoint(0).requests.empty());
}

// Guards against a connection that is closed as idle while a request lies unread, because the
// process did not run when both became due.
BOOST_FIXTURE_TEST_CASE(a_request_unread_at_the_end_of_the_idle_time_is_answered, fixture) {
    set_idle_timeout(short_idle);
    std::vector<std::shared_ptr<peer>> callers;
    // More connections than the event loop learns of at once.
    for (int i = 0; i < 160; ++i) {
        callers.push_back(connect());
    }
    run_until([&] { return proxy().caller_count() == callers.size(); });
    for (const auto& it : callers) {
        it->send(request("GET /again/x", "r1"));
    }
    std::this_thread::sleep_for(short_idle * 2);
    const auto is_over = [](const auto& it) { return it->ended || is_answered(*it); };
    for (int i = 0; i < 100 && !std::all_of(callers.begin(), callers.end(), is_over); ++i) {
        run_for(milliseconds(20));
    }
    const auto lost = std::count_if(callers.begin(), callers.end(),
                                    [](const auto& it) { return !is_answered(*it); });
    BOOST_TEST(lost == 0);
}

// Guards against a response that is cut because its caller reads it for longer than a connection
// may lie idle.
BOOST_FIXTURE_TEST_CASE(the_idle_time_begins_when_the_response_is_taken, fixture) {
    set_idle_timeout(short_idle);
    const std::string body = std::string(150'000, 'x') + "done";
    use_endpoint([&](const std::string& request, peer& it) {
        it.send(response("200 OK", id_of(request), body));
    });
    const auto caller = connect_without_reading(small_receive_buffer);
    caller->send(request("GET /again/x", "r1"));
    run_for(short_idle * 4);
    caller->start();
    run_until([&] { return caller->ended || is_answered(*caller); });
    BOOST_TEST(caller->received.size() > body.size());
    serve(*caller, "r2");
    BOOST_TEST(caller->received.size() > body.size());
}

// Guards against a request that follows the last response before a stop, whose head did not say
// that it is the last one.
BOOST_FIXTURE_TEST_CASE(a_request_behind_a_response_without_notice_is_answered_during_a_stop,
                        fixture) {
    set_idle_timeout(long_idle);
    std::shared_ptr<peer> pending;
    use_endpoint([&](const std::string& request, peer& it) {
        if (id_of(request) == "r1") {
            it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\ndo");
            pending = it.shared_from_this();
        } else {
            it.send(response("200 OK", id_of(request), "done"));
        }
    });
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return ends_with(caller->received, "do"); });
    proxy().begin_stop(stop_in(std::chrono::seconds(3), std::chrono::seconds(8)));
    caller->send(request("GET /again/x", "r2"));
    run_for(milliseconds(30));
    pending->send("ne");
    run_until([&] { return caller->ended; });
    BOOST_TEST(caller->received.find("X-Id: r2") != std::string::npos);
    BOOST_TEST(ends_with(caller->received, "done"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
