#include <boost/test/unit_test.hpp>

#include "details/handshake.h"
#include "details/send_queue.h"

using namespace radishpulley;
using namespace radishpulley::peer;
using detail::handshake;
using detail::send_queue;

namespace {

const vm_incarnation dialer_id{vm_id("vm-a"), 1};
const vm_incarnation listener_id{vm_id("vm-b"), 2};
const std::string secret(16, 's');

peer_message from(const vm_incarnation& sender, const outgoing_message& message) {
    return {protocol_version, sender, 1, message.type, message.body};
}

struct handshake_pair {
    handshake dialer = handshake::for_dialer(dialer_id, secret, listener_id.vm);
    handshake listener = handshake::for_listener(listener_id, secret);
    outgoing_message challenge = *listener.receive(from(dialer_id, dialer.hello())).reply;
};

}  // namespace

BOOST_AUTO_TEST_CASE(both_sides_prove_themselves) {
    handshake_pair it;
    const auto proof = it.dialer.receive(from(listener_id, it.challenge));
    BOOST_REQUIRE(proof.reply);
    const auto accepted = it.listener.receive(from(dialer_id, *proof.reply));
    BOOST_TEST((accepted.authenticated == dialer_id));
    const auto done = it.dialer.receive(from(listener_id, *accepted.reply));
    BOOST_TEST((done.authenticated == listener_id));
}

BOOST_AUTO_TEST_CASE(a_proof_fits_one_handshake_only) {
    handshake_pair first;
    handshake_pair second;
    const auto proof = first.dialer.receive(from(listener_id, first.challenge));
    const auto replayed = second.listener.receive(from(dialer_id, *proof.reply));
    BOOST_TEST((replayed.fault == peer_fault::authentication_failed));
    const auto crossed = second.dialer.receive(from(listener_id, first.challenge));
    BOOST_TEST((crossed.fault == peer_fault::authentication_failed));
}

BOOST_AUTO_TEST_CASE(a_proof_fits_one_incarnation_only) {
    handshake_pair it;
    const vm_incarnation other{listener_id.vm, listener_id.incarnation + 1};
    const auto step = it.dialer.receive(from(other, it.challenge));
    BOOST_TEST((step.fault == peer_fault::authentication_failed));
}

BOOST_AUTO_TEST_CASE(another_vm_of_the_fleet_is_not_the_one_dialed) {
    const vm_incarnation other{vm_id("vm-c"), 1};
    const handshake_pair it;
    handshake dialer = it.dialer;
    handshake listener = handshake::for_listener(other, secret);
    const auto challenge = listener.receive(from(dialer_id, dialer.hello()));
    const auto step = dialer.receive(from(other, *challenge.reply));
    BOOST_TEST((step.fault == peer_fault::authentication_failed));
}

BOOST_AUTO_TEST_CASE(a_listener_s_own_proof_is_no_dialer_s_proof) {
    handshake_pair it;
    const outgoing_message reflected{"proof", {{"proof", it.challenge.body["proof"]}}};
    const auto step = it.listener.receive(from(dialer_id, reflected));
    BOOST_TEST((step.fault == peer_fault::authentication_failed));
}

BOOST_AUTO_TEST_CASE(only_a_proved_listener_can_supersede_a_dialer) {
    handshake_pair it;
    const auto told = from(listener_id, handshake::rejection(peer_fault::superseded));
    handshake unproved = it.dialer;
    BOOST_TEST((unproved.receive(told).fault == peer_fault::authentication_failed));
    it.dialer.receive(from(listener_id, it.challenge));
    BOOST_TEST((it.dialer.receive(told).fault == peer_fault::superseded));
}

BOOST_AUTO_TEST_CASE(messages_out_of_order_are_refused) {
    for (const char* type : {"hello", "challenge", "proof", "accepted", "quota.loan", ""}) {
        for (const nlohmann::json& body : {nlohmann::json(), nlohmann::json({{"nonce", 7}})}) {
            handshake listener = handshake::for_listener(listener_id, secret);
            BOOST_TEST(listener.receive(from(dialer_id, {type, body})).fault.has_value(), type);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_full_queue_drops_heartbeats_before_it_refuses) {
    send_queue queue;
    for (std::size_t i = 0; i < send_queue::max_frames; ++i) {
        BOOST_TEST(queue.push("f" + std::to_string(i), i == 3 || i == 9).is_queued);
    }
    BOOST_TEST(queue.push("a", false).heartbeats_dropped == 1);
    BOOST_TEST(queue.push("b", false).heartbeats_dropped == 1);
    BOOST_TEST(!queue.push("c", false).is_queued);
    std::size_t n = 0;
    while (const auto frame = queue.pop()) {
        BOOST_TEST((*frame != "f3" && *frame != "f9"));
        ++n;
    }
    BOOST_TEST(n == send_queue::max_frames);
}

BOOST_AUTO_TEST_CASE(a_queue_is_bounded_by_bytes) {
    send_queue queue;
    BOOST_TEST(queue.push(std::string(send_queue::max_bytes, 'x'), false).is_queued);
    BOOST_TEST(!queue.push("y", false).is_queued);
    queue.pop();
    BOOST_TEST(queue.push("y", false).is_queued);
}
