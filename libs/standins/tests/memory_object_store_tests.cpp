#include <boost/test/unit_test.hpp>

#include "standins/memory_object_store.h"

using namespace radishpulley;
using namespace radishpulley::object_api;
using radishpulley::standins::memory_object_store;
using radishpulley::standins::store_fault;

BOOST_AUTO_TEST_SUITE(memory_object_store_suite)

BOOST_AUTO_TEST_CASE(conditional_updates_refuse_another_version) {
    memory_object_store store;
    const auto first = std::get<stored>(store.put("a", "1", 0));
    BOOST_TEST(std::get<conflict>(store.put("a", "2", 0)).current == first.version);
    BOOST_TEST(std::holds_alternative<stored>(store.put("a", "2", first.version)));
    BOOST_TEST(std::get<object>(store.get("a")).value == "2");
}

BOOST_AUTO_TEST_CASE(lost_answer_takes_effect_and_lost_call_does_not) {
    memory_object_store store;
    store.inject({store_fault::lost_answer, store_fault::lost_call});
    BOOST_TEST(std::holds_alternative<outcome_unknown>(store.put("a", "1", 0)));
    BOOST_TEST(std::holds_alternative<outcome_unknown>(store.put("b", "1", 0)));
    BOOST_TEST(std::holds_alternative<object>(store.get("a")));
    BOOST_TEST(std::holds_alternative<not_found>(store.get("b")));
}

BOOST_AUTO_TEST_CASE(watch_reports_changes_and_gaps) {
    memory_object_store store;
    const store_revision start = std::get<watch_answer>(store.watch("x/", 0, duration(0))).revision;
    store.put("x/1", "1", 0);
    store.put("y/1", "1", 0);
    const auto answer = std::get<watch_answer>(store.watch("x/", start, duration(0)));
    BOOST_TEST(answer.changed == std::vector<std::string>{"x/1"}, boost::test_tools::per_element());
    store.forget_changes();
    BOOST_TEST(!std::get<watch_answer>(store.watch("x/", start, duration(0))).complete);
}

BOOST_AUTO_TEST_SUITE_END()
