#include "gateway/relay_protocol.h"

#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace radishpulley::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view terms_header = "Peer-Relay-Terms";
constexpr std::string_view token_header = "Peer-Relay-Token";
constexpr std::string_view result_header = "Peer-Relay-Result";
// Age of a token up to which it is accepted; the clocks of VMs may differ by as much.
constexpr milliseconds token_window = std::chrono::seconds(60);

std::string to_hex(const std::vector<std::uint8_t>& bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const std::uint8_t it : bytes) {
        out += digits[it >> 4U];
        out += digits[it & 15U];
    }
    return out;
}

std::optional<std::uint8_t> from_digit(char it) {
    if (it >= '0' && it <= '9') {
        return static_cast<std::uint8_t>(it - '0');
    }
    if (it >= 'a' && it <= 'f') {
        return static_cast<std::uint8_t>(it - 'a' + 10);
    }
    return std::nullopt;
}

std::optional<std::vector<std::uint8_t>> from_hex(std::string_view text) {
    std::vector<std::uint8_t> out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        const auto high = from_digit(text[i]);
        const auto low = from_digit(text[i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        out.push_back(static_cast<std::uint8_t>(*high << 4U | *low));
    }
    return out;
}

// Values may contain any bytes, such as the ids of events.
std::string encode(const json& it) {
    return to_hex(json::to_cbor(it));
}

json decode(std::string_view text) {
    const auto bytes = from_hex(text);
    return bytes ? json::from_cbor(*bytes, true, false) : json(json::value_t::discarded);
}

json to_json(const routing::software& it) {
    return {{"service", it.service.str()}, {"version", it.version}};
}

routing::software software_from(const json& in) {
    return {service_id(in.at("service").get<std::string>()), in.at("version").get<std::string>()};
}

relay_terms terms_from(const json& in) {
    relay_terms out;
    out.request = request_id(in.at("request").get<std::string>());
    out.origin = vm_id(in.at("origin").get<std::string>());
    out.service = service_id(in.at("service").get<std::string>());
    out.age = milliseconds(in.at("age").get<std::int64_t>());
    out.time_left = milliseconds(in.at("time_left").get<std::int64_t>());
    out.attempts = in.at("attempts").get<unsigned>();
    if (in.contains("last_event")) {
        out.last_event = in.at("last_event").get<std::string>();
    }
    if (in.contains("began_at")) {
        out.began_at = software_from(in.at("began_at"));
    }
    return out;
}

relay_result result_from(const json& in) {
    relay_result out;
    out.endpoint = endpoint_id(in.at("endpoint").get<std::string>());
    out.software = software_from(in.at("software"));
    out.runs = in.at("runs").get<unsigned>();
    out.sends = in.at("sends").get<unsigned>();
    out.refusal = in.at("refusal").get<std::string>();
    out.is_suspect = in.at("is_suspect").get<bool>();
    return out;
}

}  // namespace

bool is_relay_header(std::string_view name) {
    return same_name(name, terms_header) || same_name(name, token_header) ||
           same_name(name, result_header);
}

void append_relay_terms(const relay_terms& it, std::string_view secret, milliseconds time_of_day,
                        std::string& out) {
    json contents = {{"request", it.request.str()},       {"origin", it.origin.str()},
                     {"service", it.service.str()},       {"age", it.age.count()},
                     {"time_left", it.time_left.count()}, {"attempts", it.attempts},
                     {"sealed_at", time_of_day.count()}};
    if (it.last_event) {
        contents["last_event"] = *it.last_event;
    }
    if (it.began_at) {
        contents["began_at"] = to_json(*it.began_at);
    }
    const std::string text = encode(contents);
    append_header(out, terms_header, text);
    append_header(out, token_header, hmac_sha256_hex(secret, text));
}

std::optional<relay_terms> read_relay_terms(const header_list& headers, std::string_view secret,
                                            milliseconds time_of_day) {
    const std::string_view text = find_header(headers, terms_header);
    const std::string_view token = find_header(headers, token_header);
    if (secret.empty() || !constant_time_equal(hmac_sha256_hex(secret, text), token)) {
        return std::nullopt;
    }
    try {
        const json contents = decode(text);
        const milliseconds age =
            time_of_day - milliseconds(contents.at("sealed_at").get<std::int64_t>());
        const bool is_recent = age <= token_window && age >= -token_window;
        return is_recent ? std::make_optional(terms_from(contents)) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

header relay_result_header(const relay_result& it) {
    const json contents = {{"endpoint", it.endpoint.str()},
                           {"software", to_json(it.software)},
                           {"runs", it.runs},
                           {"sends", it.sends},
                           {"refusal", it.refusal},
                           {"is_suspect", it.is_suspect}};
    return {std::string(result_header), encode(contents)};
}

std::optional<relay_result> read_relay_result(const header_list& headers) {
    const std::string_view text = find_header(headers, result_header);
    if (text.empty()) {
        return std::nullopt;
    }
    try {
        return result_from(decode(text));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace radishpulley::gateway
