#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tickets/config_replica.h"
#include "tickets/rollout.h"

using namespace radishpulley;
using namespace radishpulley::tickets;
using namespace std::chrono_literals;

namespace {

const time_point start(1h);

model::ticket account_ticket(model::ticket_number number, const std::string& account = "a") {
    model::ticket it;
    it.number = number;
    it.set.emplace_back(model::client_account{client_account_id(account), double(number), 100, 1});
    return it;
}

committed_configuration after(model::ticket_number number) {
    committed_configuration it;
    for (model::ticket_number n = 1; n <= number; ++n) {
        it = apply(it, account_ticket(n));
    }
    return it;
}

ticket_push push_of(model::ticket_number number) {
    return {number - 1, account_ticket(number), fingerprint(after(number).at)};
}

replica_event from(const std::string& peer, ticket_message message) {
    return message_received{vm_id(peer), std::move(message)};
}

template <typename Message>
std::vector<Message> sent(const std::vector<replica_action>& actions) {
    std::vector<Message> all;
    for (const replica_action& it : actions) {
        const auto* held = std::get_if<send_message>(&it);
        if (held != nullptr && std::holds_alternative<Message>(held->message)) {
            all.push_back(std::get<Message>(held->message));
        }
    }
    return all;
}

template <typename Action>
std::size_t count(const std::vector<replica_action>& actions) {
    return std::count_if(actions.begin(), actions.end(), [](const replica_action& it) {
        return std::holds_alternative<Action>(it);
    });
}

struct fixture {
    config_replica replica;

    fixture() {
        replica.handle(peers_changed{{vm_id("p"), vm_id("q"), vm_id("r")}}, start);
        replica.handle(accepted_here{after(1), account_ticket(1)}, start);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(config_replica_suite, fixture)

BOOST_AUTO_TEST_CASE(a_push_that_fits_is_put_in_force_and_relayed_to_the_others) {
    const auto actions = replica.handle(from("p", push_of(2)), start);
    BOOST_TEST(replica.number() == 2);
    BOOST_TEST(count<put_in_force>(actions) == 1);
    BOOST_TEST(sent<ticket_push>(actions).size() == 2);
    BOOST_TEST(replica.handle(from("q", push_of(2)), start).empty());
}

BOOST_AUTO_TEST_CASE(a_gap_is_asked_for_and_filled) {
    const auto actions = replica.handle(from("p", push_of(3)), start);
    BOOST_TEST(replica.number() == 1);
    BOOST_TEST(sent<catch_up_request>(actions).at(0).have == 1);
    replica.handle(from("p", push_of(2)), start);
    replica.handle(from("p", push_of(3)), start);
    BOOST_TEST(replica.number() == 3);
    const auto answers = replica.handle(from("q", catch_up_request{1}), start);
    BOOST_TEST(sent<ticket_push>(answers).size() == 2);
    const auto whole = replica.handle(from("q", catch_up_request{0}), start);
    BOOST_TEST(sent<ticket_push>(whole).size() == 3);
}

BOOST_AUTO_TEST_CASE(nothing_reverts) {
    replica.handle(head_read{after(5).at}, start);
    replica.handle(from("p", push_of(2)), start);
    replica.handle(from("p", push_of(3)), start);
    BOOST_TEST(replica.number() == 3);
    BOOST_TEST(replica.newest_known() == 5);
    BOOST_TEST(replica.handle(head_read{after(2).at}, start).empty());
    BOOST_TEST(count<put_in_force>(replica.handle(from("p", push_of(2)), start)) == 0);
    BOOST_TEST(replica.handle(from("p", head_reply{after(1).at}), start).empty());
    BOOST_TEST(replica.number() == 3);
}

BOOST_AUTO_TEST_CASE(a_push_whose_result_is_not_what_was_committed_is_not_put_in_force) {
    ticket_push wrong = push_of(2);
    wrong.change.set.emplace_back(model::client_account{client_account_id("x"), 1, 1, 1});
    const auto actions = replica.handle(from("p", wrong), start);
    BOOST_TEST(replica.number() == 1);
    BOOST_TEST(count<read_head>(actions) == 1);
}

BOOST_AUTO_TEST_CASE(a_shard_is_copied_verified_and_asked_elsewhere_when_a_peer_lacks_it) {
    const committed_configuration target = after(40);
    auto actions = replica.handle(from("p", head_reply{target.at}), start);
    const shard_request asked = sent<shard_request>(actions).at(0);
    actions = replica.handle(from("p", shard_reply{asked.index, asked.name, "{}"}), start);
    BOOST_TEST(replica.number() == 1);
    BOOST_TEST(count<read_shard>(actions) == 1);
    const std::string text = model::to_text(*target.value.shard_at(asked.index));
    actions = replica.handle(shard_read{asked.index, asked.name, text}, start);
    BOOST_TEST(replica.number() == 40);
    BOOST_TEST(sent<number_notice>(actions).size() == 3);
}

BOOST_AUTO_TEST_CASE(an_unanswered_question_goes_to_another_source) {
    const committed_configuration target = after(40);
    replica.handle(from("p", head_reply{target.at}), start);
    BOOST_TEST(replica.handle(tick{}, start + 100ms).empty());
    BOOST_TEST(count<read_shard>(replica.handle(tick{}, start + 500ms)) == 1);
    BOOST_TEST(sent<shard_request>(replica.handle(tick{}, start + 1s)).size() == 1);
    config_replica other;
    other.handle(peers_changed{{vm_id("p"), vm_id("q")}}, start);
    other.handle(number_seen{vm_id("p"), 4}, start);
    const auto again = other.handle(tick{}, start + 500ms);
    BOOST_TEST(sent<catch_up_request>(again).size() == 1);
}

BOOST_AUTO_TEST_CASE(a_large_ticket_is_announced_and_copied_instead_of_relayed) {
    model::ticket large;
    large.number = 2;
    for (int n = 0; n < 2000; ++n) {
        const client_account_id id("account-" + std::to_string(n));
        large.set.emplace_back(model::client_account{id, 1, 1, 1});
    }
    const committed_configuration next = apply(after(1), large);
    const auto actions = replica.handle(accepted_here{next, large}, start);
    BOOST_TEST(sent<ticket_push>(actions).empty());
    BOOST_TEST(sent<number_notice>(actions).size() == 3);
    const auto answer = replica.handle(from("p", catch_up_request{1}), start);
    BOOST_TEST(sent<head_reply>(answer).size() == 1);
}

BOOST_AUTO_TEST_CASE(rollout_names_the_missing_and_tells_only_news) {
    rollout it;
    const std::vector<in_force_report> first = {{{vm_id("a"), 1}, 5}, {{vm_id("b"), 1}, 4}};
    it.take(first);
    rollout::position told = 0;
    BOOST_TEST(it.news(told).size() == 2);
    BOOST_TEST(it.news(told).empty());
    const in_force_report older{{vm_id("a"), 1}, 4};
    it.take({&older, 1});
    const in_force_report restarted{{vm_id("b"), 2}, 0};
    it.take({&restarted, 1});
    BOOST_TEST(it.news(told).size() == 1);
    const rollout_status status = it.status(5, {vm_id("a"), vm_id("b"), vm_id("c")});
    BOOST_TEST(status.in_force.size() == 1);
    BOOST_TEST(status.missing.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
