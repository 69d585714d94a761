#include <boost/test/unit_test.hpp>

#include "edge/load_time_monitor.h"

namespace radishpulley::edge::testing {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(load_time_monitor_tests)

BOOST_AUTO_TEST_CASE(the_estimates_are_exported_in_seconds) {
    telemetry::registry metrics;
    load_time_monitor monitor(metrics);
    routing::adapter_load_times times;
    times.fetched.on_peer_estimate(5, milliseconds(900), time_point{});
    monitor.update(times, 4);
    const std::string text = metrics.to_text();
    BOOST_TEST(text.find("adapter_load_seconds{source=\"weight_store\"} 0.9") != std::string::npos);
    BOOST_TEST(text.find("adapters_loading 4") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
