/// HTTP requests and responses as plain values, independent of the HTTP library.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace radishpulley::http {

/// Compares header names without regard to case.
struct header_name_less {
    using is_transparent = void;
    bool operator()(std::string_view a, std::string_view b) const;
};

/// Header fields by name; repeated fields are joined with commas.
using header_map = std::map<std::string, std::string, header_name_less>;

/// A request with its complete body.
struct request {
    std::string method = "GET";
    /// Path with query, such as /v1/objects/a?x=1.
    std::string target = "/";
    header_map headers;
    std::string body;

    /// Returns the path without the query.
    std::string_view path() const;
    /// Returns the decoded value of a query parameter, or nothing.
    std::optional<std::string> query(std::string_view name) const;
    /// Returns a header's value, or an empty text.
    std::string_view header(std::string_view name) const;
};

/// A response with its complete body.
struct response {
    int status = 200;
    header_map headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

/// Returns a response with a JSON body.
response json_response(int status, std::string body);

/// Percent-encodes all characters except unreserved ones and '/'.
std::string encode_path(std::string_view text);

}  // namespace radishpulley::http
