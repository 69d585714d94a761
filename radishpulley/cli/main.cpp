// radishpulley: the operators' command line.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/time/time.h>

#include "cli/commands.h"
#include "cli/explain.h"
#include "cli/losses.h"
#include "http/client.h"

ABSL_FLAG(std::vector<std::string>, servers, {"http://127.0.0.1:8081"},
          "Administration addresses; the first that answers is used.");
ABSL_FLAG(std::string, token_file, "", "File with the operators' token.");
ABSL_FLAG(std::uint64_t, number, 0, "Ticket number; 0 for the newest plus one.");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "Longest wait.");
ABSL_FLAG(std::string, output, "table", "table or json");

namespace {

using namespace radishpulley;

constexpr std::chrono::milliseconds call_timeout{10'000};
constexpr std::size_t library_threads = 2;

std::string read_token() {
    const std::string path = absl::GetFlag(FLAGS_token_file);
    std::string token;
    std::ifstream in(path);
    std::getline(in, token);
    return token;
}

// Reads the files from `words[first]` on one after the other, or standard input where there are
// none; empty where one can't be read.
std::optional<std::stringstream> read_log(const std::vector<std::string>& words,
                                          std::size_t first) {
    std::stringstream all;
    if (words.size() <= first) {
        all << std::cin.rdbuf();
        return all;
    }
    for (std::size_t i = first; i < words.size(); ++i) {
        std::ifstream in(words[i]);
        if (!in) {
            std::cerr << words[i] << " can't be read\n";
            return std::nullopt;
        }
        all << in.rdbuf() << '\n';
    }
    return all;
}

// Runs `explain ID [FILE...]`.
cli::exit_code explain(const std::vector<std::string>& words) {
    if (words.size() < 2) {
        std::cerr << "usage: radishpulley explain ID [FILE...]\n";
        return cli::exit_code::usage;
    }
    auto log = read_log(words, 2);
    if (!log) {
        return cli::exit_code::usage;
    }
    if (!cli::explain_request(words[1], *log, std::cout)) {
        std::cerr << "no line is about request " << words[1] << "\n";
        return cli::exit_code::refused;
    }
    return cli::exit_code::done;
}

// Runs `losses [FILE...]`.
cli::exit_code losses(const std::vector<std::string>& words) {
    auto log = read_log(words, 1);
    if (!log) {
        return cli::exit_code::usage;
    }
    if (!cli::print_losses(*log, std::cout)) {
        std::cerr << "no request ended in these logs\n";
        return cli::exit_code::refused;
    }
    return cli::exit_code::done;
}

http::response call_first(const http::request& it) {
    for (const std::string& address : absl::GetFlag(FLAGS_servers)) {
        const http::client client(address, call_timeout, http::connection_reuse::one_per_call);
        const http::call_result result = client.call(it);
        if (const auto* answer = std::get_if<http::response>(&result)) {
            return *answer;
        }
    }
    return {0, {}, {}};
}

}  // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(std::string(cli::help_text()));
    absl::FlagsUsageConfig config;
    config.contains_help_flags = [](absl::string_view) { return false; };
    absl::SetFlagsUsageConfig(config);
    const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(rest.begin() + 1, rest.end());
    if (!words.empty() && words.front() == "explain") {
        return static_cast<int>(explain(words));
    }
    if (!words.empty() && words.front() == "losses") {
        return static_cast<int>(losses(words));
    }
    http::set_library_threads(library_threads);
    const std::string form = absl::GetFlag(FLAGS_output);
    if (form != "table" && form != "json") {
        std::cerr << "--output must be table or json\n";
        return static_cast<int>(cli::exit_code::usage);
    }
    const std::string token = read_token();
    cli::command_context context{[token](http::request it) {
                                     it.headers["Authorization"] = "Bearer " + token;
                                     return call_first(it);
                                 },
                                 std::cout,
                                 std::cerr,
                                 form == "json" ? cli::output_form::json : cli::output_form::table,
                                 absl::GetFlag(FLAGS_number),
                                 absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_timeout)),
                                 [](duration it) { std::this_thread::sleep_for(it); }};
    return static_cast<int>(cli::run_command(words, context));
}
