#include <boost/test/unit_test.hpp>

#include "routing/endpoint_choice.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
const model_ref plans{"m", "plans"};

// Four engines of one service in two regions, all with the base model.
struct fixture {
    fixture() {
        target.id = service_id("s");
        target.engine.emplace();
        target.engine->memory_tokens = 200'000;
        for (const char* name : {"e1", "e2", "e3", "e4"}) {
            endpoint it;
            it.id = endpoint_id(name);
            it.service = target.id;
            it.zone = zone_id(name[1] < '3' ? "near" : "far");
            it.slots = 64;
            it.models = {{"m", 1, {}}};
            directory.on_entry(it, start);
            adapters.on_entry(it, start);
        }
        attributes.target = plans;
        attributes.prompt_tokens = 3'000;
    }

    void hold(const std::string& engine, std::uint64_t version = 1) {
        adapters.on_hint(endpoint_id(engine), plans, {adapter_state::loaded, start, version},
                         start);
    }

    std::optional<endpoint_choice> choose(time_point now = start) {
        const location here{
            zone_id("near"),
            region_id("r1"),
            {{zone_id("near"), region_id("r1")}, {zone_id("far"), region_id("r2")}}};
        endpoint_chooser chooser(directory, limits, adapters, load_times, prompts, work, here);
        if (speeds) {
            chooser.set_speeds(*speeds);
        }
        const zone_filter zones(regions, here, evacuations);
        return chooser.choose(
            {attributes, target, excluded, load_excluded, true, 0, zones, gap_target}, now);
    }

    endpoint_directory directory;
    endpoint_limits limits;
    adapter_load_times load_times;
    adapter_table adapters;
    prefix_cache_index prompts;
    work_table work;
    std::optional<engine_speed_estimator> speeds;
    service target;
    request_attributes attributes;
    std::set<endpoint_id> excluded;
    std::set<endpoint_id> load_excluded;
    milliseconds gap_target{0};
    allowed_regions regions;
    zone_evacuations evacuations;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_choice_tests)

BOOST_FIXTURE_TEST_CASE(the_engine_that_holds_the_adapter_is_chosen, fixture) {
    hold("e3");
    const auto it = choose();
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->id.str() == "e3");
    BOOST_TEST(!it->needs_load);
}

BOOST_FIXTURE_TEST_CASE(a_near_copy_is_preferred_over_a_far_one, fixture) {
    hold("e3");
    hold("e1");
    BOOST_TEST(choose()->id.str() == "e1");
}

// Guards against a restriction or an evacuation that a better estimate outweighs.
BOOST_FIXTURE_TEST_CASE(an_engine_outside_the_permitted_zones_is_not_chosen, fixture) {
    hold("e1");
    regions = allowed_regions({region_id("r2")});
    BOOST_TEST(choose()->id.str() > "e2");
    evacuations.on_begin(zone_id("far"));
    BOOST_TEST(!choose().has_value());
    regions = {};
    BOOST_TEST(choose()->id.str() == "e1");
}

BOOST_FIXTURE_TEST_CASE(an_engine_with_queued_prompts_loses_to_another_copy, fixture) {
    hold("e1");
    hold("e3");
    work.start(1, endpoint_id("e1"), 20'000, 20'000);
    BOOST_TEST(choose()->id.str() == "e3");
}

BOOST_FIXTURE_TEST_CASE(a_hot_adapter_gets_a_second_copy, fixture) {
    hold("e1");
    work.start(1, endpoint_id("e1"), 60'000, 60'000);
    const auto it = choose();
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->needs_load);
    BOOST_TEST(it->id.str() != "e1");
}

BOOST_FIXTURE_TEST_CASE(every_daemon_loads_a_cold_adapter_at_the_same_engine, fixture) {
    const auto first = choose();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->needs_load);
    work.start(1, endpoint_id("e9"), 100, 100);
    BOOST_TEST(choose()->id.str() == first->id.str());
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_recently_held_the_adapter_loads_it_again, fixture) {
    const std::string usual = choose()->id.str();
    const std::string other = usual == "e1" ? "e2" : "e1";
    hold(other);
    adapters.on_hint(endpoint_id(other), plans, {}, start);
    BOOST_TEST(choose()->id.str() == other);
}

BOOST_FIXTURE_TEST_CASE(a_request_waits_for_a_load_in_progress, fixture) {
    adapters.on_hint(endpoint_id("e2"), plans,
                     {adapter_state::loading, start + milliseconds(100), 1}, start);
    const auto it = choose();
    BOOST_TEST(it->id.str() == "e2");
    BOOST_TEST(it->ready_at.has_value());
}

BOOST_FIXTURE_TEST_CASE(without_loads_only_holders_can_be_chosen, fixture) {
    load_excluded = {endpoint_id("e1"), endpoint_id("e2"), endpoint_id("e3"), endpoint_id("e4")};
    BOOST_TEST(!choose().has_value());
    hold("e4");
    BOOST_TEST(choose()->id.str() == "e4");
}

BOOST_FIXTURE_TEST_CASE(an_old_version_is_used_only_for_a_while, fixture) {
    hold("e1");
    adapters.on_version(plans, 2, start);
    load_excluded = {endpoint_id("e1"), endpoint_id("e2"), endpoint_id("e3"), endpoint_id("e4")};
    BOOST_TEST(choose(start + seconds(1))->id.str() == "e1");
    BOOST_TEST(!choose(start + seconds(3)).has_value());
}

// Guards against an old version that stays in use while newer ones follow each other quickly.
BOOST_FIXTURE_TEST_CASE(newer_versions_do_not_prolong_the_use_of_an_old_one, fixture) {
    hold("e1");
    load_excluded = {endpoint_id("e1"), endpoint_id("e2"), endpoint_id("e3"), endpoint_id("e4")};
    for (unsigned i = 0; i < 40; ++i) {
        adapters.on_version(plans, 2 + i, start + milliseconds(500) * i);
    }
    BOOST_TEST(choose(start + seconds(1))->id.str() == "e1");
    BOOST_TEST(!choose(start + seconds(3)).has_value());
}

BOOST_FIXTURE_TEST_CASE(an_engine_with_failed_calls_is_deprioritized, fixture) {
    hold("e1");
    hold("e3");
    directory.on_call(endpoint_id("e1"), call_outcome::unreachable, start);
    BOOST_TEST(choose(start + milliseconds(10))->id.str() == "e3");
}

BOOST_FIXTURE_TEST_CASE(cached_segments_attract_a_request, fixture) {
    hold("e1");
    hold("e2");
    attributes.segments = {{1, 2'000}, {2, 900}, {3, 100}};
    prompts.on_read(endpoint_id("e2"), attributes, start);
    BOOST_TEST(choose()->id.str() == "e2");
    BOOST_TEST(choose()->unread_tokens == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_very_long_prompt_avoids_engines_with_running_streams, fixture) {
    hold("e1");
    hold("e3");
    for (request_number n = 1; n <= 5; ++n) {
        work.start(n, endpoint_id("e1"), 0, 100);
    }
    BOOST_TEST(choose()->id.str() == "e1");
    attributes.prompt_tokens = 20'000;
    BOOST_TEST(choose()->id.str() == "e3");
}

// Guards against long prompts beside chat streams with a target of 300 ms, which became late.
BOOST_FIXTURE_TEST_CASE(a_long_prompt_avoids_an_engine_with_chat_streams, fixture) {
    target.has_gap_targets = true;
    hold("e1");
    hold("e3");
    for (request_number n = 1; n <= 5; ++n) {
        work.start(n, endpoint_id("e1"), 0, 100, milliseconds(300));
    }
    BOOST_TEST(choose()->id.str() == "e1");
    attributes.prompt_tokens = 20'000;
    BOOST_TEST(choose()->id.str() == "e3");
}

// Guards against long prompts that give up a near engine for streams which they don't make late.
BOOST_FIXTURE_TEST_CASE(a_long_prompt_joins_streams_without_a_short_target, fixture) {
    target.has_gap_targets = true;
    hold("e1");
    hold("e3");
    attributes.prompt_tokens = 20'000;
    work.start(1, endpoint_id("e1"), 0, 100);
    work.start(2, endpoint_id("e1"), 0, 100, milliseconds(2'000));
    BOOST_TEST(choose()->id.str() == "e1");
}

// Guards against a chat stream with a target of 300 ms at an engine with long prompts queued, which
// counts as late although its first event is in time.
BOOST_FIXTURE_TEST_CASE(a_chat_stream_avoids_an_engine_with_long_prompts_queued, fixture) {
    target.has_gap_targets = true;
    target.engine->memory_tokens = 0;
    hold("e1");
    hold("e3");
    gap_target = milliseconds(300);
    attributes.prompt_tokens = 200;
    // The queue at e1 is longer than an event's decode steps can be delayed, at e3 it is shorter by
    // less than the network distance.
    work.start(1, endpoint_id("e1"), 12'000, 12'000);
    work.start(2, endpoint_id("e3"), 11'600, 11'600);
    BOOST_TEST(choose()->id.str() == "e1");
    work.start(2, endpoint_id("e3"), 10'800, 10'800);
    BOOST_TEST(choose()->id.str() == "e3");
}

// Guards against requests that are refused as too late because the streams that they delay count
// as time of their own.
BOOST_FIXTURE_TEST_CASE(late_streams_of_others_are_no_time_of_the_request, fixture) {
    target.has_gap_targets = true;
    hold("e1");
    attributes.prompt_tokens = 20'000;
    const duration expected = choose()->expected;
    work.start(1, endpoint_id("e1"), 0, 100, milliseconds(300));
    const auto it = choose();
    BOOST_TEST((it->penalty > duration::zero()));
    BOOST_TEST((it->expected - expected <= milliseconds(2)));
}

// Guards against requests at an engine that was seen to be slow while a faster one is as near.
BOOST_FIXTURE_TEST_CASE(an_engine_that_was_observed_as_slow_is_avoided, fixture) {
    hold("e1");
    hold("e2");
    const endpoint_chooser settings(directory, limits, adapters, load_times, prompts, work, {});
    speeds.emplace(settings.prior_speed());
    const auto unobserved = choose();
    speeds.reset();
    BOOST_TEST((unobserved->expected == choose()->expected));
    speeds.emplace(settings.prior_speed());
    const endpoint_id slow = unobserved->id;
    const endpoint_id fast(slow.str() == "e1" ? "e2" : "e1");
    for (int i = 0; i < 20; ++i) {
        const time_point now = start + milliseconds(100) * i;
        speeds->on_first_event(target.id, slow, {10'000, 0}, milliseconds(450), now);
        speeds->on_first_event(target.id, fast, {10'000, 0}, milliseconds(290), now);
    }
    BOOST_TEST((choose()->id == fast));
}

BOOST_FIXTURE_TEST_CASE(an_engine_without_the_base_model_is_never_chosen, fixture) {
    attributes.target.model = "other";
    BOOST_TEST(!choose().has_value());
}

BOOST_FIXTURE_TEST_CASE(full_memory_is_avoided, fixture) {
    hold("e1");
    hold("e3");
    work.start(1, endpoint_id("e1"), 0, 199'000);
    BOOST_TEST(choose()->id.str() == "e3");
}

// Guards against requests that are refused as too late because the cost of a load to other requests
// counts as time, while loads are slow.
BOOST_FIXTURE_TEST_CASE(the_expected_time_of_a_slow_load_contains_no_penalties, fixture) {
    for (int i = 0; i < 10; ++i) {
        load_times.fetched.on_missing(1, load_times.fetched.expected(1), start);
    }
    const auto it = choose();
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->needs_load);
    BOOST_TEST((it->expected < load_times.fetched.expected(1) + milliseconds(300)));
    BOOST_TEST((it->penalty > load_times.fetched.expected(1) / 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
