// Versions of adapters that requests require at their engines.
#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

const routing::model_ref adapter{"m", "a"};

struct version_fixture : gateway_fixture {
    version_fixture() {
        with_engines = true;
        configure();
    }

    void hold(const std::string& id, std::uint64_t version) {
        routing::endpoint entry = *proxy().directory().find(endpoint_id(id));
        entry.heartbeat = ++heartbeats;
        entry.models = {{"m", 1, {{"a", version}}}};
        proxy().on_endpoint(entry);
    }

    // Returns the version that a request sent now requires, or an empty text.
    std::string required_version() {
        fake_endpoint& engine = endpoint(0);
        const std::size_t before = engine.requests.size();
        const auto caller = connect();
        caller->send(request("POST /once/a", "r1", "X-Model: m/a\r\n", "x"));
        run_until([&] { return engine.requests.size() > before; });
        const std::string& got = engine.requests.back();
        const std::size_t at = got.find("X-Version: ");
        return at == std::string::npos ? "" : got.substr(at + 11, got.find("\r\n", at) - at - 11);
    }

    std::uint64_t heartbeats = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(adapter_versions_tests, version_fixture)

// Guards against requests that run on a version that was replaced long ago, because newer ones
// follow each other quickly: each version is judged from its own announcement.
BOOST_AUTO_TEST_CASE(a_newer_version_does_not_prolong_the_use_of_an_old_one) {
    add_endpoint("e1",
                 [](const std::string&, peer& it) { it.send(response("200 OK", "r1", "done")); });
    hold("e1", 2);
    proxy().on_version(adapter, 2, time.now() - milliseconds(2'900));
    BOOST_TEST(required_version() == "");
    time.jump(milliseconds(200));
    proxy().on_version(adapter, 3, time.now());
    BOOST_TEST(required_version() == "2");
    time.jump(milliseconds(1'400));
    proxy().on_version(adapter, 4, time.now());
    BOOST_TEST(required_version() == "2");
    hold("e1", 3);
    BOOST_TEST(required_version() == "3");
    time.jump(milliseconds(3'100));
    hold("e1", 4);
    BOOST_TEST(required_version() == "4");
}

// Guards against a request that begins on an old version after it waited at its engine: it was sent
// in time, but the engine was busy. A request that may be repeated is sent again.
BOOST_AUTO_TEST_CASE(a_request_that_waits_at_an_old_version_is_taken_back) {
    add_endpoint("e1", [](const std::string&, peer&) {});
    hold("e1", 1);
    const auto once = connect();
    once->send(request("POST /once/a", "r1", "X-Model: m/a\r\n", "x"));
    const auto again = connect();
    again->send(request("POST /events/a", "r2", "X-Model: m/a\r\n", "x"));
    run_until([&] { return endpoint(0).requests.size() == 2U; });
    add_endpoint("e2", [](const std::string& got, peer& it) {
        it.send(response("200 OK", id_of(got), "done"));
    });
    hold("e2", 2);
    proxy().on_version(adapter, 2, time.now() - milliseconds(4'450));
    run_until([&] { return ends_with(again->received, "done\r\n0\r\n\r\n"); });
    run_until([&] { return once->received.compare(0, 12, "HTTP/1.1 504") == 0; });
    BOOST_TEST(endpoint(1).requests.size() == 1U);
}

// Guards against a request that is taken back though its engine has the version by now.
BOOST_AUTO_TEST_CASE(a_request_that_waits_at_the_new_version_stays) {
    std::shared_ptr<peer> held;
    add_endpoint("e1", [&](const std::string&, peer& it) { held = it.shared_from_this(); });
    hold("e1", 1);
    const auto caller = connect();
    caller->send(request("POST /once/a", "r1", "X-Model: m/a\r\n", "x"));
    run_until([&] { return held != nullptr; });
    proxy().on_version(adapter, 2, time.now() - milliseconds(4'480));
    hold("e1", 2);
    for (int i = 0; i < 10; ++i) {
        loop.restart();
        loop.run_one_for(milliseconds(10));
    }
    held->send(response("200 OK", "r1", "done"));
    run_until([&] { return ends_with(caller->received, "done"); });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
