#include <boost/test/unit_test.hpp>

#include "routing/status_schedule.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t regions = 3;

// Messages per second that one daemon sends in a fleet of `vms`, spread evenly over the regions.
double messages_per_second(std::size_t vms) {
    status_schedule it;
    it.set_fleet(vms / regions, vms);
    const auto per_second = [&](peer_distance distance) {
        return 1 / std::chrono::duration<double>(it.interval(distance)).count();
    };
    const std::size_t in_region = vms / regions;
    const auto near = static_cast<double>(in_region - 1);
    const auto far = static_cast<double>(vms - in_region);
    return near * per_second(peer_distance::near) + far * per_second(peer_distance::far);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(status_schedule_tests)

BOOST_AUTO_TEST_CASE(a_small_fleet_uses_the_minimum_interval) {
    status_schedule it;
    it.set_fleet(3, 9);
    BOOST_TEST((it.interval(peer_distance::near) == milliseconds(400)));
    BOOST_TEST((it.interval(peer_distance::far) == milliseconds(400)));
    BOOST_TEST((it.lifetime(peer_distance::far, seconds(2)) == seconds(2)));
}

BOOST_AUTO_TEST_CASE(far_peers_of_a_large_fleet_receive_fewer_messages) {
    status_schedule it;
    it.set_fleet(21, 64);
    BOOST_TEST((it.interval(peer_distance::near) == milliseconds(400)));
    BOOST_TEST((it.interval(peer_distance::far) == milliseconds(1'600)));
    // Two consecutive messages may be lost before a report expires.
    BOOST_TEST((it.lifetime(peer_distance::far, seconds(2)) == milliseconds(4'800)));
}

BOOST_AUTO_TEST_CASE(the_traffic_of_a_daemon_stops_growing_with_the_fleet) {
    const double at_96 = messages_per_second(96);
    for (const std::size_t vms : {192, 384, 768}) {
        BOOST_TEST(messages_per_second(vms) <= at_96 * 1.05);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
