#include <boost/test/unit_test.hpp>

#include "gateway/body_buffer.h"

namespace radishpulley::gateway {
namespace {

constexpr std::size_t block_bytes = 16'384;

// Returns bytes that differ from their neighbours.
std::string text_of(std::size_t bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes; ++i) {
        out += static_cast<char>('a' + i % 23);
    }
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(body_buffer_tests)

// Guards against parts that are lost or change places between blocks.
BOOST_AUTO_TEST_CASE(parts_of_any_size_form_the_body) {
    const std::string whole = text_of(200'000);
    for (const std::size_t part : {1UL, 7UL, 1'000UL, 16'384UL, 50'000UL, 200'000UL}) {
        body_buffer it;
        for (std::size_t at = 0; at < whole.size(); at += part) {
            it.append(whole.substr(at, part));
        }
        BOOST_TEST(it.size() == whole.size());
        BOOST_TEST(it.take() == whole);
        BOOST_TEST(it.size() == 0U);
        BOOST_TEST(it.capacity() == 0U);
    }
}

// Guards against memory of a multiple of the body, whatever the size of its parts.
BOOST_AUTO_TEST_CASE(memory_exceeds_the_body_by_one_block_at_most) {
    for (const std::size_t part : {1UL, 3UL, 1'000UL}) {
        body_buffer it;
        for (std::size_t at = 0; at < 100'000; at += part) {
            it.append(text_of(part));
            BOOST_TEST(it.capacity() >= it.size());
        }
        // A part that does not fit leaves less than its own size unused in each block.
        const std::size_t unused = (it.size() / block_bytes + 1) * part;
        BOOST_TEST(it.capacity() <= it.size() + block_bytes + unused);
    }
}

// Guards against bytes of one request in the next.
BOOST_AUTO_TEST_CASE(a_cleared_buffer_holds_nothing) {
    body_buffer it;
    it.append(text_of(40'000));
    it.clear();
    BOOST_TEST(it.capacity() == 0U);
    it.append("next");
    BOOST_TEST(it.take() == "next");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway
