// Timeouts that become due together with what they wait for, because the process did not run.
#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/link.h"
#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds short_time{100};
// More connections than the event loop learns of at once; timers are handled after these.
constexpr int many = 160;
const std::string body(4'000, 'b');

bool is_answered(const peer& it) {
    return ends_with(it.received, "done") || ends_with(it.received, "}");
}

struct fixture : gateway_fixture {
    fixture() {
        idle_timeout = short_time;
        configure();
        add_endpoint("e1", [](const std::string& request, peer& it) {
            it.send(response("200 OK", id_of(request), "done"));
        });
    }

    void set_header_timeout(milliseconds time) {
        routing::configuration_content next = content();
        next.limits.header_timeout = time;
        next.limits.idle_timeout = std::chrono::seconds(5);
        apply(next);
    }

    void run_for(milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }

    // The timeouts of all connections become due while the process does not run.
    static void pause() { std::this_thread::sleep_for(short_time * 2); }

    std::vector<std::shared_ptr<peer>> connect_many(int count) {
        std::vector<std::shared_ptr<peer>> out;
        for (int i = 0; i < count; ++i) {
            out.push_back(connect());
        }
        run_for(short_time / 10);
        return out;
    }

    static void send_to_each(const std::vector<std::shared_ptr<peer>>& callers,
                             const std::string& bytes) {
        for (const auto& it : callers) {
            it->send(bytes);
        }
    }

    // Sends `early` before the pause, `unread` at its end and `late` after it; returns how many
    // callers were served.
    std::size_t count_served(int count, const std::string& early, const std::string& unread,
                             const std::string& late) {
        const auto callers = connect_many(count);
        send_to_each(callers, early);
        run_for(short_time / 10);
        pause();
        send_to_each(callers, unread);
        run_for(short_time / 10);
        send_to_each(callers, late);
        const auto is_over = [](const auto& it) { return it->ended || is_answered(*it); };
        for (int i = 0; i < 100 && !std::all_of(callers.begin(), callers.end(), is_over); ++i) {
            run_for(milliseconds(10));
        }
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(), [](const auto& it) {
                return it->received.find(" 200 ") != std::string::npos && is_answered(*it);
            }));
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_timeouts_tests)

// Guards against a request that has begun to arrive and is refused by the idle timeout of its
// connection, which was due before.
BOOST_FIXTURE_TEST_CASE(an_idle_timeout_does_not_refuse_the_request_that_ended_it, fixture) {
    const std::string all = request("GET /again/x", "r1");
    BOOST_TEST(count_served(1, "", all.substr(0, 20), all.substr(20)) == 1U);
}

// Guards against a connection that is closed by an idle timeout after a request was answered on it,
// without notice and with the next request in it.
BOOST_FIXTURE_TEST_CASE(an_idle_timeout_does_not_close_a_connection_that_was_just_used, fixture) {
    const auto caller = connect_many(1).front();
    caller->send(request("GET /nowhere", "r1"));
    pause();
    run_until([&] { return caller->ended || is_answered(*caller); });
    caller->received.clear();
    caller->send(request("GET /again/x", "r2"));
    run_until([&] { return caller->ended || is_answered(*caller); });
    BOOST_TEST(ends_with(caller->received, "done"));
}

// Guards against a body that is refused by a timeout which was due before its last parts were read.
BOOST_FIXTURE_TEST_CASE(a_body_timeout_does_not_refuse_a_body_that_goes_on, fixture) {
    const std::string all = request("POST /again/x", "r1", "", body);
    const std::string early = all.substr(0, all.size() - 2'000);
    BOOST_TEST(count_served(1, early, std::string(1'000, 'b'), std::string(1'000, 'b')) == 1U);
}

// Guards against bodies that are refused with their last parts unread, as timers are handled before
// the input of connections that are many.
BOOST_FIXTURE_TEST_CASE(a_body_timeout_does_not_refuse_bodies_that_lie_unread, fixture) {
    const std::string all = request("POST /again/x", "r1", "", body);
    const std::string early = all.substr(0, all.size() - 2'000);
    BOOST_TEST(count_served(many, early, std::string(2'000, 'b'), "") == std::size_t(many));
}

// Guards against the same for the last parts of heads.
BOOST_FIXTURE_TEST_CASE(a_header_timeout_does_not_refuse_heads_that_lie_unread, fixture) {
    set_header_timeout(short_time);
    const std::string all = request("GET /again/x", "r1");
    BOOST_TEST(count_served(many, all.substr(0, 20), all.substr(20), "") == std::size_t(many));
}

// Guards against heads that take longer than they may once the process runs again.
BOOST_FIXTURE_TEST_CASE(a_head_that_does_not_end_is_refused_after_a_pause, fixture) {
    set_header_timeout(short_time);
    const auto caller = connect_many(1).front();
    caller->send("GET /again/x HTTP/1.1\r\n");
    run_for(short_time / 10);
    caller->send("Host: h\r\n");
    pause();
    run_until([&] { return caller->ended; });
    BOOST_TEST(caller->received.find(" 408 ") != std::string::npos);
}

// Guards against requests that are started on a configuration that isn't confirmed after a second
// pause, because the wait for the confirmation after the first one was due at its end.
BOOST_FIXTURE_TEST_CASE(a_confirmation_timeout_does_not_end_the_wait_after_a_later_pause, fixture) {
    set_header_timeout(std::chrono::seconds(5));
    gateway_settings settings;
    settings.confirmation_wait = short_time;
    proxy().reconfigure(settings);
    const auto callers = connect_many(2);
    proxy().note_running();
    time.jump(std::chrono::seconds(3));
    callers[0]->send(request("GET /again/x", "r1"));
    run_until([&] { return proxy().awaits_confirmation(); });
    callers[1]->send(request("GET /again/x", "r2"));
    time.jump(std::chrono::seconds(3));
    pause();
    run_for(short_time / 2);
    BOOST_TEST(proxy().awaits_confirmation());
    BOOST_TEST(endpoint(0).requests.empty());
    run_until([&] { return is_answered(*callers[0]) && is_answered(*callers[1]); });
}

// Guards against a call that breaks off because the timeout of its connection's establishment was
// due together with the establishment.
BOOST_AUTO_TEST_CASE(a_connect_timeout_does_not_close_an_established_connection) {
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto it = std::make_shared<link>(loop);
    bool is_connected = false;
    it->connect(acceptor.local_endpoint(), short_time, [&](bool done) { is_connected = done; });
    std::this_thread::sleep_for(short_time * 2);
    loop.run_for(short_time / 2);
    BOOST_TEST(is_connected);
    BOOST_TEST(it->is_open() == is_connected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
