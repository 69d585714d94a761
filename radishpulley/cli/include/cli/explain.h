/// Tells from the daemons' logs what became of one request, and why.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishpulley::cli {

/// One line of a log.
struct log_line {
    /// Time as written, which orders lines of one VM.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
    /// The line itself.
    std::string text;

    /// Returns the field's value, or an empty text.
    std::string_view field(const std::string& name) const;
};

/// Reads one line; an empty event where it is none of radishpulley's.
log_line parse_log_line(std::string_view text);

/// Prints the decisions on request `id` in order, what the fleet believed of its endpoint and
/// adapter in the seconds before its end, and a sentence on the cause.
/// Returns false where no line is about that request.
bool explain_request(std::string_view id, std::istream& log, std::ostream& out);

}  // namespace radishpulley::cli
