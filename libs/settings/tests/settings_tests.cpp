#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <sstream>

#include "settings/settings.h"

using namespace radishpulley;
using settings::list_settings;
using settings::load_settings;
using settings::parse_settings;

namespace {

const std::string sample_path = std::string(RP_SOURCE_DIR) + "/samples/radishpulleyd.toml";

std::string read_file(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    BOOST_REQUIRE_MESSAGE(in, path + " cannot be read");
    return text.str();
}

std::string with(const std::string& from, const std::string& to) {
    std::string text = read_file(sample_path);
    const std::size_t at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

std::string findings_of(const std::string& text) {
    try {
        parse_settings(text, "f.toml");
    } catch (const invalid_input& e) {
        return e.found().to_string();
    }
    return "";
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_sample_holds_every_setting_at_its_default) {
    const std::string text = read_file(sample_path);
    const auto defaults = list_settings(settings::settings());
    const auto sample = list_settings(load_settings(sample_path));
    BOOST_REQUIRE_EQUAL(sample.size(), defaults.size());
    for (std::size_t i = 0; i < defaults.size(); ++i) {
        const std::string& name = defaults[i].name;
        const std::string key = "\n" + name.substr(name.rfind('.') + 1) + " = ";
        BOOST_TEST(text.find(key) != std::string::npos, name);
        if (!defaults[i].required && name != "administration.token_file") {
            BOOST_TEST(sample[i].value == defaults[i].value, name);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_reference_page_names_every_setting) {
    const std::string page = read_file(std::string(RP_SOURCE_DIR) + "/docs/SETTINGS.md");
    for (const auto& it : list_settings(settings::settings())) {
        BOOST_TEST(page.find("`" + it.name + "`") != std::string::npos, it.name);
    }
}

BOOST_AUTO_TEST_CASE(one_fault_is_reported_at_its_place) {
    struct row {
        const char* from;
        const char* to;
        const char* expected;
    };
    const row rows[] = {
        {"[log]", "[log]\ncolour = 1", "log.colour is not a known setting"},
        {"[log]", "[logs]\n[log]", "logs is not a known setting"},
        {"\n[callers.tls]", "\ntls = 3\n[other]", "callers.tls must be a table"},
        {"id = \"vm-1\"", "", "vm.id is missing"},
        {"\"vm-1\"", "\"a b\"", "vm.id may hold only letters"},
        {"\"vm-1\"", "7", "vm.id must be a string"},
        {"max_body_bytes = 8388608", "max_body_bytes = -1", "callers.max_body_bytes must be an"},
        {"attempts_per_request = 3", "attempts_per_request = 2.0", "must be an integer from 1"},
        {"ratio = 0.1", "ratio = nan", "must be a number from 0 to 1"},
        {"\"1s\"\nheartbeat", "\"1 s\"\nheartbeat", "must be a duration such as"},
        {"\"1s\"\nheartbeat", "\"99999999999999999h\"\nheartbeat", "must be a duration such as"},
        {"\"3s\"", "\"1s\"", "heartbeat_deadline must be longer than peers.heartbeat_interval"},
        {":8082", ":8081", "peers.listen has the same port as administration.listen"},
        {"127.0.0.1:8081", "0.0.0.0:8080", "administration.listen has the same port as callers"},
        {"ws://127", "http://127", "peers.listen must be an address such as ws://"},
        {":8080", ":80801", "callers.listen must be an address"},
        {"key_file = \"\"", "key_file = \"k\"", "callers.tls.key_file and certificate_file must"},
        {"http://127.0.0.1:8080", "https://127.0.0.1:8080", "exactly where tls is set"},
        {"token_digest = \"\"", "token_digest = \"ab\"", "64 lower-case hexadecimal digits"},
        {"token_file = \"/run/radishpulley/administration-token\"", "", "token_digest must be set"},
        {"\"150s\"", "\"1s\"", "shutdown_grace must be at least callers.request_timeout"},
        {"\"info\"", "\"loud\"", "log.level must be \"info\""},
        {"[log]", "[log", "f.toml:"},
    };
    for (const row& it : rows) {
        const std::string found = findings_of(with(it.from, it.to));
        BOOST_TEST(found.find(it.expected) != std::string::npos,
                   it.to << " gave: " << found << " and not: " << it.expected);
    }
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together_with_line_and_column) {
    const std::string found = findings_of(
        "[vm]\n"
        "id = 5\n"
        "  speed = 1\n"
        "[peers]\n"
        "heartbeat_deadline = \"1s\"\n");
    for (const char* expected :
         {"f.toml:2:6: vm.id must be a string", "f.toml:3:3: vm.speed is not a known setting",
          "f.toml:5:22: peers.heartbeat_deadline must be longer", "f.toml: keys.secret_file is"}) {
        BOOST_TEST(found.find(expected) != std::string::npos, found);
    }
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_a_finding) {
    BOOST_CHECK_THROW(load_settings("no/such/file.toml"), invalid_input);
}
