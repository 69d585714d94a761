// Callers that keep many connections open.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

constexpr std::size_t connection_limit = 8;

bool is_answered(const peer& it) {
    return ends_with(it.received, "done") || ends_with(it.received, "}");
}

struct fixture : gateway_fixture {
    fixture() {
        configure();
        add_endpoint("e1", [this](const std::string& request, peer& it) {
            if (answers) {
                it.send(response("200 OK", id_of(request), "done"));
            }
        });
        gateway_settings settings;
        settings.max_connections = connection_limit;
        proxy().reconfigure(settings);
    }

    // Connects callers one after the other, so that each is accepted before the next.
    std::vector<std::shared_ptr<peer>> connect_many(std::size_t count, const std::string& bytes) {
        std::vector<std::shared_ptr<peer>> out;
        for (std::size_t i = 0; i < count; ++i) {
            out.push_back(connect());
            out.back()->send(bytes);
            handle_input();
        }
        return out;
    }

    // Runs the loop until what was sent before has been handled.
    void handle_input() {
        const time_point begin = time.now();
        run_until([&] { return time.now() - begin > std::chrono::milliseconds(20); });
    }

    std::string serve(const std::string& id) {
        return round_trip(request("GET /once/x", id), is_answered);
    }

    bool answers = true;
};

std::size_t count_ended(const std::vector<std::shared_ptr<peer>>& callers) {
    return static_cast<std::size_t>(
        std::count_if(callers.begin(), callers.end(), [](const auto& it) { return it->ended; }));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(connection_limit_tests)

// Guards against idle connections that take all descriptors, and against closing those that were
// used last.
BOOST_FIXTURE_TEST_CASE(the_connections_that_are_idle_longest_make_room, fixture) {
    const auto callers = connect_many(connection_limit + 3, "");
    BOOST_TEST(proxy().connection_count() <= connection_limit);
    BOOST_TEST(count_ended(callers) == 3U);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(callers[i]->ended);
    }
    BOOST_TEST(serve("r1").find(" 200 ") != std::string::npos);
}

// Guards against ordinary requests that are refused because slow heads hold all connections.
BOOST_FIXTURE_TEST_CASE(heads_that_do_not_end_make_room, fixture) {
    const auto callers = connect_many(connection_limit, "GET /once/x HTTP/1.1\r\nHost:");
    time.jump(std::chrono::milliseconds(1'000));
    BOOST_TEST(serve("r1").find(" 200 ") != std::string::npos);
    BOOST_TEST(serve("r2").find(" 200 ") != std::string::npos);
    BOOST_TEST(count_ended(callers) > 0U);
}

// Guards against requests in progress that are broken off for new connections.
BOOST_FIXTURE_TEST_CASE(requests_in_progress_keep_their_connections, fixture) {
    answers = false;
    const auto callers = connect_many(connection_limit, request("GET /once/x", "r1"));
    const auto late = connect();
    run_until([&] { return late->ended; });
    BOOST_TEST(count_ended(callers) == 0U);
    BOOST_TEST(proxy().request_count() == connection_limit);
}

// Guards against connections that are counted after they were closed.
BOOST_FIXTURE_TEST_CASE(closed_connections_are_not_counted, fixture) {
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(serve("r" + std::to_string(i)).find(" 200 ") != std::string::npos);
    }
    proxy().close_callers();
    BOOST_TEST(proxy().connection_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
