// The VM that serves a request in place of one that is cut off from its service.
#include <map>

#include <boost/test/unit_test.hpp>

#include "routing/relay_choice.h"

namespace radishpulley::routing {
namespace {

const relay_seeker from{zone_id("a"), region_id("north")};

relay_candidate candidate(const char* vm, const char* zone, const char* region) {
    return {vm_id(vm), zone_id(zone), region_id(region), std::string(vm) + ":1", true};
}

std::string choose(const std::vector<relay_candidate>& candidates, const allowed_regions& regions,
                   const std::string& request = "r") {
    const relay_candidate* it = choose_relay(candidates, from, regions, request_id(request));
    return it == nullptr ? "" : it->vm.str();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(relay_choice_suite)

// Guards against requests that leave their zone or region although a near VM could serve them.
BOOST_AUTO_TEST_CASE(nearest_vm_serves) {
    const relay_candidate near = candidate("n", "a", "north");
    const relay_candidate regional = candidate("r", "b", "north");
    const relay_candidate far = candidate("f", "c", "south");
    BOOST_TEST(choose({far, regional, near}, {}) == "n");
    BOOST_TEST(choose({far, regional}, {}) == "r");
    BOOST_TEST(choose({far}, {}) == "f");
    BOOST_TEST(choose({}, {}).empty());
}

// Guards against a request that reaches a region which its route or account excludes.
BOOST_AUTO_TEST_CASE(excluded_regions_are_not_passed) {
    const allowed_regions east({region_id("east")});
    const std::vector<relay_candidate> all{candidate("s", "c", "south"),
                                           candidate("e", "d", "east")};
    BOOST_TEST(choose(all, east) == "e");
    BOOST_TEST(choose({all[0]}, east).empty());
}

// Guards against one VM that gets the requests of all that are cut off: 100 of 380 VMs pass on.
BOOST_AUTO_TEST_CASE(many_cut_vms_spread_their_requests) {
    constexpr int relays = 280;
    constexpr int requests = 28'000;
    std::vector<relay_candidate> all;
    for (int i = 0; i < relays; ++i) {
        all.push_back(candidate(("v" + std::to_string(i)).c_str(), "a", "north"));
    }
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
        ++counts[choose(all, {}, "request-" + std::to_string(i))];
    }
    constexpr int fair = requests / relays;
    BOOST_TEST(counts.size() == static_cast<std::size_t>(relays));
    for (const auto& [vm, count] : counts) {
        BOOST_TEST(count < fair * 2, vm << " gets " << count);
    }
}

// Guards against the few VMs of a zone that still reach the service getting the requests of all
// that don't: a zone of 127 VMs, of which 100 are cut off, in a fleet of 380.
BOOST_AUTO_TEST_CASE(mostly_cut_zone_passes_requests_to_other_zones) {
    constexpr int zone_size = 127;
    constexpr int cut = 100;
    constexpr int fleet = 380;
    constexpr int requests = 28'000;
    std::vector<relay_candidate> all;
    for (int i = 0; i < fleet; ++i) {
        const char* zone = i < zone_size ? "a" : "b";
        all.push_back(candidate(("v" + std::to_string(i)).c_str(), zone, "north"));
        all.back().is_fit = i >= cut;
    }
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
        ++counts[choose(all, {}, "request-" + std::to_string(i))];
    }
    constexpr int fair = requests / (fleet - cut);
    BOOST_TEST(counts.size() == static_cast<std::size_t>(fleet - cut));
    for (const auto& [vm, count] : counts) {
        BOOST_TEST(count < fair * 2, vm << " gets " << count);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
