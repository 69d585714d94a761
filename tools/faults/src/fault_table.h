/// The steps of a request and of a shutdown, the faults, and which faults belong to which step.
///
/// A new step or fault without its row does not compile.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishpulley::faults {

/// Steps of a request, in order; each is entered once at least when nothing fails.
enum class request_step : std::uint8_t {
    received,
    checking_key,
    waiting,
    recording,
    routing,
    connecting,
    sent,
    answering,
    half_answered,
    ended
};
constexpr std::size_t request_step_count = static_cast<std::size_t>(request_step::ended) + 1;

/// Steps of a shutdown, in order.
enum class shutdown_step : std::uint8_t { serving, announcing, finishing, returning };
constexpr std::size_t shutdown_step_count = static_cast<std::size_t>(shutdown_step::returning) + 1;

/// Faults that the suites can bring about.
enum class fault : std::uint8_t {
    endpoint_dies,
    endpoint_unable,
    endpoint_leaves,
    connection_silent,
    answer_cut,
    answer_doubled,
    answer_crossed,
    answer_of_old_version,
    routing_refused,
    caller_leaves,
    caller_slow,
    caller_repeats,
    key_withdrawn,
    api_down,
    api_call_lost,
    api_answer_lost,
    api_update_late,
    vm_paused,
    vm_dies,
    vm_stops,
    other_vm_dies
};
constexpr std::size_t fault_count = static_cast<std::size_t>(fault::other_vm_dies) + 1;

/// Bit set of steps.
using step_mask = std::uint32_t;

template <typename Step>
constexpr step_mask bit(Step step) {
    return step_mask{1} << static_cast<unsigned>(step);
}

/// Steps from `first` to `last`, both included.
template <typename Step>
constexpr step_mask span_of(Step first, Step last) {
    return (bit(last) | (bit(last) - 1)) & ~(bit(first) - 1);
}

/// A fault, its name, and the steps at which it is brought about.
struct fault_row {
    fault kind;
    std::string_view name;
    step_mask request_steps;
    step_mask shutdown_steps;
};

constexpr step_mask every_request_step = span_of(request_step::received, request_step::ended);
constexpr step_mask until_routing = span_of(request_step::received, request_step::routing);
constexpr step_mask until_half = span_of(request_step::received, request_step::half_answered);
constexpr step_mask every_shutdown_step = span_of(shutdown_step::serving, shutdown_step::returning);
constexpr step_mask while_running = span_of(shutdown_step::serving, shutdown_step::finishing);

constexpr std::array<fault_row, fault_count> fault_rows = {{
    {fault::endpoint_dies, "endpoint_dies", every_request_step, while_running},
    {fault::endpoint_unable, "endpoint_unable", until_half, while_running},
    {fault::endpoint_leaves, "endpoint_leaves", every_request_step, while_running},
    {fault::connection_silent, "connection_silent", until_half, while_running},
    {fault::answer_cut, "answer_cut", until_half, while_running},
    {fault::answer_doubled, "answer_doubled", until_half, while_running},
    {fault::answer_crossed, "answer_crossed", until_half, while_running},
    {fault::answer_of_old_version, "answer_of_old_version", until_half, while_running},
    {fault::routing_refused, "routing_refused", until_routing, while_running},
    {fault::caller_leaves, "caller_leaves", every_request_step, while_running},
    {fault::caller_slow, "caller_slow", until_half, while_running},
    {fault::caller_repeats, "caller_repeats", every_request_step, every_shutdown_step},
    {fault::key_withdrawn, "key_withdrawn", every_request_step, while_running},
    {fault::api_down, "api_down", every_request_step, every_shutdown_step},
    {fault::api_call_lost, "api_call_lost", every_request_step, every_shutdown_step},
    {fault::api_answer_lost, "api_answer_lost", every_request_step, every_shutdown_step},
    {fault::api_update_late, "api_update_late", every_request_step, every_shutdown_step},
    {fault::vm_paused, "vm_paused", every_request_step, every_shutdown_step},
    {fault::vm_dies, "vm_dies", every_request_step, every_shutdown_step},
    {fault::vm_stops, "vm_stops", every_request_step, every_shutdown_step},
    {fault::other_vm_dies, "other_vm_dies", every_request_step, every_shutdown_step},
}};

/// Fewest faults that a step must have.
constexpr std::size_t min_faults_per_step = 8;

constexpr std::array<std::string_view, request_step_count> request_step_names = {
    "received",   "checking_key", "waiting",   "recording",     "routing",
    "connecting", "sent",         "answering", "half_answered", "ended"};
constexpr std::array<std::string_view, shutdown_step_count> shutdown_step_names = {
    "serving", "announcing", "finishing", "returning"};

namespace detail {

constexpr bool rows_are_in_order() {
    for (std::size_t i = 0; i < fault_count; ++i) {
        const bool is_used = fault_rows[i].request_steps != 0 || fault_rows[i].shutdown_steps != 0;
        if (static_cast<std::size_t>(fault_rows[i].kind) != i || !is_used) {
            return false;
        }
    }
    return true;
}

constexpr bool every_step_has_faults(std::size_t steps, bool of_request) {
    for (std::size_t step = 0; step < steps; ++step) {
        std::size_t n = 0;
        for (const fault_row& it : fault_rows) {
            const step_mask mask = of_request ? it.request_steps : it.shutdown_steps;
            n += (mask >> step) & 1U;
        }
        if (n < min_faults_per_step) {
            return false;
        }
    }
    return true;
}

template <std::size_t N>
constexpr bool every_step_has_a_name(const std::array<std::string_view, N>& names) {
    for (const std::string_view it : names) {
        if (it.empty()) {
            return false;
        }
    }
    return true;
}

static_assert(every_step_has_a_name(request_step_names), "a step of a request has no name");
static_assert(every_step_has_a_name(shutdown_step_names), "a step of a shutdown has no name");
static_assert(rows_are_in_order(), "a fault has no row, or no step");
static_assert(every_step_has_faults(request_step_count, true),
              "a step of a request has too few faults");
static_assert(every_step_has_faults(shutdown_step_count, false),
              "a step of a shutdown has too few faults");

}  // namespace detail

}  // namespace radishpulley::faults
