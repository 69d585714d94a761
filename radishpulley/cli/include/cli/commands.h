/// The operators' commands on top of the administration API.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include <gsl/span>

#include "base/clock.h"
#include "http/message.h"

namespace radishpulley::cli {

/// Exit status of the command line.
enum class exit_code : int {
    done = 0,
    /// The fleet could not be reached or had a fault; the command may be repeated.
    unavailable = 1,
    usage = 2,
    /// The fleet or the check refused what was asked, and says why.
    refused = 3,
    /// What was waited for did not happen in time, or its outcome is unknown.
    not_in_time = 4
};

/// How results are printed.
enum class output_form { table, json };

/// Sends one administration request to the first VM that answers; status 0 when none does.
using admin_call = std::function<http::response(const http::request&)>;

/// What the commands work with.
struct command_context {
    admin_call call;
    std::ostream& out;
    std::ostream& errors;
    output_form form = output_form::table;
    /// Number for tickets that a command makes; 0 for the newest number plus one.
    std::uint64_t number = 0;
    /// Longest wait of `wait`, `drain` and of tickets that no VM can commit yet.
    duration timeout = std::chrono::seconds(30);
    /// Sleeps; replaced in tests.
    std::function<void(duration)> pause;
};

/// Runs the command in `words`, such as {"apply", "ticket.json"}.
exit_code run_command(gsl::span<const std::string> words, command_context& with);

/// Returns the text of `radishpulley --help`.
std::string_view help_text();

}  // namespace radishpulley::cli
