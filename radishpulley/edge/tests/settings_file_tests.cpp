#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

#include <unistd.h>

#include "../src/settings_file.h"

namespace radishpulley::edge::testing {
namespace {

// A file that its destructor removes.
class temporary_file {
public:
    temporary_file() : path_("/tmp/radishpulley-settings-" + std::to_string(getpid()) + ".toml") {}
    ~temporary_file() { std::remove(path_.c_str()); }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    const std::string& path() const { return path_; }
    void write(const std::string& text) const { std::ofstream(path_) << text; }

private:
    std::string path_;
};

std::string settings_text(int reserve) {
    return R"(
[vm]
id = "edge-1"
availability_zone = "a"
region = "r"
[regions]
a = "r"
[listen]
callers = "127.0.0.1:8080"
readiness = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
metrics = "127.0.0.1:9464"
[store]
address = "127.0.0.1:7000"
[bounds]
shutdown_grace_s = 8
retry_ratio = 0.2
limit_reserve = 0
endpoints_check_fencing = true
retry_reserve = )" +
           std::to_string(reserve) + "\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_file_tests)

BOOST_AUTO_TEST_CASE(poll_returns_settings_only_for_a_changed_and_valid_text) {
    const temporary_file file;
    file.write(settings_text(50));
    settings_file it(file.path());
    BOOST_TEST(!it.poll().has_value());
    file.write(settings_text(70));
    const auto changed = it.poll();
    BOOST_REQUIRE(changed.has_value());
    BOOST_TEST(changed->bounds.retry_reserve == 70);
    BOOST_TEST(!it.poll().has_value());
    file.write("[vm]\nid = 7\n");
    BOOST_TEST(!it.poll().has_value());
    file.write("");
    BOOST_TEST(!it.poll().has_value());
    file.write(settings_text(70));
    BOOST_TEST(it.poll().has_value());
}

BOOST_AUTO_TEST_CASE(poll_without_a_file_returns_nothing) {
    settings_file it("");
    BOOST_TEST(!it.poll().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::edge::testing
