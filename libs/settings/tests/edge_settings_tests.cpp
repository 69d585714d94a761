#include <boost/test/unit_test.hpp>

#include "base/findings.h"
#include "settings/edge_settings.h"

namespace radishpulley::settings {
namespace {

const char* const whole = R"(
[vm]
id = "edge-1"
availability_zone = "solo"
region = "jateng"
[regions]
"solo" = "jateng"
"sby" = "jatim"
[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:7600"
metrics = "10.0.0.1:7601"
[store]
address = "10.200.1.7:8225"
[bounds]
shutdown_grace_s = 8
retry_ratio = 0.2
retry_reserve = 54
limit_reserve = 72000
endpoints_check_fencing = true
)";

}  // namespace

BOOST_AUTO_TEST_SUITE(edge_settings_tests)

BOOST_AUTO_TEST_CASE(whole_settings_are_read) {
    const auto it = parse_edge_settings(whole, "f.toml");
    BOOST_TEST(it.vm.str() == "edge-1");
    BOOST_TEST(it.regions.at(zone_id("sby")).str() == "jatim");
    BOOST_TEST(it.listen.peers == "10.0.0.1:7600");
    BOOST_TEST((it.bounds.shutdown_grace == std::chrono::seconds(8)));
    BOOST_TEST(it.bounds.retry_reserve == 54);
    BOOST_TEST(it.bounds.endpoints_check_fencing);
    BOOST_TEST(!it.bounds.evacuation.has_value());
}

BOOST_AUTO_TEST_CASE(the_time_of_an_evacuation_is_read) {
    const auto it = parse_edge_settings(std::string(whole) + "evacuation_ms = 5000\n", "f.toml");
    BOOST_TEST((it.bounds.evacuation == std::chrono::seconds(5)));
}

// Guards against budgets that are worked out from another size than the VM's.
BOOST_AUTO_TEST_CASE(limits_of_the_vm_are_read) {
    const std::string text = std::string(whole) + "[limits]\nmemory_mb = 112\ndescriptors = 2870\n";
    const auto it = parse_edge_settings(text, "f.toml");
    BOOST_TEST((it.limits.memory_bytes == std::size_t{112} * 1'048'576));
    BOOST_TEST((it.limits.descriptors == std::size_t{2'870}));
}

// Guards against a platform that states no limits, for which the section is empty or missing.
BOOST_AUTO_TEST_CASE(limits_of_the_vm_need_not_be_stated) {
    for (const char* section : {"", "[limits]\n"}) {
        const auto it = parse_edge_settings(std::string(whole) + section, "f.toml");
        BOOST_TEST(!it.limits.memory_bytes.has_value());
        BOOST_TEST(!it.limits.descriptors.has_value());
    }
}

// Guards against a limit under which nobody could be served.
BOOST_AUTO_TEST_CASE(limits_of_the_vm_that_are_too_low_are_refused) {
    const std::string text = std::string(whole) + "[limits]\n";
    BOOST_CHECK_THROW(parse_edge_settings(text + "memory_mb = 0\n", "f.toml"), invalid_input);
    BOOST_CHECK_THROW(parse_edge_settings(text + "descriptors = -1\n", "f.toml"), invalid_input);
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_with_their_places) {
    std::string text = whole;
    text.replace(text.find("10.0.0.1:81"), 11, "10.0.0.1:no");
    text.replace(text.find("retry_ratio = 0.2"), 17, "retry_ratio = 2.5");
    text.replace(text.find("id = \"edge-1\"\n"), 14, "");
    try {
        parse_edge_settings(text, "f.toml");
        BOOST_FAIL("they were taken");
    } catch (const invalid_input& e) {
        BOOST_REQUIRE_EQUAL(e.found().list().size(), 3U);
        BOOST_TEST(e.found().list()[0].place == "f.toml");
        BOOST_TEST(e.found().list()[1].place == "f.toml:10:13");
        BOOST_TEST(e.found().list()[2].place == "f.toml:17:15");
    }
}

BOOST_AUTO_TEST_CASE(text_that_is_not_toml_is_refused) {
    BOOST_CHECK_THROW(parse_edge_settings("vm = [", "f.toml"), invalid_input);
}

BOOST_AUTO_TEST_CASE(bounds_that_a_platform_does_not_state_have_defaults) {
    using std::chrono::milliseconds;
    const std::string text = whole;
    BOOST_TEST(
        (parse_edge_settings(text, "f.toml").bounds.configuration_apply == milliseconds(2'500)));
    BOOST_TEST((parse_edge_settings(text + "configuration_apply_ms = 4000\n", "f.toml")
                    .bounds.configuration_apply == milliseconds(4'000)));
    BOOST_CHECK_THROW(parse_edge_settings(text + "configuration_apply_ms = 0\n", "f.toml"),
                      invalid_input);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::settings
