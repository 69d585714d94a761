#include <boost/test/unit_test.hpp>

#include "base/findings.h"
#include "wire/messages.h"
#include "wire/name_list.h"

using namespace radishpulley;

namespace {

// Encoding what was decoded must give the same JSON, so no field was lost on the way.
template <typename Message, typename Decode>
void check_round_trip(const Message& it, Decode decode) {
    const nlohmann::json once = wire::encode(it);
    const auto bytes = nlohmann::json::to_cbor(once);
    BOOST_TEST(wire::encode(decode(nlohmann::json::from_cbor(bytes))) == once);
}

// Returns the field names of a message's body in alphabetical order.
template <typename Message>
std::string field_names(const Message& it) {
    const nlohmann::json body = wire::encode(it).at("v");
    std::string names;
    for (const auto& field : body.items()) {
        names += (names.empty() ? "" : " ") + field.key();
    }
    return names;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wire_suite)

BOOST_AUTO_TEST_CASE(quota_messages_survive_the_way) {
    const quota::loan_key key{3, 4, client_account_id("sastro"), 9};
    check_round_trip(
        quota::quota_message(quota::loan_request{key, 5, duration(6), duration(7), 8, true}),
        wire::decode_quota);
    check_round_trip(quota::quota_message(quota::loan_grant{key, 5, {1, 2, duration(3)}}),
                     wire::decode_quota);
    check_round_trip(quota::quota_message(quota::loan_return{key, 1, 2, 3, true}),
                     wire::decode_quota);
    check_round_trip(quota::quota_message(quota::loan_rejected{key}), wire::decode_quota);
}

BOOST_AUTO_TEST_CASE(placement_messages_survive_the_way) {
    placement::pin_refusal it;
    it.endpoint = endpoint_id("e1");
    it.daemon = {vm_id("vm1"), 7};
    it.reason = placement::pin_refusal_reason::no_slot;
    it.expected_wait = std::chrono::seconds(2);
    check_round_trip(placement::message(it), wire::decode_placement);
    const auto again = std::get<placement::pin_refusal>(wire::decode_placement(wire::encode(it)));
    BOOST_TEST((again.reason == placement::pin_refusal_reason::no_slot));
    BOOST_TEST((again.daemon == vm_incarnation{vm_id("vm1"), 7}));
}

// Guards against fields that change their names on the wire with a member: daemons of another
// version then read the default value.
BOOST_AUTO_TEST_CASE(fields_of_placement_messages_keep_their_names) {
    using placement::message;
    BOOST_TEST(field_names(message(placement::pin_request{})) ==
               "adapter arrived daemon endpoint number oldest_wait running waiting weight");
    BOOST_TEST(field_names(message(placement::pin_grant{})) ==
               "adapter daemon endpoint fence number state validity window");
    BOOST_TEST(field_names(message(placement::pin_refusal{})) ==
               "adapter daemon endpoint expected_wait fence number reason state");
    BOOST_TEST(field_names(message(placement::pin_recall{})) == "adapter daemon endpoint fence");
    BOOST_TEST(field_names(message(placement::pin_release{})) ==
               "adapter arrived daemon endpoint number");
    BOOST_TEST(field_names(message(placement::keeper_handoff{})) ==
               "endpoint fence from pins unknown_pins");
    BOOST_TEST(field_names(message(placement::permit_request{})) == "endpoint holder needs number");
    BOOST_TEST(field_names(message(placement::load_permit{})) ==
               "endpoint fence holder number permit validity");
    BOOST_TEST(field_names(message(placement::permit_done{})) ==
               "endpoint fence holder permit used");
}

BOOST_AUTO_TEST_CASE(fleet_messages_survive_the_way) {
    fleet::status it;
    it.beat.from = {vm_id("vm1"), 2};
    it.evidence = keys::evidence_report{4, 5, std::chrono::milliseconds(6)};
    it.holds.push_back({keys::hold_reason::process_ended, 3, duration(4), {vm_id("vm2")}});
    it.members.push_back({{vm_id("vm3"), zone_id("a"), region_id("r"), "ws://x", {}}, 5});
    check_round_trip(fleet::message(it), wire::decode_fleet);
    tickets::ticket_push push;
    push.change = model::parse_ticket(R"({"number": 7, "set": {"client_accounts": [
        {"id": "a", "rate": 1, "burst": 2}]}})");
    check_round_trip(fleet::message(tickets::ticket_message(push)), wire::decode_fleet);
    tickets::head_reply reply;
    reply.at.number = 9;
    check_round_trip(fleet::message(tickets::ticket_message(reply)), wire::decode_fleet);
}

BOOST_AUTO_TEST_CASE(names_that_resemble_each_other_take_little_room) {
    std::vector<vm_id> names = {vm_id(""), vm_id(std::string(300, 'x'))};
    for (int i = 0; i < 380; ++i) {
        names.emplace_back("vm-" + std::to_string(i));
    }
    const auto packed = wire::pack_names(names);
    std::sort(names.begin(), names.end());
    BOOST_TEST((wire::unpack_names(packed) == names));
    BOOST_TEST(packed.size() < 380 * 4 + 310);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_names_are_refused) {
    const std::vector<std::vector<std::uint8_t>> wrong = {
        {0}, {0, 2, 'a'}, {1, 0}, {0, 1, 'a', 2, 0}, {0x80, 0x80, 0x80, 0x80, 1}};
    for (const auto& it : wrong) {
        BOOST_CHECK_THROW(wire::unpack_names(it), invalid_input);
    }
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_skipped_and_unknown_kinds_refused) {
    nlohmann::json body = wire::encode(quota::quota_message(quota::loan_rejected{}));
    body["v"]["later"] = 1;
    BOOST_CHECK_NO_THROW(wire::decode_quota(body));
    body["k"] = "later";
    BOOST_CHECK_THROW(wire::decode_quota(body), std::exception);
    BOOST_CHECK_THROW(wire::decode_placement(nlohmann::json::array()), std::exception);
}

BOOST_AUTO_TEST_SUITE_END()
