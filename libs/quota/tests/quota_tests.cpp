#include <boost/test/unit_test.hpp>

#include "quota/quota_node.h"

using namespace radishpulley;
using namespace radishpulley::quota;

namespace {

const client_account_id account("sastro");

}  // namespace

BOOST_AUTO_TEST_SUITE(quota_suite)

BOOST_AUTO_TEST_CASE(one_daemon_admits_its_whole_burst_and_no_more) {
    virtual_clock source;
    const vm_incarnation self{vm_id("a"), 1};
    quota_node node(self, quota_policy());
    node.set_limits({{account, {to_amount(100), to_amount(1000)}}}, source.now());
    slot_table table;
    table.slots.assign(16, slot_entry{self, 1});
    node.set_table(table, source.now());
    const quota_output all = node.admit(1, account, to_amount(1000), source.now());
    BOOST_TEST_REQUIRE(all.decisions.size() == 1);
    BOOST_TEST(std::holds_alternative<admitted>(all.decisions[0]));
    const quota_output more = node.admit(2, account, to_amount(100), source.now());
    BOOST_TEST_REQUIRE(more.decisions.size() == 1);
    BOOST_TEST(std::holds_alternative<waiting>(more.decisions[0]));
    source.advance(std::chrono::milliseconds(300));
    const quota_output late = node.advance(source.now());
    BOOST_TEST_REQUIRE(late.decisions.size() == 1);
    BOOST_TEST(std::holds_alternative<refused>(late.decisions[0]));
}

BOOST_AUTO_TEST_SUITE_END()
