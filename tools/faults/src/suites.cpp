#include <algorithm>
#include <array>
#include <string>

#include "fault_table.h"
#include "gateway_fixture.h"
#include "suite.h"

namespace radishpulley::faults {
namespace {

using namespace std::chrono_literals;

// Longer than all repeats, deadlines and outages of a cell together.
constexpr duration run_time = 300s;
constexpr duration time_before_stop = 1s;

// Only calls with a key have a record.
bool request_applies(const std::string& variant, const std::string& step) {
    return step != "recording" || variant == "keyed";
}

bool shutdown_applies(const std::string&, const std::string&) {
    return true;
}

cell_result run_request(const cell& it, std::uint64_t seed) {
    world now(seed);
    now.expect(it);
    now.start(0, it.variant, "call-" + it.variant);
    now.run_for(run_time);
    return now.result();
}

bool is_harmless(const fault_point& it) {
    static constexpr std::array<std::string_view, 3> harmless = {"vm_stops", "other_vm_dies",
                                                                 "caller_repeats"};
    return std::find(harmless.begin(), harmless.end(), it.fault) != harmless.end();
}

// With nothing else amiss a shutdown must leave every answer whole or truly not run.
void check_nothing_was_cut(const world& now, std::vector<violation>& found) {
    for (const exchange& it : now.seen().exchanges) {
        const bool is_refused = it.error && it.error->run == requests::run_state::not_run;
        const bool was_at_stopping_vm = it.vm == now.vm(0).name();
        if (it.taken && was_at_stopping_vm && it.end != exchange_end::whole && !is_refused) {
            found.push_back({"graceful_shutdown", it.id.str() + " did not end whole"});
        }
    }
}

void check_exit(const cell& it, const world& now, std::vector<violation>& found) {
    const bool may_die = std::any_of(it.points.begin(), it.points.end(),
                                     [](const fault_point& p) { return p.fault == "vm_dies"; });
    if (now.seen().exits.empty() && !may_die) {
        found.push_back({"graceful_shutdown", "the daemon never exited"});
    }
}

cell_result run_shutdown(const cell& it, std::uint64_t seed) {
    world now(seed);
    now.expect(it);
    for (const std::string& variant : call_variants()) {
        now.start(0, variant, "early-" + variant);
    }
    for (const std::string step : {"announcing", "finishing"}) {
        now.also_at(step, [&now, step] { now.start(0, "keyed", step + "-keyed"); });
        now.also_at(step, [&now, step] { now.start(0, "stream", step + "-stream"); });
    }
    now.run_for(time_before_stop / 2);
    now.reach("serving");
    now.run_for(time_before_stop / 2);
    now.stop(0);
    now.run_for(run_time);
    std::vector<violation> found;
    check_exit(it, now, found);
    if (std::all_of(it.points.begin(), it.points.end(), is_harmless)) {
        check_nothing_was_cut(now, found);
    }
    cell_result result = now.result();
    result.violations.insert(result.violations.end(), found.begin(), found.end());
    return result;
}

template <std::size_t N>
suite make_suite(std::string_view name, std::vector<std::string> variants,
                 const std::array<std::string_view, N>& steps, step_mask fault_row::*mask,
                 bool (*applies)(const std::string&, const std::string&),
                 cell_result (*run)(const cell&, std::uint64_t)) {
    suite it;
    it.name = name;
    it.variants = std::move(variants);
    it.applies = applies;
    it.run = run;
    for (std::size_t step = 0; step < N; ++step) {
        it.steps.emplace_back(steps[step]);
        for (const fault_row& row : fault_rows) {
            if (((row.*mask >> step) & 1U) != 0) {
                it.points.push_back({std::string(steps[step]), std::string(row.name)});
            }
        }
    }
    return it;
}

}  // namespace

std::vector<suite> suites() {
    return {make_suite("request", call_variants(), request_step_names, &fault_row::request_steps,
                       request_applies, run_request),
            make_suite("shutdown", {"mixed"}, shutdown_step_names, &fault_row::shutdown_steps,
                       shutdown_applies, run_shutdown)};
}

}  // namespace radishpulley::faults
