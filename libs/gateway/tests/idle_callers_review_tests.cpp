// Requests and responses on connections that seem idle when they are closed or their timer is due.
#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds short_idle{200};
constexpr int small_receive_buffer = 4'096;
// Bytes of a response that wait in this process beyond what the operating system takes.
constexpr std::size_t enough_unsent = 64'000;
const std::string response_end = "0\r\n\r\n";

struct fixture : gateway_fixture {
    void set_idle_timeout(milliseconds it) {
        idle_timeout = it;
        configure();
    }

    void run_for(milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }

    // Handles one event after the other and closes idle connections between any two of them, as the
    // housekeeping of a stop may.
    void run_closing_idle_callers(milliseconds time) {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            loop.restart();
            loop.run_one_for(milliseconds(5));
            proxy().close_idle_callers();
        }
    }

    stop_limits usual_stop() const {
        return stop_in(std::chrono::seconds(3), std::chrono::seconds(8));
    }

    void add_quick_endpoint() {
        add_endpoint("e1", [](const std::string& request, peer& it) {
            it.send(response("200 OK", id_of(request), "done"));
        });
    }

    // Begins a response to a caller that does not read, until much of it waits in this process.
    void begin_long_response() {
        configure();
        add_endpoint("e1", [&](const std::string& request, peer& it) {
            it.send("HTTP/1.1 200 OK\r\nX-Id: " + id_of(request) +
                    "\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n");
            pending = it.shared_from_this();
        });
        caller = connect_without_reading(small_receive_buffer);
        caller->send(request("GET /again/x", "r1"));
        run_until([&] { return pending != nullptr; });
        const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
        for (int i = 0; i < 1'000 && proxy().unsent_bytes() < enough_unsent; ++i) {
            pending->send(chunk);
            run_for(milliseconds(1));
        }
        BOOST_REQUIRE(proxy().unsent_bytes() >= enough_unsent);
    }

    void end_long_response() {
        pending->send(response_end);
        run_until([&] { return proxy().request_count() == 0; });
        BOOST_REQUIRE(proxy().unsent_bytes() >= enough_unsent);
    }

    std::shared_ptr<peer> caller;
    std::shared_ptr<peer> pending;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(idle_callers_review_tests)

// Guards against a stop that cuts a response whose head did not announce the close, while the
// caller still reads it.
BOOST_FIXTURE_TEST_CASE(a_response_that_ends_during_a_stop_is_not_cut_by_it, fixture) {
    begin_long_response();
    proxy().begin_stop(usual_stop());
    end_long_response();
    proxy().close_idle_callers();
    // The stop is not over yet.
    BOOST_TEST((proxy().caller_count() > 0 || proxy().is_sending_last_answers()));
    caller->start();
    run_until([&] { return caller->ended || ends_with(caller->received, response_end); });
    BOOST_TEST(ends_with(caller->received, response_end));
}

// Guards against the same for a response that was complete before the stop began.
BOOST_FIXTURE_TEST_CASE(a_response_that_ended_before_a_stop_is_not_cut_by_it, fixture) {
    begin_long_response();
    end_long_response();
    proxy().begin_stop(usual_stop());
    proxy().close_idle_callers();
    caller->start();
    run_until([&] { return caller->ended || ends_with(caller->received, response_end); });
    BOOST_TEST(ends_with(caller->received, response_end));
}

// Guards against connections that a stop leaves open until their idle time is over, because their
// last head did not announce the close.
BOOST_FIXTURE_TEST_CASE(a_stop_closes_a_connection_without_notice_once_it_is_idle, fixture) {
    begin_long_response();
    proxy().begin_stop(usual_stop());
    pending->send(response_end);
    caller->start();
    run_until([&] { return caller->ended || ends_with(caller->received, response_end); });
    // A request behind the response may be on its way for a while.
    const time_point begin = time.now();
    run_until([&] {
        proxy().close_idle_callers();
        return caller->ended;
    });
    BOOST_TEST((time.now() - begin < std::chrono::seconds(1)));
    BOOST_TEST(ends_with(caller->received, response_end));
    BOOST_TEST(proxy().caller_count() == 0U);
}

// Guards against a stop that drops a request that was read behind the one before and is about to be
// handled.
BOOST_FIXTURE_TEST_CASE(a_request_that_was_read_is_not_dropped_by_the_close_of_idle_callers,
                        fixture) {
    configure();
    add_endpoint("e1", [&](const std::string& request, peer& it) {
        if (id_of(request) == "r1") {
            it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\ndo");
            pending = it.shared_from_this();
        } else {
            it.send(response("200 OK", id_of(request), "done"));
        }
    });
    caller = connect();
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return ends_with(caller->received, "do"); });
    caller->send(request("GET /again/x", "r2"));
    run_for(milliseconds(30));
    proxy().begin_stop(usual_stop());
    pending->send("ne");
    run_closing_idle_callers(milliseconds(100));
    BOOST_TEST(caller->received.find("X-Id: r2") != std::string::npos);
}

// Guards against an idle time that began before the caller had taken its response, if the caller
// took it within the idle time.
BOOST_FIXTURE_TEST_CASE(a_response_that_is_taken_late_restarts_the_idle_time, fixture) {
    set_idle_timeout(short_idle * 2);
    const std::string body = std::string(150'000, 'x') + "done";
    add_endpoint("e1", [&](const std::string& request, peer& it) {
        it.send(response("200 OK", id_of(request), body));
    });
    caller = connect_without_reading(small_receive_buffer);
    caller->send(request("GET /again/x", "r1"));
    run_until([&] { return endpoint(0).requests.size() == 1; });
    run_for(short_idle * 3 / 2);
    caller->start();
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    BOOST_TEST(!caller->ended);
    caller->received.clear();
    // Less than four fifths of the idle time.
    run_for(short_idle * 2 * 3 / 4);
    BOOST_TEST(!caller->ended);
}

// Guards against a connection that is closed as idle when a request arrives after the last look
// for input and before the timer is handled.
BOOST_FIXTURE_TEST_CASE(a_request_that_arrives_right_before_the_idle_close_is_answered, fixture) {
    set_idle_timeout(short_idle);
    add_quick_endpoint();
    caller = connect();
    run_until([&] { return proxy().caller_count() == 1; });
    run_for(milliseconds(20));
    boost::asio::steady_timer before(loop, milliseconds(1));
    before.async_wait([&](auto) { caller->send(request("GET /again/x", "r1")); });
    // Both timers are due when the loop runs again.
    std::this_thread::sleep_for(short_idle * 2);
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against a request that is refused as too slow by the timer of the idle time before it,
// because the process did not run when both became due.
BOOST_FIXTURE_TEST_CASE(the_timer_of_the_idle_time_does_not_refuse_the_request_after_it, fixture) {
    set_idle_timeout(short_idle);
    add_quick_endpoint();
    caller = connect();
    run_until([&] { return proxy().caller_count() == 1; });
    run_for(milliseconds(20));
    const std::string all = request("POST /again/x", "r1", "", "body");
    caller->send(all.substr(0, all.size() - 4));
    std::this_thread::sleep_for(short_idle * 2);
    run_for(milliseconds(30));
    caller->send("body");
    run_until([&] { return caller->ended || ends_with(caller->received, "done"); });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against requests that are refused as too slow while their rest lies unread, because the
// process did not run.
BOOST_FIXTURE_TEST_CASE(a_body_unread_at_the_end_of_its_time_is_read, fixture) {
    set_idle_timeout(short_idle);
    add_quick_endpoint();
    std::vector<std::shared_ptr<peer>> callers;
    // More connections than the event loop learns of at once.
    for (int i = 0; i < 160; ++i) {
        callers.push_back(connect());
    }
    run_until([&] { return proxy().caller_count() == callers.size(); });
    const std::string all = request("POST /again/x", "r1", "", "body");
    for (const auto& it : callers) {
        it->send(all.substr(0, all.size() - 2));
    }
    run_for(milliseconds(50));
    for (const auto& it : callers) {
        it->send("dy");
    }
    std::this_thread::sleep_for(short_idle * 2);
    const auto is_over = [](const auto& it) {
        return it->ended || ends_with(it->received, "done") || ends_with(it->received, "}");
    };
    for (int i = 0; i < 100 && !std::all_of(callers.begin(), callers.end(), is_over); ++i) {
        run_for(milliseconds(20));
    }
    const auto refused = std::count_if(callers.begin(), callers.end(), [](const auto& it) {
        return it->received.find(" 408 ") != std::string::npos;
    });
    BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
