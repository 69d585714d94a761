#include "peer/codec.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "peer/message_router.h"

using namespace radishpulley;
using namespace radishpulley::peer;
using nlohmann::json;

namespace {

std::string cbor(const json& value) {
    std::string text;
    json::to_cbor(value, text);
    return text;
}

json envelope() {
    return {{"v", 1}, {"vm", "vm-1"}, {"inc", 3}, {"seq", 9}, {"type", "t"}, {"body", {{"a", 1}}}};
}

json with(const char* name, json value) {
    json it = envelope();
    it[name] = std::move(value);
    return it;
}

json without(const char* name) {
    json it = envelope();
    it.erase(name);
    return it;
}

json nested(std::size_t depth) {
    json it = json::array();
    for (std::size_t i = 1; i < depth; ++i) {
        it = json::array({it});
    }
    return it;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_message_survives_the_way_there_and_back) {
    const peer_message sent{protocol_version, {vm_id("vm-1"), 7}, 42, "t", {{"x", {1, 2, "é"}}}};
    const auto got = std::get<peer_message>(decode(encode(sent), max_frame_size));
    BOOST_TEST((got.sender == sent.sender));
    BOOST_TEST(got.sequence == 42);
    BOOST_TEST(got.type == "t");
    BOOST_TEST((got.body == sent.body));
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_skipped_and_a_body_may_be_missing) {
    BOOST_TEST(std::holds_alternative<peer_message>(decode(cbor(with("new", 1)), 1000)));
    BOOST_TEST(std::holds_alternative<peer_message>(decode(cbor(without("body")), 1000)));
}

BOOST_AUTO_TEST_CASE(what_is_no_message_is_refused) {
    struct row {
        const char* what;
        std::string frame;
        decode_failure expected;
    };
    const std::string good = cbor(envelope());
    const auto malformed = decode_failure::malformed;
    const row rows[] = {
        {"empty", "", malformed},
        {"a number", cbor(5), malformed},
        {"an array", cbor({1, 2}), malformed},
        {"cut", good.substr(0, good.size() - 1), malformed},
        {"trailing byte", good + '\0', malformed},
        {"no version", cbor(without("v")), malformed},
        {"version as text", cbor(with("v", "1")), malformed},
        {"other version", cbor(with("v", 2)), decode_failure::wrong_version},
        {"no sender", cbor(without("vm")), malformed},
        {"empty sender", cbor(with("vm", "")), malformed},
        {"negative incarnation", cbor(with("inc", -1)), malformed},
        {"type as number", cbor(with("type", 1)), malformed},
        {"too deep", cbor(with("body", nested(max_nesting_depth))), malformed},
        {"oversize", cbor(with("body", std::string(2000, 'x'))), decode_failure::oversize},
        {"a million open arrays", std::string(1'000'000, '\x81'), malformed},
        {"a million open strings", std::string(1'000'000, '\x7f'), malformed},
        {"an array of 2^64-1", "\x9b" + std::string(8, '\xff'), malformed},
        {"a string of 2^64-1", "\x7b" + std::string(8, '\xff'), malformed},
        {"a map of 2^63", "\xbb\x80" + std::string(7, '\0'), malformed},
    };
    for (const row& it : rows) {
        const std::size_t limit = it.frame.size() >= 1'000'000 ? max_frame_size : 1000;
        const decode_result result = decode(it.frame, limit);
        const auto* failure = std::get_if<decode_failure>(&result);
        BOOST_TEST((failure != nullptr && *failure == it.expected), it.what);
    }
    BOOST_TEST(std::holds_alternative<peer_message>(
        decode(cbor(with("body", nested(max_nesting_depth - 1))), 1000)));
}

BOOST_AUTO_TEST_CASE(changed_frames_never_throw) {
    constexpr unsigned seed = 7;
    std::mt19937 random(seed);
    const std::string good = cbor(envelope());
    BOOST_TEST_CONTEXT("seed " << seed) {
        for (int i = 0; i < 20'000; ++i) {
            std::string frame = good;
            for (int n = 0; n < 3; ++n) {
                frame[random() % frame.size()] = static_cast<char>(random());
            }
            BOOST_CHECK_NO_THROW(decode(frame, max_frame_size));
        }
    }
}

BOOST_AUTO_TEST_CASE(messages_go_to_the_handler_of_their_type) {
    message_router router;
    int sum = 0;
    router.add(
        "number", [](const json& body) { return body.at("n").get<int>(); },
        [&](const vm_incarnation&, int n) { sum += n; });
    const auto message = [](const char* type, json body) {
        return peer_message{protocol_version, {vm_id("vm-1"), 1}, 1, type, std::move(body)};
    };
    BOOST_TEST((router.dispatch(message("number", {{"n", 5}})) == dispatch_result::handled));
    BOOST_TEST((router.dispatch(message("number", 5)) == dispatch_result::malformed_body));
    BOOST_TEST((router.dispatch(message("other", {})) == dispatch_result::unknown_type));
    BOOST_TEST(sum == 5);
    BOOST_TEST(router.counters().malformed_body == 1);
    BOOST_TEST(router.counters().unknown_type == 1);
    BOOST_CHECK_THROW(
        router.add(
            "number", [](const json&) { return 1; }, [](const vm_incarnation&, int) {}),
        std::logic_error);
}
