#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

using std::chrono::milliseconds;

constexpr int engine_count = 4;

// Engines that hold the base model and none of the adapters.
struct fixture : gateway_fixture {
    fixture() {
        with_engines = true;
        configure();
        for (int i = 1; i <= engine_count; ++i) {
            const std::string name = "e" + std::to_string(i);
            add_endpoint(name, [this, name](const std::string& request, peer& it) {
                sent_to.push_back(name);
                it.send(response("200 OK", id_of(request), "done"));
            });
            routing::endpoint entry = *proxy().directory().find(endpoint_id(name));
            entry.heartbeat = 1;
            entry.models = {{"m", 1, {}}};
            proxy().on_endpoint(entry);
        }
    }

    // Grants a load that ends after `ready_in` if the request can wait for it.
    load_request_result answer(const endpoint_id& id, const routing::model_ref& it,
                               duration ready_in, duration max_wait) {
        ++asked[id.str()];
        if (ready_in > max_wait) {
            return load_not_possible{ready_in};
        }
        proxy().on_adapter(id, it,
                           {routing::adapter_state::loading, time.now() + ready_in, 1, true});
        return load_requested{};
    }

    std::string send(const std::string& deadline_ms) {
        return round_trip(request("POST /once/a", "r1",
                                  "X-Model: m/a\r\nX-Deadline: " + deadline_ms + "\r\n", "x"),
                          [](const peer& it) {
                              return ends_with(it.received, "done") || ends_with(it.received, "}");
                          });
    }

    std::vector<std::string> sent_to;
    std::map<std::string, int> asked;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(load_waiting_tests)

// Guards against a refusal within milliseconds of a deadline of seconds, while the places of the
// engines that were asked first are taken for a moment.
BOOST_FIXTURE_TEST_CASE(a_request_waits_where_its_adapter_can_be_loaded_first, fixture) {
    std::string soonest;
    broker().on_load_request = [&](const endpoint_id& id, const routing::model_ref& it,
                                   duration max_wait) {
        soonest = asked.empty() ? id.str() : soonest;
        const duration ready_in = id.str() == soonest ? milliseconds(1'000) : milliseconds(1'500);
        return answer(id, it, ready_in, max_wait);
    };
    const std::string got = send("4000");
    BOOST_TEST(ends_with(got, "done"));
    BOOST_REQUIRE(sent_to.size() == 1U);
    BOOST_TEST(sent_to.front() == soonest);
    BOOST_TEST(asked.size() == 3U);
    BOOST_TEST(asked[soonest] == 2);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_no_engine_can_serve_in_time_is_refused_at_once, fixture) {
    broker().on_load_request = [&](const endpoint_id& id, const routing::model_ref& it,
                                   duration max_wait) {
        return answer(id, it, milliseconds(9'000), max_wait);
    };
    const time_point began = time.now();
    const std::string got = send("4000");
    BOOST_TEST(got.find(" 503 ") != std::string::npos);
    BOOST_TEST(sent_to.empty());
    BOOST_TEST((time.now() - began < milliseconds(1'000)));
    // A request like this one can wait for three seconds.
    BOOST_TEST(retry_after_of(got) > 5.0);
}

// Guards against waiting where the load was refused for good while an engine that did not refuse
// is left.
BOOST_FIXTURE_TEST_CASE(an_engine_that_loads_soon_is_preferred, fixture) {
    broker().on_load_request = [&](const endpoint_id& id, const routing::model_ref& it,
                                   duration max_wait) {
        const duration ready_in = asked.empty() ? milliseconds(2'000) : milliseconds(20);
        return answer(id, it, ready_in, max_wait);
    };
    BOOST_TEST(ends_with(send("4000"), "done"));
    BOOST_TEST(asked.size() == 2U);
}

// Guards against a refusal after half a second, while the VMs that order the loads of three engines
// are gone and the fourth engine has a free place.
BOOST_FIXTURE_TEST_CASE(engines_whose_holder_is_silent_are_passed_over, fixture) {
    broker().on_load_request = [&](const endpoint_id& id, const routing::model_ref& it,
                                   duration max_wait) -> load_request_result {
        if (asked.size() < engine_count - 1) {
            ++asked[id.str()];
            return load_requested{};
        }
        return answer(id, it, milliseconds(20), max_wait);
    };
    BOOST_TEST(ends_with(send("4000"), "done"));
    BOOST_TEST(asked.size() == engine_count);
    BOOST_TEST(broker().silent.size() == engine_count - 1U);
    // The next request knows.
    asked.clear();
    broker().on_load_request = [&](const endpoint_id& id, const routing::model_ref& it,
                                   duration max_wait) -> load_request_result {
        ++asked[id.str()];
        if (broker().silent.count(id) != 0) {
            return load_not_possible{};
        }
        return answer(id, it, milliseconds(20), max_wait);
    };
    proxy().adapters().on_missing(endpoint_id(sent_to.front()), {"m", "a"}, time.now());
    BOOST_TEST(ends_with(send("4000"), "done"));
    BOOST_TEST(asked.size() <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
