#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "base/findings.h"
#include "routing/adapter_table.h"
#include "routing/hints.h"
#include "routing/prefix_cache_index.h"
#include "routing/work_table.h"

namespace radishpulley::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{std::chrono::hours(1)};
const endpoint_id engine("e");
const model_ref plans{"m", "plans"};

endpoint entry_with(const std::vector<held_adapter>& adapters) {
    endpoint out;
    out.id = engine;
    out.models = {{"m", 1, adapters}};
    return out;
}

request_attributes prompt(std::vector<prompt_segment> segments) {
    request_attributes out;
    out.target = plans;
    out.segments = std::move(segments);
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(tables_tests)

BOOST_AUTO_TEST_CASE(a_load_counts_as_loaded_after_its_expected_time) {
    adapter_table it;
    it.on_hint(engine, plans, {adapter_state::loading, start + milliseconds(250), 1}, start);
    BOOST_TEST((it.view(engine, plans, start).state == adapter_state::loading));
    BOOST_TEST(it.loads_under_way(start) == 1U);
    const time_point later = start + milliseconds(250);
    BOOST_TEST((it.view(engine, plans, later).state == adapter_state::loaded));
    BOOST_TEST(it.loads_under_way(later) == 0U);
    it.on_hint(engine, plans, {adapter_state::loading, later + milliseconds(250), 1, false}, later);
    BOOST_TEST(it.loads_under_way(later) == 0U);
}

BOOST_AUTO_TEST_CASE(a_delayed_directory_does_not_override_a_fresh_hint) {
    adapter_table it;
    it.on_entry(entry_with({{"plans", 1}}), start);
    it.on_hint(engine, plans, {}, start);
    it.on_entry(entry_with({{"plans", 1}}), start + seconds(1));
    BOOST_TEST((it.view(engine, plans, start + seconds(1)).state == adapter_state::absent));
    it.on_entry(entry_with({{"plans", 1}}), start + seconds(4));
    BOOST_TEST((it.view(engine, plans, start + seconds(4)).state == adapter_state::loaded));
    it.on_entry(entry_with({}), start + seconds(8));
    BOOST_TEST((it.view(engine, plans, start + seconds(8)).state == adapter_state::absent));
}

BOOST_AUTO_TEST_CASE(an_evicted_adapter_counts_as_cached) {
    adapter_table it;
    BOOST_TEST(!it.is_cached(engine, plans));
    it.on_hint(engine, plans, {adapter_state::loaded, start, 1}, start);
    it.on_hint(engine, plans, {}, start);
    BOOST_TEST(it.is_cached(engine, plans));
    it.on_removed(engine);
    BOOST_TEST(!it.is_cached(engine, plans));
}

BOOST_AUTO_TEST_CASE(only_a_newer_version_is_recorded) {
    adapter_table it;
    it.on_version(plans, 3, start);
    it.on_version(plans, 2, start + seconds(1));
    BOOST_TEST(it.newest_version(plans) == 3U);
    BOOST_TEST(it.version_after(plans, seconds(1), start + milliseconds(900)) == 0U);
    BOOST_TEST(it.version_after(plans, seconds(1), start + seconds(1)) == 3U);
}

BOOST_AUTO_TEST_CASE(work_is_added_and_subtracted) {
    work_table it;
    it.start(1, engine, 1'000, 1'500);
    it.start(2, engine, 200, 300);
    it.on_peer_work(vm_id("v"), {{engine, {3, 50, 60}}}, start, std::chrono::seconds(2));
    BOOST_TEST(it.total(engine).requests == 5U);
    BOOST_TEST(it.total(engine).unread_tokens == 1'250U);
    it.on_prompt_read(1);
    it.on_prompt_read(1);
    BOOST_TEST(it.total(engine).unread_tokens == 250U);
    it.finish(1);
    it.finish(1);
    it.finish(2);
    BOOST_TEST(it.own().empty());
    // The report of a silent peer counts until it expires.
    it.drop_expired(start + seconds(2));
    BOOST_TEST(it.total(engine).requests == 3U);
    it.drop_expired(start + seconds(3));
    BOOST_TEST(it.total(engine).requests == 0U);
}

BOOST_AUTO_TEST_CASE(a_peers_report_replaces_the_previous_one) {
    work_table it;
    const vm_id peer("v");
    const vm_id other("w");
    it.on_peer_work(peer, {{engine, {3, 50, 60}}, {endpoint_id("f"), {0, 0, 0}}}, start,
                    seconds(2));
    it.on_peer_work(other, {{engine, {1, 10, 20}}}, start, seconds(9));
    BOOST_TEST(it.total(engine).requests == 4U);
    it.on_peer_work(peer, {{endpoint_id("f"), {2, 5, 6}}}, start + seconds(1), seconds(2));
    BOOST_TEST(it.total(engine).requests == 1U);
    BOOST_TEST(it.total(engine).unread_tokens == 10U);
    BOOST_TEST(it.total(endpoint_id("f")).memory_tokens == 6U);
    it.drop_expired(start + seconds(4));
    BOOST_TEST(it.total(endpoint_id("f")).requests == 0U);
    BOOST_TEST(it.total(engine).requests == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_moves_to_another_endpoint_counts_once) {
    work_table it;
    it.start(1, engine, 1'000, 1'500);
    it.start(1, endpoint_id("f"), 900, 1'400);
    BOOST_TEST(it.total(engine).requests == 0U);
    BOOST_TEST(it.total(endpoint_id("f")).unread_tokens == 900U);
}

BOOST_AUTO_TEST_CASE(only_leading_segments_for_the_same_adapter_are_cached) {
    prefix_cache_index it;
    it.on_read(engine, prompt({{1, 100}, {2, 50}, {3, 7}}), start);
    BOOST_TEST(it.cached_tokens(engine, prompt({{1, 100}, {2, 50}, {4, 9}}), start) == 150U);
    BOOST_TEST(it.cached_tokens(engine, prompt({{2, 50}, {1, 100}}), start) == 0U);
    request_attributes other = prompt({{1, 100}});
    other.target.adapter = "other";
    BOOST_TEST(it.cached_tokens(engine, other, start) == 0U);
    BOOST_TEST(it.cached_tokens(endpoint_id("f"), prompt({{1, 100}}), start) == 0U);
    it.forget(engine);
    BOOST_TEST(it.cached_tokens(engine, prompt({{1, 100}}), start) == 0U);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_segments_are_evicted_first) {
    prompt_memory_settings settings;
    settings.max_entries = 2;
    prefix_cache_index it(settings);
    it.on_read(engine, prompt({{1, 10}}), start);
    it.on_read(engine, prompt({{2, 10}}), start);
    it.on_read(engine, prompt({{1, 10}}), start);
    it.on_read(engine, prompt({{3, 10}}), start);
    BOOST_TEST(it.cached_tokens(engine, prompt({{1, 10}}), start) == 10U);
    BOOST_TEST(it.cached_tokens(engine, prompt({{2, 10}}), start) == 0U);
}

BOOST_AUTO_TEST_CASE(hints_round_trip_through_the_encoding) {
    vm_status state;
    state.configuration_version = 9;
    state.leaving = true;
    state.work[engine] = {2, 300, 400};
    state.demand[client_account_id("acme")] = 1'234;
    state.limits = {{engine, 17, 2.5, 300}, {engine, 18, std::nullopt, 4}};
    const auto back = decode_hint(encode({{vm_id("v"), 7}, state}));
    BOOST_TEST(back.from.vm.str() == "v");
    BOOST_TEST(back.from.incarnation == 7U);
    const auto& read = std::get<vm_status>(back.body);
    BOOST_TEST(read.configuration_version == 9U);
    BOOST_TEST(read.leaving);
    BOOST_TEST(read.work.at(engine).memory_tokens == 400U);
    BOOST_TEST(read.demand.at(client_account_id("acme")) == 1'234);
    BOOST_REQUIRE(read.limits.size() == 2U);
    BOOST_TEST(read.limits[0].endpoint == engine);
    BOOST_TEST(read.limits[0].started_at_ms == 17);
    BOOST_TEST(read.limits[0].rate.value() == 2.5);
    BOOST_TEST(read.limits[0].age_ms == 300U);
    BOOST_TEST(!read.limits[1].rate.has_value());

    const client_account_id acme("acme");
    const account_usage use{acme, {9.5, 4}, {8, 3}};
    const auto admitted = decode_hint(encode({{vm_id("v"), 7}, account_usage_report{{use}}}));
    const account_usage& decoded_usage = std::get<account_usage_report>(admitted.body).uses.at(0);
    BOOST_TEST(decoded_usage.account == acme);
    BOOST_TEST(decoded_usage.total.requested == 9.5);
    BOOST_TEST(decoded_usage.total.admitted == 4);
    BOOST_TEST(decoded_usage.before.requested == 8);
    BOOST_TEST(decoded_usage.before.admitted == 3);
    const auto accounts =
        decode_hint(encode({{vm_id("v"), 7}, saturated_accounts{{{acme, 30, -0.5}}}}));
    BOOST_TEST(std::get<saturated_accounts>(accounts.body).accounts.at(0).demand == 30);
    BOOST_TEST(std::get<saturated_accounts>(accounts.body).accounts.at(0).fill == -0.5);

    const auto uses = decode_hint(encode({{vm_id("v"), 7}, adapter_usage{engine, {plans}, {}}}));
    BOOST_TEST((std::get<adapter_usage>(uses.body).sent == std::vector<model_ref>{plans}));
    const relay::copy_report report{
        "servers",
        9,
        4,
        120,
        {{7, "e1", false, "{}"},
         {9, "e2", true, ""},
         {9, "c", false, "", relay::object_delta{6, {77, {relay::base_run{3, 2}, "text"}}}}}};
    const auto reports = decode_hint(encode({{vm_id("v"), 7}, store_reports{{report}}}));
    const relay::copy_report& decoded_report = std::get<store_reports>(reports.body).reports.at(0);
    BOOST_TEST(decoded_report.collection == "servers");
    BOOST_TEST(decoded_report.as_of == 9U);
    BOOST_TEST(decoded_report.complete_after == 4U);
    BOOST_TEST(decoded_report.age_ms == 120U);
    BOOST_REQUIRE(decoded_report.changes.size() == 3U);
    BOOST_TEST(decoded_report.changes[0].contents == "{}");
    BOOST_TEST(decoded_report.changes[1].removed);
    BOOST_REQUIRE(decoded_report.changes[2].delta.has_value());
    const relay::object_delta& delta = *decoded_report.changes[2].delta;
    BOOST_TEST(delta.base_revision == 6U);
    BOOST_TEST(delta.to_contents.target_hash == 77U);
    BOOST_REQUIRE(delta.to_contents.parts.size() == 2U);
    BOOST_TEST(std::get<relay::base_run>(delta.to_contents.parts[0]).first == 3U);
    BOOST_TEST(std::get<relay::base_run>(delta.to_contents.parts[0]).count == 2U);
    BOOST_TEST(std::get<std::string>(delta.to_contents.parts[1]) == "text");
    const auto request = decode_hint(encode({{vm_id("v"), 7}, load_request{engine, plans, 900}}));
    BOOST_TEST((std::get<load_request>(request.body).adapter == plans));
    BOOST_TEST(std::get<load_request>(request.body).max_wait_ms == 900U);
    const auto adapter_update = decode_hint(
        encode({{vm_id("v"), 7}, adapter_hint{engine, plans, true, 5, 2, true, 250, 3}}));
    const auto& load = std::get<adapter_hint>(adapter_update.body);
    BOOST_TEST(load.ready_in_ms == 5U);
    BOOST_TEST(load.load_time_ms == 250U);
    BOOST_TEST(load.concurrent_loads == 3U);
    const auto refusal = decode_hint(encode({{vm_id("v"), 7}, load_refusal{engine, plans, 70}}));
    BOOST_TEST((std::get<load_refusal>(refusal.body).engine == engine));
    BOOST_TEST(*std::get<load_refusal>(refusal.body).ready_in_ms == 70U);
    const auto unknown = decode_hint(encode({{vm_id("v"), 7}, load_refusal{engine, plans, {}}}));
    BOOST_TEST(!std::get<load_refusal>(unknown.body).ready_in_ms.has_value());
}

BOOST_AUTO_TEST_CASE(corrupt_hints_are_rejected) {
    const std::string whole = encode({{vm_id("v"), 7}, load_request{engine, plans, 900}});
    for (std::size_t n = 0; n < whole.size(); ++n) {
        BOOST_CHECK_THROW(decode_hint(whole.substr(0, n)), invalid_input);
    }
    for (std::size_t i = 0; i < whole.size(); ++i) {
        std::string corrupt = whole;
        corrupt[i] = static_cast<char>(corrupt[i] ^ 0x41);
        try {
            decode_hint(corrupt);
        } catch (const invalid_input&) {
            continue;
        }
    }
}

BOOST_AUTO_TEST_CASE(the_last_segment_of_a_prompt_is_not_shared) {
    const request_attributes it = prompt({{0x1f, 800}, {0xab, 400}, {7, 20}});
    BOOST_TEST(it.shared_segments().size() == 2U);
    BOOST_TEST(to_text(suspects_of(it.shared_segments())) == "1f,ab");
    BOOST_TEST(prompt({}).shared_segments().empty());
}

// Guards against a rolling update in which VMs of the older release take a delta for the contents
// of a configuration, or drop whole messages that name requests as suspects.
BOOST_AUTO_TEST_CASE(older_releases_read_what_they_know_of_a_message) {
    const relay::reported_change whole{7, "a", false, "{}"};
    const relay::reported_change delta{8, "c", false, "",
                                       relay::object_delta{6, {77, {relay::base_run{3, 2}}}}};
    const relay::reported_change after{9, "b", false, "[]"};
    const auto report = nlohmann::json::from_cbor(encode(
        {{vm_id("v"), 7}, store_reports{{{"things", 9, 4, 120, {whole, delta, after}}}}}))[2][1][0];
    BOOST_TEST(report[2].get<int>() == 8);
    BOOST_REQUIRE(report[4].size() == 1U);
    BOOST_TEST(report[4][0][3].get<std::string>() == "[]");

    suspect segment;
    segment.id = {0, 5};
    suspect request;
    request.id = {1, 2};
    const auto update = nlohmann::json::from_cbor(
        encode({{vm_id("v"), 7}, suspects_update{{request, segment}}}))[2];
    BOOST_REQUIRE(update[1].size() == 1U);
    BOOST_TEST(update[1][0][0].get<int>() == 5);
    const auto decoded =
        decode_hint(encode({{vm_id("v"), 7}, suspects_update{{request, segment}}}));
    BOOST_TEST(std::get<suspects_update>(decoded.body).suspects.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
