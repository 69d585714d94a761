#include "gateway/http_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace radishpulley::gateway {
namespace {

constexpr std::array<std::string_view, 10> excluded_headers = {"connection",
                                                               "keep-alive",
                                                               "proxy-connection",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade",
                                                               "content-length"};

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

// Returns the header names listed in `Connection` headers.
std::vector<std::string> connection_header_names(const header_list& headers) {
    std::vector<std::string> names;
    for (const header& it : headers) {
        if (!same_name(it.name, "connection")) {
            continue;
        }
        std::string_view rest = it.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            names.emplace_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return names;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
               return std::tolower(x) == std::tolower(y);
           });
}

std::string_view find_header(const header_list& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const header& it) { return same_name(it.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

bool has_unknown_coding(const header_list& headers) {
    return std::any_of(headers.begin(), headers.end(), [](const header& it) {
        return same_name(it.name, "transfer-encoding") && !same_name(it.value, "chunked");
    });
}

header_list end_to_end_headers(const header_list& headers) {
    const std::vector<std::string> listed = connection_header_names(headers);
    header_list out;
    for (const header& it : headers) {
        const auto matches_name = [&](std::string_view name) { return same_name(name, it.name); };
        const bool is_excluded =
            std::any_of(excluded_headers.begin(), excluded_headers.end(), matches_name) ||
            std::any_of(listed.begin(), listed.end(), matches_name);
        if (!is_excluded) {
            out.push_back(it);
        }
    }
    return out;
}

void append_header(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string to_chunk(std::string_view data) {
    std::array<char, 20> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string out;
    out.reserve(static_cast<std::size_t>(n) + data.size() + 2);
    out.append(size.data(), static_cast<std::size_t>(n)).append(data).append("\r\n");
    return out;
}

}  // namespace radishpulley::gateway
