// Regions of routes and client accounts, and evacuated availability zones, on real sockets.
#include <random>

#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

const std::map<zone_id, region_id> regions{{zone_id("a1"), region_id("a")},
                                           {zone_id("b1"), region_id("b")},
                                           {zone_id("c1"), region_id("c")}};

routing::allowed_regions only(std::initializer_list<const char*> names) {
    std::set<region_id> out;
    for (const char* it : names) {
        out.insert(region_id(it));
    }
    return routing::allowed_regions(std::move(out));
}

// One endpoint in each zone; it responds with its name.
struct fixture : gateway_fixture {
    fixture() {
        with_engines = true;
        gateway_settings settings;
        settings.retry_reserve = 1'000;
        settings.location = {zone_id("a1"), region_id("a"), regions};
        proxy().reconfigure(settings);
        configure();
        for (const auto& [zone, region] : regions) {
            add_endpoint_in(zone.str());
        }
    }

    void add_endpoint_in(const std::string& zone) {
        add_endpoint(zone, [this, zone](const std::string& request, peer& it) {
            const auto scripted = scripts.find(zone);
            if (scripted != scripts.end()) {
                scripted->second(request, it);
                return;
            }
            sent_to.push_back(zone);
            it.send(response("200 OK", id_of(request), "done"));
        });
        routing::endpoint entry = *proxy().directory().find(endpoint_id(zone));
        entry.heartbeat = 1;
        entry.zone = zone_id(zone);
        entry.models = {{"m", 1, {}}};
        proxy().on_endpoint(entry);
    }

    // Puts a configuration in force whose routes and account have these restrictions.
    void restrict(const routing::allowed_regions& route, const routing::allowed_regions& account) {
        routing::configuration_content next;
        next.version = proxy().configuration()->version() + 1;
        next.routes = proxy().configuration()->routes();
        next.services = proxy().configuration()->services();
        next.accounts = proxy().configuration()->accounts();
        next.limits = proxy().configuration()->limits();
        for (routing::route& it : next.routes) {
            it.regions = route;
        }
        next.accounts.front().regions = account;
        proxy().on_configuration(std::make_shared<routing::configuration>(std::move(next)));
    }

    static bool is_answered(const peer& it) {
        return ends_with(it.received, "done") || ends_with(it.received, "}");
    }

    std::string send(const std::string& more = "") {
        return round_trip(request("POST /once/a", "r" + std::to_string(++requests), more, "x"),
                          is_answered);
    }

    // Grants the load of an adapter that ends after `ready_in`.
    void grant_loads(duration ready_in) {
        broker().on_load_request = [this, ready_in](const endpoint_id& id,
                                                    const routing::model_ref& it,
                                                    duration) -> load_request_result {
            waits_at = id;
            proxy().on_adapter(id, it,
                               {routing::adapter_state::loading, time.now() + ready_in, 1, true});
            return load_requested{};
        };
    }

    // Sends a request that waits for its adapter, and returns its caller.
    std::shared_ptr<peer> send_waiting() {
        auto caller = connect();
        caller->send(request("POST /once/a", "waiting", "X-Model: m/a\r\n", "x"));
        run_until([&] { return !waits_at.empty(); });
        return caller;
    }

    /// What the endpoint of a zone does instead of responding with its name.
    std::map<std::string, fake_endpoint::script> scripts;
    std::vector<std::string> sent_to;
    endpoint_id waits_at;
    int requests = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(regions_tests)

// Guards against a request that reaches an endpoint outside the regions of its route or account.
BOOST_FIXTURE_TEST_CASE(no_request_is_sent_outside_its_regions, fixture) {
    std::mt19937 random(51);
    const std::vector<routing::allowed_regions> choices{
        {}, only({"a"}), only({"b"}), only({"c", "a"}), only({"b", "c"}), only({"nowhere"})};
    for (int i = 0; i < 60; ++i) {
        const auto& route = choices[random() % choices.size()];
        const auto& account = choices[random() % choices.size()];
        restrict(route, account);
        sent_to.clear();
        const std::string got = send();
        const routing::allowed_regions both = intersection(route, account);
        for (const std::string& zone : sent_to) {
            BOOST_TEST(both.allows(regions.at(zone_id(zone))));
        }
        const bool is_servable = std::any_of(
            regions.begin(), regions.end(), [&](const auto& it) { return both.allows(it.second); });
        BOOST_TEST((got.find("200 OK") != std::string::npos) == is_servable);
    }
}

BOOST_FIXTURE_TEST_CASE(regions_without_an_intersection_are_refused_at_once, fixture) {
    restrict(only({"a"}), only({"b"}));
    const std::string got = send();
    BOOST_TEST(got.find("503") != std::string::npos);
    BOOST_TEST(got.find("no_allowed_region") != std::string::npos);
    BOOST_TEST(retry_after_of(got) > 0);
    BOOST_TEST(sent_to.empty());
}

// Guards against a request that was accepted under an older configuration and is sent to a region
// that the newest one excludes.
BOOST_FIXTURE_TEST_CASE(a_waiting_request_obeys_a_newer_restriction, fixture) {
    grant_loads(milliseconds(300));
    const auto caller = send_waiting();
    const endpoint_id first = waits_at;
    restrict(first.str() == "b1" ? only({"c"}) : only({"b"}), {});
    run_until([&] { return is_answered(*caller); });
    BOOST_REQUIRE(sent_to.size() == 1U);
    BOOST_TEST(sent_to.front() != first.str());
    BOOST_TEST(sent_to.front() == (first.str() == "b1" ? "c1" : "b1"));
}

// Guards against a retry that leaves the allowed regions because the allowed endpoint failed.
BOOST_FIXTURE_TEST_CASE(a_retry_stays_in_the_regions, fixture) {
    restrict(only({"b"}), {});
    scripts["b1"] = [](const std::string& request, peer& it) {
        it.send(response("503 Busy", id_of(request), "", "X-Not-Run: 1\r\n"));
    };
    const std::string got = send();
    BOOST_TEST(got.find("503") != std::string::npos);
    BOOST_TEST(sent_to.empty());
}

BOOST_FIXTURE_TEST_CASE(an_evacuated_zone_gets_no_requests_until_it_is_taken_back, fixture) {
    restrict(only({"b"}), {});
    proxy().on_evacuation(zone_id("b1"), true);
    const std::string got = send();
    BOOST_TEST(got.find("zones_evacuated") != std::string::npos);
    BOOST_TEST(retry_after_of(got) > 0);
    BOOST_TEST(sent_to.empty());
    proxy().on_evacuation(zone_id("b1"), false);
    BOOST_TEST(send().find("200 OK") != std::string::npos);
    BOOST_TEST(sent_to.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(requests_are_refused_while_all_zones_are_evacuated, fixture) {
    const std::vector<zone_id> all{zone_id("a1"), zone_id("b1"), zone_id("c1")};
    proxy().on_evacuations(all);
    BOOST_TEST(send().find("zones_evacuated") != std::string::npos);
    BOOST_TEST(sent_to.empty());
    proxy().on_evacuations({});
    BOOST_TEST(send().find("200 OK") != std::string::npos);
}

// Guards against a request that waits for an adapter in a zone until the load ends, although the
// zone is evacuated meanwhile.
BOOST_FIXTURE_TEST_CASE(a_request_that_waits_in_an_evacuated_zone_moves_at_once, fixture) {
    grant_loads(milliseconds(2'000));
    const auto caller = send_waiting();
    const endpoint_id first = waits_at;
    grant_loads(milliseconds(1));
    const time_point evacuated_at = time.now();
    proxy().on_evacuation(zone_id(first.str()), true);
    run_until([&] { return is_answered(*caller); });
    BOOST_REQUIRE(sent_to.size() == 1U);
    BOOST_TEST(sent_to.front() != first.str());
    BOOST_TEST((time.now() - evacuated_at < milliseconds(1'900)));
}

// Guards against streams that are cut because their zone is evacuated.
BOOST_FIXTURE_TEST_CASE(a_stream_in_progress_ends_normally_in_an_evacuated_zone, fixture) {
    std::shared_ptr<peer> engine;
    restrict(only({"b"}), {});
    scripts["b1"] = [&](const std::string& request, peer& it) {
        engine = it.shared_from_this();
        it.send("HTTP/1.1 200 OK\r\nX-Id: " + id_of(request) +
                "\r\nX-Signature: s\r\nContent-Length: 14\r\n\r\nid: 1\n\n");
    };
    const auto caller = connect();
    caller->send(request("POST /stream/a", "r1", "", "x"));
    run_until([&] { return caller->received.find("id: 1") != std::string::npos; });
    proxy().on_evacuation(zone_id("b1"), true);
    engine->send("id: 2\n\n");
    run_until([&] { return caller->received.find("id: 2") != std::string::npos; });
    BOOST_TEST(!caller->ended);
}

// Guards against a daemon that serves before it knows which zones are evacuated.
BOOST_FIXTURE_TEST_CASE(nothing_is_served_before_the_evacuations_are_known, fixture) {
    gateway_settings settings;
    settings.location = {zone_id("a1"), region_id("a"), regions};
    settings.requires_evacuations = true;
    proxy().reconfigure(settings);
    BOOST_TEST(send().find("evacuations_unknown") != std::string::npos);
    BOOST_TEST(sent_to.empty());
    proxy().on_evacuations({});
    BOOST_TEST(send().find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
