#include "idempotency/record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/digest.h"
#include "base/findings.h"

namespace radishpulley::idempotency {
namespace {

using nlohmann::json;

constexpr std::string_view name_prefix = "idempotency/";
constexpr std::size_t shard_digits = 2;
constexpr unsigned char first_beyond_ascii = 0x80;
constexpr unsigned char continuation_bits_mask = 0x3f;

// JSON can store only text, so each byte is encoded as the code point with the same value.
std::string bytes_to_text(std::string_view bytes) {
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < first_beyond_ascii) {
            text.push_back(c);
            continue;
        }
        text.push_back(static_cast<char>(0xc0 | (byte >> 6)));
        text.push_back(static_cast<char>(0x80 | (byte & continuation_bits_mask)));
    }
    return text;
}

std::string text_to_bytes(std::string_view text) {
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = static_cast<unsigned char>(text[i]);
        if (byte < first_beyond_ascii) {
            bytes.push_back(text[i]);
            continue;
        }
        if (++i == text.size()) {
            throw std::out_of_range("a text field ends within a multi-byte character");
        }
        bytes.push_back(static_cast<char>(
            (byte << 6) | (static_cast<unsigned char>(text[i]) & continuation_bits_mask)));
    }
    return bytes;
}

struct state_visitor {
    json& into;

    void operator()(const started&) const { into["state"] = "started"; }
    void operator()(const outcome& it) const {
        into["state"] = "finished";
        into["status"] = it.status;
        into["content_type"] = bytes_to_text(it.content_type);
        into["body"] = bytes_to_text(it.body);
        into["body_kept"] = it.body_kept;
    }
};

record from_json(const json& value) {
    record it;
    it.attempt.daemon.vm = vm_id(value.at("vm").get<std::string>());
    it.attempt.daemon.incarnation = value.at("incarnation").get<incarnation_number>();
    it.attempt.sequence = value.at("sequence").get<std::uint64_t>();
    it.attempt.request = request_id(value.at("request").get<std::string>());
    it.fingerprint = value.at("fingerprint").get<std::string>();
    it.epoch = value.at("epoch").get<epoch_number>();
    const auto state = value.at("state").get<std::string>();
    if (state == "started") {
        return it;
    }
    if (state != "finished") {
        throw std::out_of_range("the state is neither 'started' nor 'finished'");
    }
    outcome result;
    result.status = value.at("status").get<int>();
    result.content_type = text_to_bytes(value.at("content_type").get<std::string>());
    result.body = text_to_bytes(value.at("body").get<std::string>());
    result.body_kept = value.at("body_kept").get<bool>();
    it.state = std::move(result);
    return it;
}

void append_length_prefixed(std::string& text, std::string_view part) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

}  // namespace

bool is_valid_key(std::string_view key) {
    const auto is_printable = [](char c) { return c > ' ' && c <= '~'; };
    return !key.empty() && key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), is_printable);
}

std::string record_name(const client_account_id& account, std::string_view key) {
    std::string text;
    append_length_prefixed(text, account.str());
    append_length_prefixed(text, key);
    const std::string digest = sha256_hex(text);
    return std::string(name_prefix) + digest.substr(0, shard_digits) + "/" + digest;
}

std::string shard_prefix(std::size_t shard) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(name_prefix);
    text.push_back(digits.at(shard / digits.size()));
    text.push_back(digits.at(shard % digits.size()));
    return text + "/";
}

std::string fingerprint_of(std::string_view method, std::string_view path, std::string_view body) {
    std::string text;
    append_length_prefixed(text, method);
    append_length_prefixed(text, path);
    append_length_prefixed(text, body);
    return sha256_hex(text);
}

std::string to_text(const record& it) {
    json value = {
        {"vm", it.attempt.daemon.vm.str()}, {"incarnation", it.attempt.daemon.incarnation},
        {"sequence", it.attempt.sequence},  {"request", it.attempt.request.str()},
        {"fingerprint", it.fingerprint},    {"epoch", it.epoch}};
    std::visit(state_visitor{value}, it.state);
    return value.dump();
}

record parse_record(std::string_view text) {
    try {
        return from_json(json::parse(text));
    } catch (const json::exception& fault) {
        findings found;
        found.add("record", fault.what());
        throw invalid_input(found);
    } catch (const std::out_of_range& fault) {
        findings found;
        found.add("record", fault.what());
        throw invalid_input(found);
    }
}

}  // namespace radishpulley::idempotency
