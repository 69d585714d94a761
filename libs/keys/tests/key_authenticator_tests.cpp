#include <boost/test/unit_test.hpp>

#include "base/digest.h"
#include "keys/key_authenticator.h"
#include "keys/running_requests.h"

using namespace radishpulley;
using namespace radishpulley::keys;

namespace {

const std::string secret = "fleet secret";

model::ticket key_ticket(model::ticket_number number, const std::string& key,
                         const std::string& id = "k1") {
    model::ticket it;
    it.number = number;
    it.set.emplace_back(model::client_account{client_account_id("care-home"), 10, 100, 1});
    it.set.emplace_back(
        model::key{key_id(id), client_account_id("care-home"), key_digest(secret, key)});
    return it;
}

model::ticket withdrawal(model::ticket_number number) {
    model::ticket it;
    it.number = number;
    it.remove.push_back({model::resource_kind::key, "k1"});
    return it;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(key_authenticator_suite)

BOOST_AUTO_TEST_CASE(a_key_is_valid_from_its_ticket_until_its_withdrawal) {
    const auto first = model::apply({}, key_ticket(1, "abc"));
    const auto index = key_authenticator(secret).updated(first);
    const auto who = index.authenticate("abc");
    BOOST_REQUIRE(std::holds_alternative<authenticated>(who));
    BOOST_TEST(std::get<authenticated>(who).account == client_account_id("care-home"));
    BOOST_TEST(std::holds_alternative<key_refused>(index.authenticate("abd")));
    BOOST_TEST(std::holds_alternative<key_missing>(index.authenticate("")));
    const auto later = index.updated(model::apply(first, withdrawal(2)));
    BOOST_TEST(std::holds_alternative<key_refused>(later.authenticate("abc")));
}

BOOST_AUTO_TEST_CASE(the_digest_itself_and_another_secret_are_refused) {
    const auto first = model::apply({}, key_ticket(1, "abc"));
    const auto index = key_authenticator(secret).updated(first);
    BOOST_TEST(std::holds_alternative<key_refused>(index.authenticate(key_digest(secret, "abc"))));
    const auto other = key_authenticator("another secret").updated(first);
    BOOST_TEST(std::holds_alternative<key_refused>(other.authenticate("abc")));
}

BOOST_AUTO_TEST_CASE(running_requests_end_with_their_key) {
    const auto first = model::apply({}, key_ticket(1, "abc"));
    const auto both = model::apply(first, key_ticket(2, "xyz", "k2"));
    const client_account_id account("care-home");
    const std::vector<running_request> running = {
        {request_id("r1"), key_id("k1"), account, key_digest(secret, "abc")},
        {request_id("r2"), key_id("k2"), account, key_digest(secret, "xyz")}};
    BOOST_TEST(requests_to_end(running, both).empty());
    const auto without = model::apply(both, withdrawal(3));
    const std::vector<request_id> expected = {request_id("r1")};
    BOOST_TEST(requests_to_end(running, without) == expected, boost::test_tools::per_element());
    // A key with the same name but another secret value is a different key.
    const auto changed = model::apply(both, key_ticket(3, "new"));
    BOOST_TEST(requests_to_end(running, changed) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
