#include <boost/test/unit_test.hpp>

#include "base/findings.h"
#include "quota/slot_owner.h"
#include "quota/slot_registry.h"
#include "standins/memory_object_store.h"

using namespace radishpulley;
using namespace radishpulley::quota;
using radishpulley::standins::memory_object_store;
using radishpulley::standins::store_fault;

namespace {

constexpr std::size_t slot_count = 16;

vm_incarnation vm(const char* name, incarnation_number incarnation = 1) {
    return {vm_id(name), incarnation};
}

fleet_view fleet_of(const vm_incarnation& self, const std::set<vm_id>& listed) {
    return {self, listed, listed, {vm_id("a"), vm_id("b"), vm_id("c")}, {}};
}

const std::set<vm_id> all = {vm_id("a"), vm_id("b"), vm_id("c")};

std::size_t owned_by(const slot_table& table, const vm_incarnation& owner) {
    std::size_t n = 0;
    for (const slot_entry& it : table.slots) {
        n += it.owner == owner ? 1 : 0;
    }
    return n;
}

const time_point start{std::chrono::hours(1)};

// The owner of the only slot, with a loan request from `b`.
struct lending_owner {
    explicit lending_owner(token_amount wanted) : owner(vm("a"), quota_policy()) {
        const client_account_id account("sastro");
        owner.set_limits({{account, {to_amount(10), to_amount(100)}}}, start);
        owner.set_table(table(), start);
        request.key = {0, 1, account, 1};
        request.wanted = wanted;
        request.lifetime = quota_policy().loan_lifetime;
    }

    static slot_table table() { return {{slot_entry{vm("a"), 1}}, {}}; }

    // Requests a new loan and returns whether any of it is granted.
    bool lends(time_point now) {
        ++request.key.loan;
        const outgoing_messages out = owner.receive(vm("b"), request, now);
        const auto* grant = std::get_if<loan_grant>(&out.front().message);
        return grant != nullptr && grant->granted > 0;
    }

    slot_owner owner;
    loan_request request;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_registry_suite)

BOOST_AUTO_TEST_CASE(every_slot_has_one_owner_and_the_table_survives_serialization) {
    memory_object_store store;
    std::size_t sum = 0;
    for (const char* name : {"a", "b", "c"}) {
        slot_registry registry(store, slot_count);
        BOOST_CHECK(registry.claim(fleet_of(vm(name), all)) == registry_outcome::current);
        sum += owned_by(registry.table(), vm(name));
        BOOST_CHECK(parse_slot_table(to_text(registry.table())) == registry.table());
    }
    BOOST_TEST(sum == slot_count);
    BOOST_CHECK_THROW(parse_slot_table(R"({"slots": [{"fence": -1}]})"), invalid_input);
}

BOOST_AUTO_TEST_CASE(a_racing_claim_and_lost_answers_leave_one_owner) {
    memory_object_store store;
    slot_registry first(store, slot_count);
    slot_registry second(store, slot_count);
    store.before_next_update([&] { second.claim(fleet_of(vm("b"), all)); });
    BOOST_CHECK(first.claim(fleet_of(vm("a"), all)) == registry_outcome::current);
    BOOST_TEST(owned_by(first.table(), vm("b")) > 0);
    slot_registry third(store, slot_count);
    store.inject({store_fault::none, store_fault::lost_answer});
    BOOST_CHECK(third.claim(fleet_of(vm("c"), all)) == registry_outcome::current);
    for (const slot_entry& it : third.table().slots) {
        BOOST_TEST(it.fence == 1);
    }
}

BOOST_AUTO_TEST_CASE(an_outage_keeps_the_last_table_read) {
    memory_object_store store;
    slot_registry registry(store, slot_count);
    registry.claim(fleet_of(vm("a"), {vm_id("a")}));
    store.set_down(true);
    BOOST_CHECK(registry.claim(fleet_of(vm("a"), all)) == registry_outcome::unreachable);
    BOOST_CHECK(registry.release(vm("a")) == registry_outcome::unreachable);
    BOOST_TEST(owned_by(registry.table(), vm("a")) == slot_count);
}

BOOST_AUTO_TEST_CASE(slots_are_reassigned_only_when_the_owner_is_certainly_dead) {
    slot_table table;
    table.slots.assign(slot_count, slot_entry{vm("a"), 1});
    const std::set<vm_id> without_a = {vm_id("b"), vm_id("c")};
    fleet_view fleet = fleet_of(vm("b"), without_a);
    fleet.listed = all;
    BOOST_CHECK(claim_slots(table, fleet) == table);
    fleet.listed = without_a;
    BOOST_TEST(owned_by(claim_slots(table, fleet), vm("b")) > 0);
    fleet.seen = without_a;
    BOOST_CHECK(claim_slots(table, fleet) == table);
    fleet.incarnations[vm_id("a")] = 2;
    BOOST_TEST(owned_by(claim_slots(table, fleet), vm("b")) > 0);
    const slot_table released = release_slots(table, vm("a"));
    BOOST_TEST(owned_by(claim_slots(released, fleet_of(vm("a", 2), {vm_id("a")})), vm("a", 2)) ==
               slot_count);
}

BOOST_AUTO_TEST_CASE(retired_slots_are_handed_over_to_a_daemon_that_is_cut_off) {
    memory_object_store store;
    slot_registry owner(store, slot_count);
    owner.claim(fleet_of(vm("a"), {vm_id("a")}));
    slot_registry recipient(store, slot_count);
    fleet_view cut_off = fleet_of(vm("b"), all);
    cut_off.is_cut_off = true;
    recipient.claim(cut_off);
    BOOST_TEST(owned_by(recipient.table(), vm("b")) == 0);
    BOOST_CHECK(parse_slot_table(to_text(recipient.table())) == recipient.table());
    fleet_view idle = fleet_of(vm("a"), all);
    idle.retired = {0, 5};
    BOOST_CHECK(owner.claim(idle) == registry_outcome::current);
    BOOST_TEST(owned_by(owner.table(), vm("b")) == 2);
    BOOST_TEST(owner.table().slots[5].fence == 2);
    recipient.claim(fleet_of(vm("b"), all));
    BOOST_TEST(recipient.table().wishes.empty());
    owner.claim(idle);
    BOOST_TEST(owned_by(owner.table(), vm("b")) == 2);
}

BOOST_AUTO_TEST_CASE(a_retired_slot_lends_again_only_after_a_table_or_a_resume) {
    lending_owner lender(to_amount(1));
    BOOST_TEST(lender.lends(start));
    BOOST_TEST(lender.owner.retire_idle(start + std::chrono::milliseconds(999)).empty());
    const time_point idle = start + std::chrono::seconds(1);
    BOOST_TEST(lender.owner.retire_idle(idle).size() == 1U);
    BOOST_TEST(!lender.lends(idle));
    lender.owner.set_table(lending_owner::table(), idle);
    BOOST_TEST(lender.lends(idle));
    // Lending resumes without a table, as when the store was unreachable and nothing was written.
    lender.owner.retire_idle(idle + std::chrono::seconds(1));
    BOOST_TEST(!lender.lends(idle + std::chrono::seconds(1)));
    lender.owner.resume_retired();
    BOOST_TEST(lender.lends(idle + std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_write_without_an_answer_leaves_the_registry_unsettled) {
    memory_object_store store;
    slot_registry registry(store, slot_count);
    registry.claim(fleet_of(vm("a"), {vm_id("a")}));
    fleet_view idle = fleet_of(vm("a"), all);
    idle.is_cut_off = true;
    // Every write goes unanswered and may still take effect, so a claim with nothing to
    // change does not settle the registry.
    using fault = store_fault;
    store.inject({fault::none, fault::lost_call, fault::none, fault::lost_call, fault::none,
                  fault::lost_call, fault::none, fault::lost_call});
    BOOST_CHECK(registry.claim(idle) != registry_outcome::current);
    BOOST_TEST(!registry.is_settled());
    idle.is_cut_off = false;
    BOOST_CHECK(registry.claim(idle) == registry_outcome::unknown);
    slot_registry other(store, slot_count);
    fleet_view cut_off = fleet_of(vm("b"), all);
    cut_off.is_cut_off = true;
    other.claim(cut_off);
    BOOST_CHECK(registry.claim(idle) == registry_outcome::current);
    BOOST_TEST(registry.is_settled());
}

BOOST_AUTO_TEST_CASE(an_owner_that_was_paused_or_replaced_lends_nothing) {
    lending_owner lender(to_amount(10));
    BOOST_TEST(lender.lends(start));
    const time_point later = start + std::chrono::minutes(1);
    BOOST_TEST(!lender.lends(later));
    BOOST_TEST(lender.owner.needs_table());
    lender.owner.set_table(lending_owner::table(), later);
    BOOST_TEST(lender.lends(later));
    // A table older than the one in use changes nothing.
    lender.owner.set_table({{slot_entry{vm("c"), 0}}}, later);
    BOOST_TEST(lender.lends(later));
    lender.owner.set_table({{slot_entry{vm("c"), 2}}}, later);
    BOOST_TEST(!lender.lends(later));
    // A slot that is owned again starts empty and lends once the loans of its former owner have
    // expired.
    lender.owner.set_table({{slot_entry{vm("a"), 3}}}, later);
    lender.request.key.fence = 3;
    BOOST_TEST(!lender.lends(later + quota_policy().loan_lifetime));
    BOOST_TEST(lender.lends(later + quota_policy().loan_lifetime + std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
