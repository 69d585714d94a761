#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include "telemetry/line_writer.h"

namespace radishpulley::telemetry {
namespace {

// A pipe whose ends do not block.
struct narrow_pipe {
    narrow_pipe() {
        BOOST_REQUIRE(pipe(ends.data()) == 0);
        for (const int end : ends) {
            fcntl(end, F_SETFL, fcntl(end, F_GETFL) | O_NONBLOCK);
        }
    }
    ~narrow_pipe() {
        close(ends[0]);
        close(ends[1]);
    }
    narrow_pipe(const narrow_pipe&) = delete;
    narrow_pipe& operator=(const narrow_pipe&) = delete;

    // Reads what is there, at most `most` bytes.
    std::string read_some(std::size_t most) const {
        std::string out(most, '\0');
        const ssize_t n = read(ends[0], out.data(), out.size());
        out.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
        return out;
    }

    std::array<int, 2> ends{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(line_writer_tests)

BOOST_AUTO_TEST_CASE(lines_are_written_whole_or_not_at_all) {
    const narrow_pipe it;
    line_writer writer(it.ends[1]);
    const std::string line(700, 'x');
    std::string text;
    std::size_t written = 0;
    // The reader is slower than the writer, and reads across the lines' ends.
    for (int i = 0; i < 2'000; ++i) {
        written += writer.write(line) ? 1 : 0;
        text += it.read_some(333);
    }
    for (std::string more = it.read_some(65'536); !more.empty(); more = it.read_some(65'536)) {
        text += more;
    }
    BOOST_TEST(written < 2'000U);
    BOOST_TEST(writer.take_dropped() == 2'000U - written);
    BOOST_TEST(writer.take_dropped() == 0U);
    BOOST_TEST(text.size() == written * (line.size() + 1));
    for (std::size_t at = line.size(); at < text.size(); at += line.size() + 1) {
        BOOST_REQUIRE(text[at] == '\n');
    }
}

BOOST_AUTO_TEST_CASE(a_line_that_is_too_long_is_cut) {
    const narrow_pipe it;
    line_writer writer(it.ends[1]);
    BOOST_TEST(writer.write(std::string(9'000, 'x')));
    const std::string text = it.read_some(65'536);
    BOOST_TEST(text.size() == max_line_size);
    BOOST_TEST(text.back() == '\n');
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::telemetry
