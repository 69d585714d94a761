#include <boost/test/unit_test.hpp>

#include "standins/memory_object_store.h"
#include "tickets/ticket_store.h"

using namespace radishpulley;
using namespace radishpulley::tickets;
using radishpulley::standins::memory_object_store;
using radishpulley::standins::store_fault;

namespace {

model::ticket account_ticket(model::ticket_number number, const std::string& account,
                             double rate = 10) {
    model::ticket it;
    it.number = number;
    it.set.emplace_back(model::client_account{client_account_id(account), rate, 100, 1});
    return it;
}

struct fixture {
    memory_object_store api;
    virtual_clock time;
    ticket_store store{api, time, [this](duration step) { time.advance(step); }};

    committed_configuration accept(const model::ticket& it) {
        return std::get<accepted>(store.accept(it)).after;
    }
    committed_configuration load() { return std::get<committed_configuration>(store.load()); }
    bool has_account(const std::string& name) {
        return load().value.find_account(client_account_id(name)) != nullptr;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ticket_store_suite, fixture)

BOOST_AUTO_TEST_CASE(numbers_decide_what_is_accepted) {
    accept(account_ticket(5, "a"));
    BOOST_TEST(std::holds_alternative<accepted_before>(store.accept(account_ticket(5, "a"))));
    BOOST_TEST(std::holds_alternative<refused_as_different>(store.accept(account_ticket(5, "b"))));
    const accept_result older = store.accept(account_ticket(4, "b"));
    BOOST_TEST(std::get<refused_as_older>(older).newest == 5);
    accept(account_ticket(9, "c"));
    BOOST_TEST(std::holds_alternative<accepted_before>(store.accept(account_ticket(5, "a"))));
    BOOST_TEST(load().at.previous == 5);
    BOOST_TEST(!has_account("b"));
}

BOOST_AUTO_TEST_CASE(findings_are_reported_together_and_nothing_is_applied) {
    accept(account_ticket(1, "a"));
    model::ticket it = account_ticket(2, "new");
    it.remove = {{model::resource_kind::key, "x"}, {model::resource_kind::endpoint, "y"}};
    const standins::store_counts before = api.counts();
    const accept_result result = store.accept(it);
    BOOST_TEST(std::get<refused_with_findings>(result).found.list().size() == 2);
    BOOST_TEST(api.counts().writes == before.writes);
    BOOST_TEST(!has_account("new"));
}

BOOST_AUTO_TEST_CASE(racing_operators_are_put_in_order_and_none_is_lost) {
    accept(account_ticket(1, "a"));
    ticket_store other(api, time, [this](duration step) { time.advance(step); });
    api.before_next_update([&] { other.accept(account_ticket(2, "b")); });
    accept(account_ticket(3, "c"));
    BOOST_TEST(has_account("b"));
    BOOST_TEST(has_account("c"));
    api.before_next_update([&] { other.accept(account_ticket(9, "d")); });
    const accept_result late = store.accept(account_ticket(4, "e"));
    BOOST_TEST(std::get<refused_as_older>(late).newest == 9);
    api.before_next_update([&] { other.accept(account_ticket(10, "f")); });
    const accept_result clash = store.accept(account_ticket(10, "g"));
    BOOST_TEST(std::holds_alternative<refused_as_different>(clash));
    BOOST_TEST(!has_account("g"));
}

// Every fault at every call of one accept: the answer is true, and a repeat is accepted once.
BOOST_AUTO_TEST_CASE(every_fault_at_every_step) {
    for (const store_fault fault : {store_fault::lost_call, store_fault::lost_answer}) {
        for (std::size_t step = 0; step < 4; ++step) {
            fixture it;
            it.accept(account_ticket(1, "a"));
            std::deque<store_fault> faults(step, store_fault::none);
            faults.push_back(fault);
            it.api.inject(std::move(faults));
            const accept_result result = it.store.accept(account_ticket(2, "b"));
            BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << " at call " << step) {
                BOOST_TEST(std::holds_alternative<accepted>(result));
                BOOST_TEST(it.has_account("b"));
                BOOST_TEST(it.load().at.history.size() == 2);
                const accept_result again = it.store.accept(account_ticket(2, "b"));
                BOOST_TEST(std::holds_alternative<accepted_before>(again));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_outage_is_told_truthfully) {
    const committed_configuration known = accept(account_ticket(1, "a"));
    api.set_down(true);
    BOOST_TEST(std::holds_alternative<not_accepted>(store.accept(account_ticket(2, "b"))));
    BOOST_TEST(std::holds_alternative<object_api::unreachable>(store.load()));
    api.set_down(false);
    // The head's update takes effect, and then nothing is answered any more.
    std::deque<store_fault> faults = {store_fault::none, store_fault::none,
                                      store_fault::lost_answer};
    faults.insert(faults.end(), 1000, store_fault::lost_call);
    api.inject(faults);
    const accept_result unknown = store.accept(account_ticket(2, "b"), known);
    BOOST_TEST(std::holds_alternative<acceptance_unknown>(unknown));
    api.inject({});
    BOOST_TEST(has_account("b"));
    BOOST_TEST(std::holds_alternative<accepted_before>(store.accept(account_ticket(2, "b"))));
}

BOOST_AUTO_TEST_CASE(a_change_among_29000_adapters_costs_few_calls) {
    constexpr int adapters = 29'000;
    model::ticket all;
    all.number = 1;
    all.set.emplace_back(
        model::service{service_id("drafts"), model::service_kind::model, "base", "", false});
    for (int n = 0; n < adapters; ++n) {
        const adapter_id id("adapter-" + std::to_string(n));
        all.set.emplace_back(model::adapter{id, service_id("drafts"), version_id("v1"), {}});
        all.set.emplace_back(
            model::adapter_version{id, version_id("v1"), "store:/" + id.str() + "/v1"});
    }
    const committed_configuration known = accept(all);
    const standins::store_counts before = api.counts();
    const accept_result result = store.accept(account_ticket(2, "a"), known);
    BOOST_TEST(std::holds_alternative<accepted>(result));
    BOOST_TEST(api.counts().reads - before.reads == 1);
    BOOST_TEST(api.counts().writes - before.writes == 2);
    const committed_configuration again = std::get<committed_configuration>(store.load(known));
    BOOST_TEST(again.at.number == 2);
    BOOST_TEST(api.counts().reads - before.reads == 3);
    BOOST_TEST(load().value.list(model::resource_kind::adapter).size() == adapters);
}

BOOST_AUTO_TEST_CASE(unused_shards_are_removed_and_those_of_a_racing_ticket_are_kept) {
    accept(account_ticket(1, "a", 1));
    accept(account_ticket(2, "a", 2));
    accept(account_ticket(3, "a", 3));
    ticket_store other(api, time, [this](duration step) { time.advance(step); });
    // The racing ticket has written its shard when the unused ones are removed.
    std::size_t removed = 0;
    api.before_next_update(
        [&] { api.before_next_update([&] { removed = other.remove_unused_shards(100); }); });
    accept(account_ticket(4, "b"));
    BOOST_TEST(removed == 2);
    BOOST_TEST(has_account("b"));
    BOOST_TEST(load().value.find_account(client_account_id("a"))->rate == 3);
}

BOOST_AUTO_TEST_SUITE_END()
