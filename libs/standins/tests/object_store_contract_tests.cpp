// The same table of cases runs against the store in memory and over HTTP.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>

#include "http/free_port.h"
#include "object_api/http_object_store.h"
#include "object_api/http_vm_list.h"
#include "standins/platform_server.h"

using namespace radishpulley;
using namespace radishpulley::object_api;
using namespace radishpulley::standins;
using namespace std::chrono_literals;

namespace {

// One store under test and the memory behind it, where faults are set.
struct subject {
    std::unique_ptr<platform_server> server;
    std::unique_ptr<memory_object_store> memory;
    std::unique_ptr<object_store> client;

    object_store& store() { return client ? *client : *memory; }
    memory_object_store& faults() { return server ? server->store() : *memory; }
};

subject make_subject(bool over_http) {
    subject it;
    if (over_http) {
        it.server = std::make_unique<platform_server>(http::free_address());
        it.client = std::make_unique<http_object_store>(it.server->address(), 5s);
    } else {
        it.memory = std::make_unique<memory_object_store>();
    }
    return it;
}

void conflict_is_reported(subject& it) {
    const auto first = std::get<stored>(it.store().put("a/b c", "1", 0));
    BOOST_TEST(std::get<conflict>(it.store().put("a/b c", "2", 0)).current == first.version);
    BOOST_TEST(std::get<object>(it.store().get("a/b c")).value == "1");
}

void lost_answer_is_unknown(subject& it) {
    it.faults().inject({store_fault::lost_answer});
    BOOST_TEST(std::holds_alternative<outcome_unknown>(it.store().put("a", "1", 0)));
    BOOST_TEST(std::get<object>(it.store().get("a")).value == "1");
}

void outage_is_unreachable(subject& it) {
    it.faults().set_down(true);
    BOOST_TEST(std::holds_alternative<unreachable>(it.store().get("a")));
    BOOST_TEST(std::holds_alternative<outcome_unknown>(it.store().put("a", "1", 0)));
    BOOST_TEST(std::holds_alternative<unreachable>(it.store().list("")));
    BOOST_TEST(std::holds_alternative<unreachable>(it.store().watch("", 1, duration(0))));
    it.faults().set_down(false);
    BOOST_TEST(std::holds_alternative<not_found>(it.store().get("a")));
}

void watch_shows_changes_and_gap(subject& it) {
    const auto start = std::get<watch_answer>(it.store().watch("x/", 0, duration(0))).revision;
    it.store().put("x/1", "1", 0);
    it.store().put("y/1", "1", 0);
    const auto answer = std::get<watch_answer>(it.store().watch("x/", start, 1s));
    BOOST_TEST(answer.changed == std::vector<std::string>{"x/1"}, boost::test_tools::per_element());
    it.faults().forget_changes();
    BOOST_TEST(!std::get<watch_answer>(it.store().watch("x/", start, duration(0))).complete);
}

void removed_object_can_be_created_again(subject& it) {
    const auto first = std::get<stored>(it.store().put("a", "1", 0));
    BOOST_TEST(std::holds_alternative<stored>(it.store().remove("a", first.version)));
    BOOST_TEST(std::holds_alternative<not_found>(it.store().get("a")));
    const auto again = std::get<stored>(it.store().put("a", "2", 0));
    BOOST_TEST(again.version > first.version);
}

void list_shows_names_in_order(subject& it) {
    it.store().put("p/2", "", 0);
    it.store().put("p/1", "", 0);
    it.store().put("q/1", "", 0);
    const auto names = std::get<std::vector<std::string>>(it.store().list("p/"));
    const std::vector<std::string> expected = {"p/1", "p/2"};
    BOOST_TEST(names == expected, boost::test_tools::per_element());
}

using contract_case = void (*)(subject&);
const std::vector<contract_case> cases = {conflict_is_reported,
                                          lost_answer_is_unknown,
                                          outage_is_unreachable,
                                          watch_shows_changes_and_gap,
                                          removed_object_can_be_created_again,
                                          list_shows_names_in_order};

}  // namespace

BOOST_AUTO_TEST_SUITE(object_store_contract)

BOOST_AUTO_TEST_CASE(store_in_memory) {
    for (const contract_case run : cases) {
        subject it = make_subject(false);
        run(it);
    }
}

BOOST_AUTO_TEST_CASE(store_over_http) {
    for (const contract_case run : cases) {
        subject it = make_subject(true);
        run(it);
    }
}

BOOST_AUTO_TEST_CASE(unreachable_server_is_unreachable) {
    http_object_store store(http::free_address(), 1s);
    BOOST_TEST(std::holds_alternative<unreachable>(store.get("a")));
    http_vm_list vms(http::free_address(), 1s);
    BOOST_TEST(std::holds_alternative<unreachable>(vms.read()));
}

BOOST_AUTO_TEST_CASE(vm_list_is_read_whole) {
    platform_server server(http::free_address());
    server.set_vms(
        {{vm_id("vm1"), zone_id("a"), region_id("solo"), "ws://127.0.0.1:1", vm_state::leaving}});
    http_vm_list vms(server.address(), 5s);
    const auto list = std::get<std::vector<vm_entry>>(vms.read());
    BOOST_TEST(list.size() == 1);
    BOOST_TEST(list[0].vm == vm_id("vm1"));
    BOOST_TEST((list[0].state == vm_state::leaving));
}

BOOST_AUTO_TEST_SUITE_END()
