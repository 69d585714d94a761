#include <boost/test/unit_test.hpp>

#include "base/clock.h"
#include "base/digest.h"
#include "base/findings.h"

using namespace radishpulley;

BOOST_AUTO_TEST_SUITE(base)

BOOST_AUTO_TEST_CASE(digests_match_published_vectors) {
    BOOST_TEST(sha256_hex("abc") ==
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    BOOST_TEST(hmac_sha256_hex("Jefe", "what do ya want for nothing?") ==
               "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(constant_time_equal_compares_whole_text) {
    BOOST_TEST(constant_time_equal("abc", "abc"));
    BOOST_TEST(!constant_time_equal("abc", "abd"));
    BOOST_TEST(!constant_time_equal("abc", "ab"));
}

BOOST_AUTO_TEST_CASE(invalid_input_reports_all_findings) {
    findings found;
    found.add("a", "first");
    found.add("b", "second");
    BOOST_TEST(std::string(invalid_input(found).what()) == "a: first\nb: second\n");
}

BOOST_AUTO_TEST_CASE(virtual_clock_moves_only_when_told) {
    virtual_clock source;
    const time_point start = source.now();
    source.advance(std::chrono::seconds(2));
    BOOST_TEST((source.now() - start == std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
