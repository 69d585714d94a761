/// What callers, endpoints and VMs saw in one run, for the checkers.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/identifier.h"
#include "requests/request_error.h"
#include "requests/request_machine.h"

namespace radishpulley::faults {

/// How an exchange ended for its caller.
enum class exchange_end {
    /// It did not end.
    none,
    whole,
    /// An error answer in place of an answer.
    error,
    /// A stream that ended in an error event.
    error_event,
    /// A connection that was broken within an answer, or whose VM died.
    broken,
    /// The caller itself left.
    left
};

/// One request as its caller sees it.
struct exchange {
    request_id id;
    vm_id vm;
    requests::repeat_policy repeat = requests::repeat_policy::idempotent;
    /// Names the call; repeats of a call share it.
    std::string call;
    std::string expected;
    std::string received;
    time_point begun;
    /// A living daemon took it.
    bool taken = false;
    std::optional<time_point> last_byte;
    exchange_end end = exchange_end::none;
    std::optional<requests::request_error> error;
};

/// One run at an endpoint.
struct endpoint_run {
    endpoint_id endpoint;
    request_id request;
    std::string call;
    time_point begun;
};

/// The end of one daemon by a graceful shutdown.
struct graceful_exit {
    vm_id vm;
    /// Requests that had not ended.
    std::size_t running = 0;
};

/// The moment at which a stopping daemon gives its leases and shares back.
struct holdings_return {
    vm_id vm;
    /// Requests that had not ended.
    std::size_t running = 0;
};

/// A count of uses of an endpoint's adapter by one VM, after a change or at the end.
struct use_count {
    vm_id vm;
    endpoint_id endpoint;
    int uses = 0;
    /// Sent attempts that have not ended.
    int running = 0;
    bool at_end = false;
};

/// Everything that was seen.
struct history {
    std::deque<exchange> exchanges;
    std::vector<endpoint_run> runs;
    std::map<endpoint_id, time_point> left;
    std::optional<time_point> key_withdrawn;
    std::vector<graceful_exit> exits;
    std::vector<holdings_return> returns;
    std::vector<use_count> uses;
};

}  // namespace radishpulley::faults
