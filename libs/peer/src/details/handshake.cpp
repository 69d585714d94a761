#include "details/handshake.h"

#include "base/digest.h"

namespace radishpulley::peer::detail {
namespace {

using nlohmann::json;

constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t nonce_length = nonce_bytes * 2;
constexpr const char* hello_type = "hello";
constexpr const char* challenge_type = "challenge";
constexpr const char* proof_type = "proof";
constexpr const char* accepted_type = "accepted";
constexpr const char* rejected_type = "rejected";
constexpr const char* dialer_role = "dialer";
constexpr const char* listener_role = "listener";

std::string text_field(const json& body, const char* name) {
    if (!body.is_object()) {
        return {};
    }
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

handshake_step failed(peer_fault fault) {
    handshake_step step;
    step.fault = fault;
    return step;
}

handshake_step replied(const char* type, json body) {
    handshake_step step;
    step.reply = outgoing_message{type, std::move(body)};
    return step;
}

}  // namespace

handshake handshake::for_dialer(vm_incarnation self, std::string secret, vm_id expected) {
    handshake it(std::move(self), std::move(secret), stage::await_challenge);
    it.expected_ = std::move(expected);
    return it;
}

handshake handshake::for_listener(vm_incarnation self, std::string secret) {
    return {std::move(self), std::move(secret), stage::await_hello};
}

handshake::handshake(vm_incarnation self, std::string secret, stage first)
    : self_(std::move(self)),
      secret_(std::move(secret)),
      stage_(first),
      nonce_(random_hex(nonce_bytes)) {}

outgoing_message handshake::hello() const {
    return {hello_type, {{"nonce", nonce_}}};
}

handshake_step handshake::receive(const peer_message& message) {
    if (message.type == rejected_type) {
        return receive_rejection(message);
    }
    switch (stage_) {
        case stage::await_hello:
            return receive_hello(message);
        case stage::await_challenge:
            return receive_challenge(message);
        case stage::await_proof:
            return receive_proof(message);
        case stage::await_accepted:
            return receive_accepted(message);
        case stage::done:
            break;
    }
    return failed(peer_fault::malformed);
}

outgoing_message handshake::rejection(peer_fault fault) {
    return {rejected_type, {{"fault", to_string(fault)}}};
}

std::optional<peer_fault> handshake::told_fault(const peer_message& message) {
    if (message.type != rejected_type) {
        return std::nullopt;
    }
    const bool is_superseded =
        text_field(message.body, "fault") == to_string(peer_fault::superseded);
    return is_superseded ? peer_fault::superseded : peer_fault::closed;
}

handshake_step handshake::receive_hello(const peer_message& message) {
    other_nonce_ = text_field(message.body, "nonce");
    if (message.type != hello_type || other_nonce_.size() != nonce_length) {
        return failed(peer_fault::malformed);
    }
    if (message.sender.vm == self_.vm) {
        return failed(peer_fault::authentication_failed);
    }
    other_ = message.sender;
    stage_ = stage::await_proof;
    return replied(challenge_type, {{"nonce", nonce_}, {"proof", proof(listener_role)}});
}

handshake_step handshake::receive_challenge(const peer_message& message) {
    other_nonce_ = text_field(message.body, "nonce");
    if (message.type != challenge_type || other_nonce_.size() != nonce_length) {
        return failed(peer_fault::malformed);
    }
    other_ = message.sender;
    const bool is_proved =
        constant_time_equal(text_field(message.body, "proof"), proof(listener_role));
    if (message.sender.vm != expected_ || !is_proved) {
        return failed(peer_fault::authentication_failed);
    }
    stage_ = stage::await_accepted;
    return replied(proof_type, {{"proof", proof(dialer_role)}});
}

handshake_step handshake::receive_proof(const peer_message& message) {
    if (message.type != proof_type) {
        return failed(peer_fault::malformed);
    }
    const bool is_proved =
        constant_time_equal(text_field(message.body, "proof"), proof(dialer_role));
    if (message.sender != other_ || !is_proved) {
        return failed(peer_fault::authentication_failed);
    }
    stage_ = stage::done;
    handshake_step step = replied(accepted_type, json::object());
    step.authenticated = other_;
    return step;
}

handshake_step handshake::receive_accepted(const peer_message& message) {
    if (message.type != accepted_type || message.sender != other_) {
        return failed(peer_fault::malformed);
    }
    stage_ = stage::done;
    handshake_step step;
    step.authenticated = other_;
    return step;
}

handshake_step handshake::receive_rejection(const peer_message& message) const {
    if (text_field(message.body, "fault") == to_string(peer_fault::wrong_version)) {
        return failed(peer_fault::wrong_version);
    }
    // A daemon ends itself when it is superseded, so only a listener that proved itself is
    // believed.
    const bool is_proved = stage_ == stage::await_accepted && message.sender == other_;
    return failed(is_proved ? *told_fault(message) : peer_fault::authentication_failed);
}

std::string handshake::proof(const char* role) const {
    const bool is_dialer = !expected_.empty();
    const vm_incarnation& dialer = is_dialer ? self_ : other_;
    const vm_incarnation& listener = is_dialer ? other_ : self_;
    const json transcript = {"radishpulley-peer",
                             protocol_version,
                             role,
                             dialer.vm.str(),
                             dialer.incarnation,
                             listener.vm.str(),
                             listener.incarnation,
                             is_dialer ? nonce_ : other_nonce_,
                             is_dialer ? other_nonce_ : nonce_};
    std::string text;
    json::to_cbor(transcript, text);
    return hmac_sha256_hex(secret_, text);
}

}  // namespace radishpulley::peer::detail
