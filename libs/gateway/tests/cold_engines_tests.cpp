// Cold engines on real sockets.
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds housekeeping_interval{400};

// Endpoints of a service whose cold endpoints accept two requests per second.
struct fixture : gateway_fixture {
    fixture() {
        configure();
        routing::configuration_content next;
        next.version = 2;
        next.routes = proxy().configuration()->routes();
        next.services = proxy().configuration()->services();
        next.accounts = proxy().configuration()->accounts();
        next.limits = proxy().configuration()->limits();
        next.services.front().cold_start = milliseconds(20'000);
        next.services.front().cold_rate = 2;
        proxy().on_configuration(std::make_shared<routing::configuration>(std::move(next)));
    }

    // Adds an endpoint that states in its entry how long it is cold.
    void add(const std::string& id, milliseconds cold_left) {
        add_endpoint(id, [this, id](const std::string& request, peer& it) {
            sent_to.push_back(id);
            it.send(response("200 OK", id_of(request), "done", "X-Signature: s\r\n" + headers));
        });
        state_cold(id, cold_left);
    }

    void state_cold(const std::string& id, milliseconds cold_left) {
        routing::endpoint entry = *proxy().directory().find(endpoint_id(id));
        ++entry.heartbeat;
        entry.zone = zone_id("z");
        entry.cold_left = cold_left;
        proxy().on_endpoint(entry);
    }

    // Lets time pass while the members are known, or are not.
    void pass(duration time_to_pass, bool complete = true) {
        const std::vector<vm_id> vms{vm_id("self")};
        for (duration it{}; it < time_to_pass; it += housekeeping_interval) {
            time.jump(housekeeping_interval);
            proxy().note_running();
            proxy().set_members(vm_id("self"), vms, complete);
            // Ends the turn, whose length would count as time for which requests lay unread.
            loop.restart();
            loop.poll();
        }
    }

    std::string send(const std::string& line = "GET /again/x") {
        return round_trip(request(line, "r" + std::to_string(++requests)), [](const peer& it) {
            return ends_with(it.received, "done") || ends_with(it.received, "}");
        });
    }

    bool is_cold(const std::string& id) {
        return proxy().cold_limits().is_cold(endpoint_id(id), time.now());
    }

    /// Header lines of the endpoints' responses.
    std::string headers;
    std::vector<std::string> sent_to;
    int requests = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_engines_tests)

// Guards against requests beyond a cold engine's rate, and against ones that wait for it.
BOOST_FIXTURE_TEST_CASE(requests_beyond_the_rate_of_cold_engines_are_refused, fixture) {
    add("e1", milliseconds(60'000));
    pass(milliseconds(5'000));
    BOOST_TEST(ends_with(send(), "done"));
    const std::string got = send();
    BOOST_TEST(got.find("503") != std::string::npos);
    BOOST_TEST(got.find("endpoints_busy") != std::string::npos);
    BOOST_TEST(retry_after_of(got) > 0);
    BOOST_TEST(retry_after_of(got) <= 0.5);
    BOOST_TEST(sent_to.size() == 1U);
    pass(milliseconds(800));
    BOOST_TEST(ends_with(send(), "done"));
}

// Guards against a VM that has not read the list of VMs and takes itself for the only one.
BOOST_FIXTURE_TEST_CASE(a_vm_without_its_members_sends_only_to_warm_endpoints, fixture) {
    add("e1", milliseconds(60'000));
    pass(milliseconds(5'000), false);
    const std::string got = send();
    BOOST_TEST(got.find("endpoints_busy") != std::string::npos);
    BOOST_TEST(retry_after_of(got) > 0);
    add("e2", milliseconds(0));
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(ends_with(send(), "done"));
    }
    BOOST_TEST((sent_to == std::vector<std::string>(10, "e2")));
}

// Guards against an engine that became cold again and is found only by its next entry.
BOOST_FIXTURE_TEST_CASE(a_response_states_that_its_endpoint_is_cold, fixture) {
    add("e1", milliseconds(0));
    pass(milliseconds(5'000));
    headers = "X-Cold: 9000\r\n";
    BOOST_TEST(ends_with(send(), "done"));
    BOOST_TEST(is_cold("e1"));
    BOOST_TEST(send().find("endpoints_busy") != std::string::npos);
}

// Guards against a cold time that is attributed to the endpoint that was meant to answer.
BOOST_FIXTURE_TEST_CASE(a_cold_time_applies_to_the_endpoint_that_answers, fixture) {
    add("e1", milliseconds(0));
    add("e2", milliseconds(0));
    headers = "X-Cold: 9000\r\nX-Answered-By: e2\r\n";
    BOOST_TEST(ends_with(send(), "done"));
    BOOST_TEST(!is_cold("e1"));
    BOOST_TEST(is_cold("e2"));
    headers = "X-Cold: 9000\r\nX-Answered-By: unknown\r\n";
    BOOST_TEST(ends_with(send(), "done"));
    BOOST_TEST(!is_cold("e1"));
}

// Guards against repeating requests that a cold endpoint answers slowly.
BOOST_FIXTURE_TEST_CASE(a_slow_cold_endpoint_is_not_retried_elsewhere, fixture) {
    std::string asked_id;
    peer* slow = nullptr;
    add_endpoint("e1", [&](const std::string& request, peer& it) {
        asked_id = id_of(request);
        slow = &it;
    });
    state_cold("e1", milliseconds(60'000));
    pass(milliseconds(5'000));
    const auto caller = connect();
    caller->send(request("GET /again/x", "slow"));
    run_until([&] { return slow != nullptr; });
    add("e2", milliseconds(0));
    const time_point asked_at = time.now();
    run_until([&] { return time.now() - asked_at > milliseconds(350); });
    BOOST_TEST(sent_to.empty());
    BOOST_TEST(!proxy().directory().is_deprioritized(endpoint_id("e1"), time.now()));
    slow->send(response("200 OK", asked_id, "done"));
    run_until([&] { return ends_with(caller->received, "done"); });
}

// Guards against all VMs choosing the empty engines of a zone whose evacuation ends.
BOOST_FIXTURE_TEST_CASE(endpoints_are_cold_after_the_evacuation_of_their_zone, fixture) {
    add("e1", milliseconds(0));
    pass(milliseconds(5'000));
    proxy().on_evacuation(zone_id("z"), true);
    BOOST_TEST(!is_cold("e1"));
    proxy().on_evacuation(zone_id("z"), false);
    BOOST_TEST(is_cold("e1"));
    pass(milliseconds(2'000));
    BOOST_TEST(ends_with(send(), "done"));
    BOOST_TEST(send().find("endpoints_busy") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
