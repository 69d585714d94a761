#include "peer/codec.h"

#include <limits>

#include "details/cbor_shape.h"

namespace radishpulley::peer {
namespace {

using nlohmann::json;

const json* find_field(const json& envelope, const char* name) {
    const auto it = envelope.find(name);
    return it == envelope.end() ? nullptr : &*it;
}

bool read_number(const json& envelope, const char* name, std::uint64_t& into) {
    const json* field = find_field(envelope, name);
    if (field == nullptr || !field->is_number_unsigned()) {
        return false;
    }
    into = field->get<std::uint64_t>();
    return true;
}

bool read_text(const json& envelope, const char* name, std::string& into) {
    const json* field = find_field(envelope, name);
    if (field == nullptr || !field->is_string()) {
        return false;
    }
    into = field->get<std::string>();
    return !into.empty();
}

}  // namespace

std::string encode(const peer_message& message) {
    const json envelope = {{"v", message.version},
                           {"vm", message.sender.vm.str()},
                           {"inc", message.sender.incarnation},
                           {"seq", message.sequence},
                           {"type", message.type},
                           {"body", message.body}};
    std::string frame;
    json::to_cbor(envelope, frame);
    return frame;
}

decode_result decode(std::string_view frame, std::size_t size_limit) {
    if (frame.size() > size_limit) {
        return decode_failure::oversize;
    }
    if (!detail::has_bounded_shape(frame, max_nesting_depth)) {
        return decode_failure::malformed;
    }
    json envelope = json::from_cbor(frame.begin(), frame.end(), true, false);
    if (!envelope.is_object()) {
        return decode_failure::malformed;
    }
    std::uint64_t version = 0;
    if (!read_number(envelope, "v", version)) {
        return decode_failure::malformed;
    }
    if (version != protocol_version) {
        return decode_failure::wrong_version;
    }
    peer_message message;
    std::string vm;
    if (!read_text(envelope, "vm", vm) ||
        !read_number(envelope, "inc", message.sender.incarnation) ||
        !read_number(envelope, "seq", message.sequence) ||
        !read_text(envelope, "type", message.type)) {
        return decode_failure::malformed;
    }
    message.sender.vm = vm_id(std::move(vm));
    if (const auto body = envelope.find("body"); body != envelope.end()) {
        message.body = std::move(*body);
    }
    return message;
}

}  // namespace radishpulley::peer
