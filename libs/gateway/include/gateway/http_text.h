/// Small pieces of HTTP/1.1 text that requests and answers are made of.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishpulley::gateway {

/// One header as it came.
struct header {
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// Whether two header names are the same.
bool same_name(std::string_view a, std::string_view b);

/// Returns the value of the first header of that name, or an empty text.
std::string_view find_header(const header_list& headers, std::string_view name);

/// Returns the headers without those that concern only one connection, nor those that frame the
/// body.
header_list end_to_end_headers(const header_list& headers);

/// Appends `name: value` and a line end.
void append_header(std::string& out, std::string_view name, std::string_view value);

/// Returns `data` as one chunk of a chunked body.
std::string to_chunk(std::string_view data);

/// The end of a chunked body.
constexpr std::string_view last_chunk = "0\r\n\r\n";

}  // namespace radishpulley::gateway
