/// Helpers for reading and writing HTTP/1.1 text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishpulley::gateway {

/// One header as received.
struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// Compares two header names without regard to case.
bool same_name(std::string_view a, std::string_view b);

/// Returns the value of the first header with that name, or an empty text.
std::string_view find_header(const header_list& headers, std::string_view name);

/// Whether a transfer coding other than `chunked` is stated, so that the end of the body is
/// unknown.
bool has_unknown_coding(const header_list& headers);

/// Returns the headers without the hop-by-hop ones and those that frame the body.
header_list end_to_end_headers(const header_list& headers);

/// Appends `name: value` and a line end.
void append_header(std::string& out, std::string_view name, std::string_view value);

/// Returns `data` as one chunk of a chunked body.
std::string to_chunk(std::string_view data);

/// Terminating chunk of a chunked body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

}  // namespace radishpulley::gateway
