#include <boost/test/unit_test.hpp>

#include "../src/heap_trim.h"

namespace radishpulley::edge {

BOOST_AUTO_TEST_SUITE(heap_trim_tests)

// Guards against a process that keeps the memory of large bodies for ever.
BOOST_AUTO_TEST_CASE(a_heap_is_trimmed_once_much_was_freed) {
    heap_trim it;
    BOOST_TEST(!it.on_held(40'000'000));
    BOOST_TEST(!it.on_held(35'000'000));
    BOOST_TEST(it.on_held(1'000'000));
    BOOST_TEST(!it.on_held(1'000'000));
}

// Guards against processor time for searches of the heap under usual traffic.
BOOST_AUTO_TEST_CASE(a_heap_is_not_trimmed_for_small_changes) {
    heap_trim it;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(!it.on_held(i % 2 == 0 ? 5'000'000 : 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge
