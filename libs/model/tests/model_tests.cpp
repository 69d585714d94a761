#include <boost/test/unit_test.hpp>

#include "model/configuration.h"

using namespace radishpulley;
using namespace radishpulley::model;

namespace {

const char* const base_ticket = R"({"number": 1, "set": {
    "services": [{"id": "drafts", "kind": "model", "base_model": "llama"}],
    "client_accounts": [{"id": "sastro", "rate": 100, "burst": 1000}],
    "adapters": [{"id": "runners", "service": "drafts", "current_version": "v1"}],
    "adapter_versions": [{"adapter": "runners", "version": "v1", "source": "store:/runners/v1"}]}})";

configuration base_configuration() {
    return apply(configuration(), parse_ticket(base_ticket));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(model_suite)

BOOST_AUTO_TEST_CASE(ticket_reports_all_findings_with_places) {
    try {
        parse_ticket(R"({"number": 0, "extra": 1, "set": {
            "client_accounts": [{"id": "a b", "rate": -1, "burst": "x"}], "nonsense": []}})");
        BOOST_FAIL("the ticket must be refused");
    } catch (const invalid_input& e) {
        std::vector<std::string> places;
        for (const finding& it : e.found().list()) {
            places.push_back(it.place);
        }
        const std::vector<std::string> expected = {"number",
                                                   "set.client_accounts[0].id",
                                                   "set.client_accounts[0].rate",
                                                   "set.client_accounts[0].burst",
                                                   "set.nonsense",
                                                   "extra"};
        BOOST_TEST(places == expected, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(apply_shares_unchanged_shards_and_keeps_the_old_value) {
    const configuration before = base_configuration();
    const configuration after = apply(before, parse_ticket(R"({"number": 2, "set": {
        "client_accounts": [{"id": "sastro", "rate": 5, "burst": 10}]}})"));
    BOOST_TEST(before.find_account(client_account_id("sastro"))->rate == 100);
    BOOST_TEST(after.find_account(client_account_id("sastro"))->rate == 5);
    std::size_t changed = 0;
    for (std::size_t i = 0; i < shard_count; ++i) {
        changed += before.shard_at(i) != after.shard_at(i) ? 1 : 0;
    }
    BOOST_TEST(changed == 1);
}

BOOST_AUTO_TEST_CASE(dangling_references_are_refused_whole) {
    const configuration before = base_configuration();
    const ticket it = parse_ticket(R"({"number": 2, "set": {
        "keys": [{"id": "k", "account": "nobody",
                  "digest": "0000000000000000000000000000000000000000000000000000000000000000"}]},
        "remove": {"adapter_versions": ["runners@v1"], "services": ["missing"]}})");
    const findings found = check(before, it);
    BOOST_TEST(found.list().size() == 3);
    BOOST_CHECK_THROW(apply(before, it), invalid_input);
}

BOOST_AUTO_TEST_CASE(two_keys_of_one_digest_are_refused) {
    const std::string key =
        R"("account": "sastro", "digest": "00000000000000000000000000000000000000000000000000000000000000aa"})";
    const auto ticket_of = [&](const char* number, const std::string& names) {
        return parse_ticket(std::string(R"({"number": )") + number + R"(, "set": {"keys": [)" +
                            names + "]}}");
    };
    const std::string one = R"({"id": "k1", )" + key;
    const std::string two = R"({"id": "k2", )" + key;
    const configuration before = apply(base_configuration(), ticket_of("2", one));
    BOOST_TEST(check(before, ticket_of("3", two)).list().size() == 1);
    BOOST_TEST(check(base_configuration(), ticket_of("3", one + "," + two)).list().size() == 1);
    BOOST_TEST(check(before, ticket_of("3", one)).empty());
}

BOOST_AUTO_TEST_CASE(shards_survive_their_text_form) {
    const configuration before = base_configuration();
    for (std::size_t i = 0; i < shard_count; ++i) {
        const shard again = parse_shard(to_text(*before.shard_at(i)));
        BOOST_TEST(to_text(again) == to_text(*before.shard_at(i)));
    }
}

BOOST_AUTO_TEST_CASE(ticket_digest_ignores_the_layout_of_the_text) {
    const ticket a = parse_ticket(R"({"number": 3, "set": {}, "remove": {}})");
    const ticket b = parse_ticket(R"({"remove": {}, "number":3})");
    BOOST_TEST(ticket_digest(a) == ticket_digest(b));
}

BOOST_AUTO_TEST_SUITE_END()
