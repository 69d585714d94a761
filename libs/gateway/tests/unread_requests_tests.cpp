// Requests that lie unread while the process does not run, or is busy with other work.
#include <algorithm>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr auto unread_time = milliseconds(400);

bool is_answered(const peer& it) {
    return ends_with(it.received, "done") || ends_with(it.received, "}");
}

struct fixture : gateway_fixture {
    fixture() {
        configure();
        add_endpoint("e1", [this](const std::string& request, peer& it) {
            sent.push_back(id_of(request));
            it.send(response("200 OK", id_of(request), "done"));
        });
    }

    // Leaves a kept connection to the endpoint behind, on which requests are sent at once.
    void warm_up() { round_trip(request("GET /again/x", "warm"), is_answered); }

    // Serves one more request, by which time all earlier ones have been handled.
    void serve_another() { round_trip(request("GET /again/x", "last"), is_answered); }

    bool was_sent(const std::string& id) const {
        return std::find(sent.begin(), sent.end(), id) != sent.end();
    }

    std::vector<std::string> sent;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(unread_requests_tests)

// Guards against work for callers that left while their requests lay unread.
BOOST_FIXTURE_TEST_CASE(a_request_whose_caller_left_before_it_was_read_is_not_sent, fixture) {
    warm_up();
    const auto caller = connect_without_reading();
    caller->send(request("GET /again/x", "left"));
    caller->close();
    serve_another();
    BOOST_TEST(!was_sent("left"));
    BOOST_TEST(was_sent("last"));
}

// Guards against the same where the caller leaves while its request waits, and its end lies unread
// when the wait is over.
BOOST_FIXTURE_TEST_CASE(a_request_whose_caller_left_unnoticed_during_a_wait_is_not_sent, fixture) {
    with_engines = true;
    configure();
    routing::endpoint entry = *proxy().directory().find(endpoint_id("e1"));
    entry.heartbeat = 1;
    entry.models = {{"m", 1, {}}};
    proxy().on_endpoint(entry);
    warm_up();
    bool is_waiting = false;
    broker().on_load_request = [&](const auto&, const auto&, duration) -> load_request_result {
        is_waiting = true;
        return load_requested{};
    };
    const auto caller = connect();
    caller->send(request("GET /again/x", "left", "X-Model: m/a\r\n"));
    run_until([&] { return is_waiting; });
    caller->close();
    proxy().on_adapter(endpoint_id("e1"), {"m", "a"},
                       {routing::adapter_state::loaded, time.now(), 1, true});
    serve_another();
    BOOST_TEST(!was_sent("left"));
}

// Guards against requests that get their whole timeout, and pass it on, after they lay unread.
BOOST_FIXTURE_TEST_CASE(a_request_that_lay_unread_past_its_deadline_is_refused, fixture) {
    warm_up();
    const auto caller = connect();
    caller->send(request("GET /again/x", "late", "X-Deadline: 300\r\n"));
    std::this_thread::sleep_for(unread_time);
    run_until([&] { return is_answered(*caller); });
    BOOST_TEST(caller->received.find(" 503 ") != std::string::npos);
    BOOST_TEST(caller->received.find("no_time_left") != std::string::npos);
    BOOST_TEST(!was_sent("late"));
}

// Guards against the same on a connection that served an earlier request.
BOOST_FIXTURE_TEST_CASE(a_request_unread_on_a_kept_connection_is_refused_past_its_deadline,
                        fixture) {
    const auto caller = connect();
    caller->send(request("GET /again/x", "early"));
    run_until([&] { return is_answered(*caller); });
    caller->received.clear();
    caller->send(request("GET /again/x", "late", "X-Deadline: 300\r\n"));
    std::this_thread::sleep_for(unread_time);
    run_until([&] { return is_answered(*caller); });
    BOOST_TEST(caller->received.find("no_time_left") != std::string::npos);
    BOOST_TEST(!was_sent("late"));
}

// Guards against requests that wait for ever, or are served and refused both, where a lasting
// overload makes the gateway refuse requests that it has not read.
BOOST_FIXTURE_TEST_CASE(a_lasting_overload_answers_every_caller_once, fixture) {
    constexpr std::size_t caller_count = 100;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::vector<std::shared_ptr<peer>> callers;
    for (std::size_t i = 0; i < caller_count; ++i) {
        tcp::socket socket(loop);
        socket.connect(acceptor.local_endpoint());
        callers.push_back(std::make_shared<peer>(std::move(socket)));
        callers.back()->start();
        callers.back()->send(request("GET /again/x", "r" + std::to_string(i)));
        proxy().accept(acceptor.accept());
    }
    // One turn starts a part of them; the rest is left over for longer than a burst may take.
    for (int i = 0; i < 3; ++i) {
        loop.poll_one();
    }
    time.jump(milliseconds(300));
    const auto has_response = [](const auto& it) {
        return is_answered(*it) || ends_with(it->received, "\r\n\r\n");
    };
    run_until([&] { return std::all_of(callers.begin(), callers.end(), has_response); });
    const auto refused = std::count_if(callers.begin(), callers.end(), [](const auto& it) {
        return it->received.find(" 503 ") != std::string::npos &&
               it->received.find("Retry-After: ") != std::string::npos;
    });
    BOOST_TEST(proxy().refused_unread() > 0U);
    BOOST_TEST(static_cast<std::uint64_t>(refused) == proxy().refused_unread());
    BOOST_TEST(sent.size() + static_cast<std::size_t>(refused) == caller_count);
}

// Guards against endpoints that are told of more time than is left after a request lay unread.
BOOST_FIXTURE_TEST_CASE(the_time_passed_on_lacks_the_time_that_a_request_lay_unread, fixture) {
    warm_up();
    const auto caller = connect();
    caller->send(request("GET /again/x", "late", "X-Deadline: 2000\r\n"));
    std::this_thread::sleep_for(unread_time);
    run_until([&] { return is_answered(*caller); });
    const std::string& passed_on = endpoint(0).requests.back();
    const std::size_t at = passed_on.find("X-Time-Left: ");
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(std::stoi(passed_on.substr(at + 13)) <= 2'000 - unread_time.count());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
