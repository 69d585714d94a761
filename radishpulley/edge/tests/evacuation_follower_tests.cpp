#include <boost/test/unit_test.hpp>

#include "../src/evacuation_follower.h"
#include "memory_collections.h"
#include "null_codec.h"
#include "platform_adapter/decoders.h"

namespace radishpulley::edge::testing {
namespace {

const char* const kind = platform_adapter::evacuations_kind;

struct fixture {
    fixture()
        : data_path(loop, time, codec, metrics, {}), follower(loop, time, store, data_path, [] {}) {
        follower.set_zones({{zone_id("a"), region_id("r")}, {zone_id("b"), region_id("r")}});
    }

    void evacuate(const char* zone) {
        store.create(kind, zone, "{}", [](const auto&) {});
    }
    void take_back(const char* zone) {
        store.remove(kind, zone, 0, [](const auto&) {});
    }
    bool is_evacuated(const char* zone) const {
        return data_path.evacuations().is_evacuated(zone_id(zone));
    }

    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 3'000;
        for (int i = 0; i < max_steps && !done(); ++i) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(3));
        }
        BOOST_REQUIRE(done());
    }

    void start() { follower.set_bound(std::chrono::seconds(5)); }

    boost::asio::io_context loop;
    jumping_clock time;
    memory_collections store{loop};
    null_codec codec;
    telemetry::registry metrics;
    gateway::gateway data_path;
    evacuation_follower follower;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuation_follower_tests)

// Guards against a daemon that starts during an evacuation and serves before it knows of it.
BOOST_FIXTURE_TEST_CASE(a_daemon_that_starts_is_ready_once_it_knows_the_evacuations, fixture) {
    evacuate("a");
    BOOST_TEST(follower.is_ready());
    start();
    BOOST_TEST(!follower.is_ready());
    run_until([&] { return follower.is_ready(); });
    BOOST_TEST(is_evacuated("a"));
}

BOOST_FIXTURE_TEST_CASE(an_evacuation_that_is_taken_back_and_repeated_is_followed, fixture) {
    start();
    run_until([&] { return follower.is_ready(); });
    evacuate("a");
    run_until([&] { return is_evacuated("a"); });
    take_back("a");
    run_until([&] { return !is_evacuated("a"); });
    evacuate("a");
    run_until([&] { return is_evacuated("a"); });
    BOOST_TEST(!is_evacuated("b"));
}

// Guards against an evacuation that is forgotten while the store does not answer, or that is missed
// because it was written then.
BOOST_FIXTURE_TEST_CASE(evacuations_outlast_an_outage_of_the_store, fixture) {
    start();
    evacuate("a");
    run_until([&] { return is_evacuated("a"); });
    store.is_unavailable = true;
    loop.restart();
    loop.run_for(std::chrono::milliseconds(300));
    BOOST_TEST(is_evacuated("a"));
    store.is_unavailable = false;
    evacuate("b");
    run_until([&] { return is_evacuated("b"); });
    BOOST_TEST(is_evacuated("a"));
}

// Guards against a zone that stays evacuated, or is not, because the store came back from an older
// copy without the history of the change.
BOOST_FIXTURE_TEST_CASE(a_restored_store_is_listed_again, fixture) {
    start();
    evacuate("a");
    run_until([&] { return is_evacuated("a"); });
    store.back_up();
    evacuate("b");
    run_until([&] { return is_evacuated("b"); });
    store.restore();
    run_until([&] { return !is_evacuated("b"); });
    BOOST_TEST(is_evacuated("a"));
}

// Guards against a name of no known zone that hides the others.
BOOST_FIXTURE_TEST_CASE(an_unknown_zone_affects_no_other, fixture) {
    start();
    evacuate("nowhere");
    evacuate("b");
    run_until([&] { return is_evacuated("b"); });
    BOOST_TEST(!is_evacuated("a"));
}

// Guards against calls to the store in deployments without evacuations.
BOOST_FIXTURE_TEST_CASE(nothing_is_followed_without_a_bound, fixture) {
    follower.set_bound(std::nullopt);
    loop.run_for(std::chrono::milliseconds(100));
    BOOST_TEST(store.list_calls == 0U);
    BOOST_TEST(follower.is_ready());
    BOOST_TEST(follower.follower() == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
