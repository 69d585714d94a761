// Connections of callers that this process closes: what it counts, and what their callers get.
#include <chrono>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr int small_receive_buffer = 4'096;
// More than a caller's system takes while the caller doesn't read, and less than what this one
// keeps.
constexpr std::size_t unread_body_size = 20'000;

struct fixture : gateway_fixture {
    fixture() {
        configure();
        add_endpoint("e1", [this](const std::string& request, peer& it) {
            it.send(response("200 OK", id_of(request), body));
        });
    }

    bool is_counted(const std::string& counter) const {
        return metrics.to_text().find(counter) != std::string::npos;
    }

    // Returns a caller that has sent a request and does not read its response, which waits in the
    // operating system.
    std::shared_ptr<peer> leave_response_unread(const std::string& headers) {
        body = std::string(unread_body_size, 'x') + "done";
        const auto caller = connect_without_reading(small_receive_buffer);
        caller->send(request("GET /again/x", "r1", headers));
        run_until([&] { return endpoint(0).requests.size() == 1 && proxy().request_count() == 0; });
        run_until([&] { return proxy().unsent_bytes() == 0; });
        return caller;
    }

    // Returns a caller on which a response has just ended whose head, sent before the stop, did not
    // announce the close.
    std::shared_ptr<peer> end_response_in_stop() {
        proxy().on_endpoint_removed(endpoint_id("e1"));
        proxy().directory().on_removed(endpoint_id("e1"), time.now());
        std::shared_ptr<peer> pending;
        add_endpoint("e2", [&pending, this](const std::string& request, peer& it) {
            if (id_of(request) == "r1") {
                it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n" +
                        std::string("Content-Length: 4\r\n\r\nha"));
                pending = it.shared_from_this();
            } else {
                it.send(response("200 OK", id_of(request), body));
            }
        });
        const auto caller = connect();
        caller->send(request("GET /again/x", "r1"));
        run_until([&] { return ends_with(caller->received, "ha"); });
        proxy().begin_stop(usual_stop());
        pending->send("lf");
        run_until([&] { return ends_with(caller->received, "half"); });
        return caller;
    }

    // Sends a request and requires that it is answered.
    void check_answered(peer& caller, const std::string& id) {
        caller.send(request("GET /again/x", id));
        run_until([&] { return caller.ended; });
        BOOST_TEST(caller.received.find("X-Id: " + id) != std::string::npos);
        BOOST_TEST(ends_with(caller.received, "done"));
    }

    void run_for(milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }

    stop_limits usual_stop() const {
        return stop_in(std::chrono::seconds(3), std::chrono::seconds(8));
    }

    // Bytes of a request whose body does not arrive completely.
    static std::string part_of_request(const std::string& line) {
        const std::string all = request(line, "r1", "", std::string(1'000, 'b'));
        return all.substr(0, all.size() - 500);
    }

    std::string body = "done";
};

}  // namespace

BOOST_AUTO_TEST_SUITE(closing_connections_tests)

// Guards against a stop that drops connections which it has accepted without a trace.
BOOST_FIXTURE_TEST_CASE(a_connection_that_is_closed_unread_is_counted, fixture) {
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return proxy().caller_count() == 1; });
    proxy().close_callers();
    BOOST_TEST(is_counted(R"(closed_total{phase="accepted",reason="stopping"} 1)"));
}

// Guards against requests that are discarded behind a last response without a trace, because they
// were read together with the one before.
BOOST_FIXTURE_TEST_CASE(a_request_that_was_read_behind_the_last_one_is_counted, fixture) {
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1", "Connection: close\r\n") +
                 request("GET /again/x", "r2"));
    run_until([&] { return caller->ended; });
    caller->close();
    run_until([&] { return proxy().connection_count() == 0; });
    BOOST_TEST(is_counted(R"(caller_bytes_discarded_total{reason="last_response"})"));
}

// Guards against a process that ends before a caller has received its last response, without a
// trace.
BOOST_FIXTURE_TEST_CASE(a_last_response_that_is_not_received_is_counted, fixture) {
    const auto caller = leave_response_unread("Connection: close\r\n");
    BOOST_TEST(proxy().connection_count() == 1U);
    proxy().close_callers();
    BOOST_TEST(proxy().connection_count() == 0U);
    BOOST_TEST(is_counted(R"(caller_responses_undelivered_total{reason="last_response"} 1)"));
}

// Guards against a stop that closes a new connection while its first request is on its way.
BOOST_FIXTURE_TEST_CASE(a_stop_waits_for_the_first_request_of_a_connection, fixture) {
    const auto caller = connect();
    run_until([&] { return proxy().caller_count() == 1; });
    run_for(milliseconds(20));
    proxy().begin_stop(usual_stop());
    proxy().close_idle_callers();
    check_answered(*caller, "r1");
}

// Guards against the same for the next request of a caller that was just answered and was not told
// that its connection closes.
BOOST_FIXTURE_TEST_CASE(a_stop_waits_for_the_request_behind_a_response_without_notice, fixture) {
    const auto caller = end_response_in_stop();
    proxy().close_idle_callers();
    check_answered(*caller, "r2");
}

// Guards against a stop that takes from a caller the response that it is receiving, because a
// request of the caller crosses the close and is answered with a reset.
BOOST_FIXTURE_TEST_CASE(a_stop_keeps_a_connection_until_its_response_is_received, fixture) {
    const auto caller = leave_response_unread("");
    proxy().begin_stop(usual_stop());
    time.jump(std::chrono::seconds(2));
    proxy().close_idle_callers();
    caller->send(request("GET /again/x", "r2"));
    caller->start();
    run_until([&] { return caller->ended; });
    BOOST_TEST(caller->received.size() > 2 * unread_body_size);
}

// Guards against a process that ends, and so resets the connection, while a caller whose request it
// has refused still sends it.
BOOST_FIXTURE_TEST_CASE(a_stop_waits_for_callers_that_send_what_was_refused, fixture) {
    const auto caller = connect_without_reading();
    caller->send(part_of_request("POST /nowhere"));
    run_until([&] { return proxy().connection_count() == 1 && proxy().caller_count() == 0; });
    run_until([&] { return !proxy().is_sending_last_answers(); });
    BOOST_TEST(!proxy().is_drained());
    caller->close();
    run_until([&] { return proxy().is_drained(); });
}

// Guards against a stop that ends without a word to callers whose requests have arrived in part.
BOOST_FIXTURE_TEST_CASE(requests_that_arrive_at_the_end_of_a_stop_are_refused, fixture) {
    const auto caller = connect();
    caller->send(part_of_request("POST /once/x"));
    run_until([&] { return proxy().caller_count() == 1; });
    run_for(milliseconds(20));
    proxy().begin_stop(usual_stop());
    proxy().end_requests();
    run_until([&] { return caller->ended || ends_with(caller->received, "}"); });
    BOOST_TEST(caller->received.find(" 503 ") != std::string::npos);
    BOOST_TEST(caller->received.find("\"stopping\"") != std::string::npos);
    BOOST_TEST(endpoint(0).requests.empty());
}

// Guards against a stop that ends without a word to callers whose requests it has not read.
BOOST_FIXTURE_TEST_CASE(requests_unread_at_the_end_of_a_stop_are_refused, fixture) {
    gateway_settings busy;
    busy.new_work_per_turn = 0;
    proxy().reconfigure(busy);
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return proxy().caller_count() == 1; });
    proxy().begin_stop(usual_stop());
    proxy().end_requests();
    run_for(milliseconds(20));
    proxy().close_callers();
    BOOST_TEST(caller->received.find(" 503 ") != std::string::npos);
    BOOST_TEST(endpoint(0).requests.empty());
}

// Guards against a last response that is cut because its caller is still receiving it when the
// connection has waited for the caller's end.
BOOST_FIXTURE_TEST_CASE(a_last_response_is_not_cut_while_it_is_received, fixture) {
    const auto caller = leave_response_unread("Connection: close\r\n");
    run_for(linger_limits().total + milliseconds(100));
    caller->send("more");
    caller->start();
    run_until([&] { return caller->ended; });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against the same where the connection makes room for a new one.
BOOST_FIXTURE_TEST_CASE(a_last_response_is_not_cut_for_a_new_connection, fixture) {
    const auto caller = leave_response_unread("Connection: close\r\n");
    gateway_settings full;
    full.max_connections = 1;
    proxy().reconfigure(full);
    const auto late = connect();
    run_until([&] { return late->ended; });
    caller->send("more");
    caller->start();
    run_until([&] { return caller->ended; });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against connections that a lowered idle limit ends while callers count on the earlier one,
// when its time is looked at.
BOOST_FIXTURE_TEST_CASE(a_lowered_idle_limit_ends_no_connection_that_lies_idle, fixture) {
    constexpr milliseconds earlier_limit{1'000};
    constexpr milliseconds lowered_limit{50};
    idle_timeout = earlier_limit;
    configure();
    const auto caller = connect();
    const auto unused = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return ends_with(caller->received, "done"); });
    idle_timeout = lowered_limit;
    configure();
    run_for(earlier_limit / 2);
    BOOST_TEST(!caller->ended);
    BOOST_TEST(!unused->ended);
    caller->received.clear();
    caller->send(request("GET /again/x", "r2"));
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    BOOST_TEST(ends_with(caller->received, "done"));
    run_until([&] { return caller->ended; });
}

// Guards against a stop that closes the connection of a slow caller as soon as it has received its
// response, while its next request is on its way.
BOOST_FIXTURE_TEST_CASE(a_stop_counts_the_quiet_time_from_the_receipt_of_the_response, fixture) {
    const auto caller = leave_response_unread("");
    proxy().begin_stop(usual_stop());
    time.jump(std::chrono::seconds(2));
    proxy().close_idle_callers();
    caller->start();
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    BOOST_TEST(!caller->ended);
    caller->received.clear();
    proxy().close_idle_callers();
    caller->send(request("GET /again/x", "r2"));
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against an idle limit that is lowered while a response is received, and closes the
// connection before its caller can know of it.
BOOST_FIXTURE_TEST_CASE(a_limit_lowered_while_a_response_is_received_holds_from_the_next, fixture) {
    idle_timeout = milliseconds(2'000);
    configure();
    const auto caller = leave_response_unread("");
    idle_timeout = milliseconds(50);
    configure();
    run_for(milliseconds(600));
    caller->start();
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    run_for(milliseconds(300));
    BOOST_TEST(!caller->ended);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
