#include <boost/test/unit_test.hpp>

#include "routing/hints.h"
#include "routing/peer_reachability.h"

namespace radishpulley::routing {
namespace {

using std::chrono::seconds;

const vm_id vm("vm-1");
const service_id captions("captions");
const service_id orders("orders");

// Length of a status of a VM that has nothing to tell, as releases before this field send it.
constexpr std::size_t empty_status_bytes = 22;

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_reachability_tests)

BOOST_AUTO_TEST_CASE(a_statement_is_valid_until_the_next_or_its_end) {
    virtual_clock time;
    peer_reachability it;
    it.on_status(vm, {captions}, time.now(), seconds(2));
    BOOST_TEST(it.states_unreached(vm, captions, time.now()));
    BOOST_TEST(!it.states_unreached(vm, orders, time.now()));
    BOOST_TEST((it.without(captions, time.now()) == std::vector<vm_id>{vm}));
    it.on_status(vm, {orders}, time.now(), seconds(2));
    BOOST_TEST(!it.states_unreached(vm, captions, time.now()));
    time.advance(seconds(2));
    BOOST_TEST(!it.states_unreached(vm, orders, time.now()));
    it.drop_expired(time.now());
    BOOST_TEST(it.without(orders, time.now()).empty());
    it.on_status(vm, {orders}, time.now(), seconds(2));
    it.on_status(vm, {}, time.now(), seconds(2));
    BOOST_TEST(!it.states_unreached(vm, orders, time.now()));
}

BOOST_AUTO_TEST_CASE(unreached_services_round_trip_through_the_encoding) {
    vm_status status;
    status.unreached_services = {captions, orders};
    const hint_message back = decode_hint(encode({{vm, 1}, status}));
    BOOST_TEST((std::get<vm_status>(back.body).unreached_services ==
                std::vector<service_id>{captions, orders}));
}

// Guards against statuses that grow, or that older daemons and this one no longer understand.
BOOST_AUTO_TEST_CASE(a_status_without_unreached_services_is_the_one_of_older_daemons) {
    const std::string bytes = encode({{vm, 1}, vm_status{}});
    BOOST_TEST(bytes.size() == empty_status_bytes);
    const hint_message back = decode_hint(bytes);
    BOOST_TEST(std::get<vm_status>(back.body).unreached_services.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::routing
