#include "routing/suspect_id.h"

#include <cstdio>

#include "base/digest.h"

namespace radishpulley::routing {
namespace {

constexpr std::size_t hex_digits_of_word = 16;
constexpr std::uint64_t request_bit = std::uint64_t{1} << 63;

// Fields are preceded by their lengths, so that no two requests share one text.
void append_field(std::string& out, std::string_view field) {
    out += std::to_string(field.size());
    out += ':';
    out += field;
}

std::uint64_t read_word(const std::string& hex, std::size_t index) {
    return std::stoull(hex.substr(index * hex_digits_of_word, hex_digits_of_word), nullptr, 16);
}

}  // namespace

suspect_id suspect_of(const request_content& it) {
    std::string text;
    text.reserve(it.body.size() + it.target.size() + 128);
    append_field(text, it.account.str());
    append_field(text, it.method);
    append_field(text, it.host);
    append_field(text, it.target);
    append_field(text, it.body);
    const std::string digest = sha256_hex(text);
    return {read_word(digest, 0) | request_bit, read_word(digest, 1)};
}

std::vector<suspect_id> suspects_of(gsl::span<const prompt_segment> segments) {
    std::vector<suspect_id> out;
    for (const prompt_segment& it : segments) {
        out.push_back(suspect_of(it));
    }
    return out;
}

std::string to_text(const suspect_id& it) {
    if (!it.is_request()) {
        return to_text(it.low);
    }
    char buf[40];
    std::snprintf(buf, sizeof buf, "%016llx%016llx", static_cast<unsigned long long>(it.high),
                  static_cast<unsigned long long>(it.low));
    return buf;
}

std::string to_text(gsl::span<const suspect_id> ids) {
    std::string out;
    for (const suspect_id& it : ids) {
        out += out.empty() ? "" : ",";
        out += to_text(it);
    }
    return out;
}

}  // namespace radishpulley::routing
