#pragma once

#include <optional>
#include <string>

#include "peer/message.h"
#include "peer/transport.h"

namespace radishpulley::peer::detail {

// What follows from one message of a handshake.
struct handshake_step {
    std::optional<outgoing_message> reply;
    // Set when the other side has proved who it is and this side is known to it or will be with
    // `reply`.
    std::optional<vm_incarnation> authenticated;
    std::optional<peer_fault> fault;
};

// Mutual proof of knowing the fleet's secret:
//   dialer   -> hello {nonce}
//   listener -> challenge {nonce, proof}
//   dialer   -> proof {proof}
//   listener -> accepted
// Both proofs are HMACs over both nonces, both incarnations and the prover's role, so none fits
// another connection, another start of the daemon or the other direction.
class handshake {
public:
    static handshake for_dialer(vm_incarnation self, std::string secret, vm_id expected);
    static handshake for_listener(vm_incarnation self, std::string secret);

    // The message by which a dialer begins.
    outgoing_message hello() const;

    handshake_step receive(const peer_message& message);

    // The message by which either side says why it closes.
    static outgoing_message rejection(peer_fault fault);

    // Returns why an authenticated side closes, if that is what `message` says.
    static std::optional<peer_fault> told_fault(const peer_message& message);

private:
    enum class stage { await_hello, await_challenge, await_proof, await_accepted, done };

    handshake(vm_incarnation self, std::string secret, stage first);

    handshake_step receive_hello(const peer_message& message);
    handshake_step receive_challenge(const peer_message& message);
    handshake_step receive_proof(const peer_message& message);
    handshake_step receive_accepted(const peer_message& message);
    handshake_step receive_rejection(const peer_message& message) const;
    std::string proof(const char* role) const;

    vm_incarnation self_;
    std::string secret_;
    stage stage_;
    // Empty for a listener, which takes any VM that proves itself.
    vm_id expected_;
    vm_incarnation other_;
    std::string nonce_;
    std::string other_nonce_;
};

}  // namespace radishpulley::peer::detail
