#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "checkers.h"
#include "suite.h"
#include "world.h"

using namespace radishpulley;
using namespace radishpulley::faults;
using namespace std::chrono_literals;

namespace {

const time_point start = virtual_clock().now();

exchange whole_exchange(requests::repeat_policy repeat) {
    exchange it;
    it.id = request_id("r1");
    it.vm = vm_id("vm-1");
    it.repeat = repeat;
    it.call = "call";
    it.expected = "call@new;";
    it.received = it.expected;
    it.begun = start;
    it.last_byte = start + 1s;
    it.end = exchange_end::whole;
    return it;
}

history sound_history() {
    history seen;
    seen.exchanges.push_back(whole_exchange(requests::repeat_policy::once_with_key));
    seen.runs.push_back({endpoint_id("e"), request_id("r1"), "call", start});
    seen.left[endpoint_id("e")] = start;
    seen.key_withdrawn = start;
    seen.exits.push_back({vm_id("vm-1"), 0});
    seen.uses.push_back({vm_id("vm-1"), endpoint_id("e"), 1, 1, false});
    seen.uses.push_back({vm_id("vm-1"), endpoint_id("e"), 0, 0, true});
    return seen;
}

requests::request_error error(requests::error_code code, requests::run_state run) {
    return {code, run, request_id("r1"), "", std::nullopt};
}

struct planted {
    std::string line;
    void (*plant)(history& seen);
};

const std::vector<planted>& plants() {
    static const std::vector<planted> all = {
        {"whole_answer", [](history& seen) { seen.exchanges[0].received = "call@ne"; }},
        {"whole_answer", [](history& seen) { seen.exchanges[0].end = exchange_end::none; }},
        {"whole_answer",
         [](history& seen) {
             seen.exchanges[0].end = exchange_end::broken;
             seen.exchanges[0].received = "somebody else's";
         }},
        {"refusal_is_true",
         [](history& seen) {
             seen.exchanges[0].error =
                 error(requests::error_code::no_endpoint, requests::run_state::not_run);
         }},
        {"at_most_once", [](history& seen) { seen.runs.push_back(seen.runs[0]); }},
        {"leaving_endpoint", [](history& seen) { seen.runs[0].begun = start + 3001ms; }},
        {"graceful_shutdown", [](history& seen) { seen.exits[0].running = 1; }},
        {"graceful_shutdown",
         [](history& seen) {
             seen.exchanges[0].error =
                 error(requests::error_code::shutting_down, requests::run_state::unknown);
         }},
        {"right_adapter",
         [](history& seen) {
             seen.exchanges[0].received = "call@old;";
             seen.exchanges[0].expected = "call@old;";
         }},
        {"withdrawn_key", [](history& seen) { seen.exchanges[0].last_byte = start + 3001ms; }},
        {"withdrawn_key",
         [](history& seen) {
             seen.exchanges[0].begun = start + 3001ms;
             seen.exchanges[0].last_byte.reset();
         }},
        {"adapter_in_use",
         [](history& seen) {
             seen.returns.push_back({vm_id("vm-1"), 1});
         }},
        {"adapter_in_use", [](history& seen) { seen.uses[0].uses = 0; }},
        {"adapter_in_use", [](history& seen) { seen.uses[1].uses = 1; }}};
    return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(faults_suite)

BOOST_AUTO_TEST_CASE(a_sound_history_breaks_no_line) {
    BOOST_TEST(check_all(sound_history()).empty());
}

BOOST_AUTO_TEST_CASE(every_checker_finds_its_planted_violation_and_no_other_does) {
    std::map<std::string, int> planted_lines;
    for (const planted& it : plants()) {
        history seen = sound_history();
        it.plant(seen);
        const auto found = check_all(seen);
        BOOST_TEST_CONTEXT(it.line) {
            BOOST_TEST(found.size() == 1U);
            BOOST_TEST((!found.empty() && found[0].line == it.line));
        }
        ++planted_lines[it.line];
    }
    for (const checker& it : checkers()) {
        BOOST_TEST(planted_lines.count(std::string(it.line)) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(names_of_cells_can_be_read_back) {
    for (const suite& it : suites()) {
        const cell last = pair_cells(it).back();
        BOOST_TEST(name_of(parse_cell(name_of(last))) == name_of(last));
    }
    BOOST_CHECK_THROW(parse_cell("request/keyed"), std::invalid_argument);
}

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered_whole) {
    for (const std::string& variant : call_variants()) {
        world now(7);
        now.start(0, variant, "call-" + variant);
        now.run_for(300s);
        BOOST_TEST(now.seen().exchanges.size() == 1U);
        BOOST_TEST((now.seen().exchanges[0].end == exchange_end::whole));
        BOOST_TEST(now.result().violations.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_cell_repeats_exactly) {
    const suite request = suites().front();
    for (const cell& it : single_cells(request)) {
        BOOST_TEST(request.run(it, 3).trace == request.run(it, 3).trace,
                   boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_SUITE_END()
