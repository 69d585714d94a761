#include <boost/test/unit_test.hpp>

#include "routing/load_schedule.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};
constexpr milliseconds load_time{100};

}  // namespace

BOOST_AUTO_TEST_SUITE(load_schedule_tests)

BOOST_AUTO_TEST_CASE(loads_share_the_load_slots) {
    load_schedule it({4, start}, {2, start});
    BOOST_TEST((*it.add(load_time, start) == start + load_time));
    BOOST_TEST((*it.add(load_time, start) == start + load_time));
    BOOST_TEST((*it.add(load_time, start) == start + load_time * 2));
}

BOOST_AUTO_TEST_CASE(a_load_waits_for_the_place_that_becomes_free_first) {
    load_schedule it({start + milliseconds(700), start + milliseconds(300)}, {4, start});
    BOOST_TEST((*it.add(load_time, start) == start + milliseconds(400)));
    BOOST_TEST((*it.add(load_time, start) == start + milliseconds(800)));
    BOOST_TEST(!it.add(load_time, start).has_value());
}

BOOST_AUTO_TEST_CASE(times_in_the_past_are_free_now) {
    load_schedule it({start - milliseconds(500)}, {start - milliseconds(500)});
    BOOST_TEST((*it.add(load_time, start) == start + load_time));
}

BOOST_AUTO_TEST_CASE(an_engine_without_places_or_load_slots_loads_nothing) {
    load_schedule no_place({}, {start});
    BOOST_TEST(!no_place.add(load_time, start).has_value());
    load_schedule no_load_slot({start}, {});
    BOOST_TEST(!no_load_slot.add(load_time, start).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
