#include "http/message.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <cpprest/uri.h>

namespace radishpulley::http {
namespace {

std::string_view find_header(const header_map& headers, std::string_view name) {
    const auto it = headers.find(name);
    return it == headers.end() ? std::string_view() : std::string_view(it->second);
}

bool is_unreserved(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_' ||
           c == '~' || c == '/';
}

}  // namespace

bool header_name_less::operator()(std::string_view a, std::string_view b) const {
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x)) <
               std::tolower(static_cast<unsigned char>(y));
    });
}

std::string_view request::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> request::query(std::string_view name) const {
    const auto start = target.find('?');
    if (start == std::string::npos) {
        return std::nullopt;
    }
    const auto fields = web::uri::split_query(target.substr(start + 1));
    const auto it = fields.find(std::string(name));
    if (it == fields.end()) {
        return std::nullopt;
    }
    return web::uri::decode(it->second);
}

std::string_view request::header(std::string_view name) const {
    return find_header(headers, name);
}

std::string_view response::header(std::string_view name) const {
    return find_header(headers, name);
}

response json_response(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string encode_path(std::string_view text) {
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string buf;
    for (const char c : text) {
        if (is_unreserved(c)) {
            buf.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        buf.push_back('%');
        buf.push_back(digits[byte >> 4]);
        buf.push_back(digits[byte & 15]);
    }
    return buf;
}

}  // namespace radishpulley::http
