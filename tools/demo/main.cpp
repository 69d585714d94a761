// The demonstration: three daemons and all stand-ins on loopback, step by step.
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>
#include <thread>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "fleet_of_processes/local_fleet.h"

namespace {

using namespace radishpulley;
using namespace std::chrono_literals;
using fleet_of_processes::local_fleet;
using fleet_of_processes::wait_until;
using nlohmann::json;

// Prints each step and remembers whether all of them held.
class step_list {
public:
    void check(bool holds, const std::string& what, const std::string& seen = {}) {
        std::printf("%s %s%s%s\n", holds ? "ok  " : "FAIL", what.c_str(), seen.empty() ? "" : ": ",
                    seen.c_str());
        std::fflush(stdout);
        all_hold_ = all_hold_ && holds;
    }
    bool all_hold() const { return all_hold_; }

private:
    bool all_hold_ = true;
};

std::string completion(const std::string& model, int tokens, bool stream) {
    return json{{"model", model},
                {"prompt", "a short event brief"},
                {"max_tokens", tokens},
                {"stream", stream}}
        .dump();
}

std::string code_of(const http::response& it) {
    const json value = json::parse(it.body, nullptr, false);
    if (!value.is_object() || !value.contains("error")) {
        return "status " + std::to_string(it.status);
    }
    return std::to_string(it.status) + " " + value["error"].value("code", "?") + " " +
           value["error"].value("run_state", "?");
}

void show_requests(local_fleet& fleet, step_list& steps) {
    const http::response whole =
        fleet.call(0, "sastro-key", "/v1/completions", completion("runners", 4, false));
    steps.check(whole.status == 200 && whole.body.find("runners@v1") != std::string::npos,
                "a completion of adapter runners through vm0", code_of(whole));
    const http::response stream =
        fleet.call(1, "rhwymo-key", "/v1/chat/completions", completion("spines@v1", 6, true));
    steps.check(stream.status == 200 && stream.body.find("data: [DONE]") != std::string::npos,
                "a streamed completion of adapter spines through vm1",
                std::to_string(stream.body.size()) + " bytes");
    const http::response stranger =
        fleet.call(2, "sastro-key", "/v1/completions", completion("spines", 4, false));
    steps.check(stranger.status == 404, "an adapter of another client account is not found",
                code_of(stranger));
    const http::response no_key =
        fleet.call(2, "", "/v1/completions", completion("runners", 4, false));
    steps.check(no_key.status == 401, "a request without a key is refused", code_of(no_key));
}

void show_applications(local_fleet& fleet, step_list& steps) {
    const http::response first =
        fleet.call(0, "rhwymo-key", "/v1/services/print/jobs", "album 1", "job-1");
    const http::response again =
        fleet.call(1, "rhwymo-key", "/v1/services/print/jobs", "album 1", "job-1");
    steps.check(first.status == 201 && again.status == 201 && again.body == first.body &&
                    fleet.application().runs_of("album 1") == 1,
                "a print job repeated through another VM runs once and has the stored answer",
                first.body);
    fleet.application().lose_next_answer();
    const http::response lost =
        fleet.call(0, "rhwymo-key", "/v1/services/print/jobs", "album 2", "job-2");
    const http::response unknown =
        fleet.call(2, "rhwymo-key", "/v1/services/print/jobs", "album 2", "job-2");
    steps.check(fleet.application().runs_of("album 2") == 1,
                "a print job whose answer was lost is not run again",
                code_of(lost) + ", then " + code_of(unknown));
}

void show_limit(local_fleet& fleet, step_list& steps) {
    int admitted = 0;
    http::response refused;
    for (int i = 0; i < 12 && refused.status != 429; ++i) {
        const http::response it = fleet.call(i % fleet.size(), "rhwymo-key", "/v1/completions",
                                             completion("stock", 200, false));
        admitted += it.status == 200 ? 1 : 0;
        refused = it;
    }
    steps.check(refused.status == 429 && !refused.header("Retry-After").empty(),
                "a client account over its rate and burst is refused on every VM",
                std::to_string(admitted) + " admitted, then " + code_of(refused) +
                    ", retry after " + std::string(refused.header("Retry-After")) + " s");
}

void show_withdrawal(local_fleet& fleet, step_list& steps) {
    fleet.accept(2, R"({"number": 2, "remove": {"keys": ["k-rhwymo"]}})");
    bool all = true;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        all = all &&
              wait_until(
                  [&] { return fleet.call(i, "rhwymo-key", "/v1/models", "").status == 401; }, 3s);
    }
    steps.check(all, "a withdrawn key is refused on every VM within 3 s");
}

void show_drain(local_fleet& fleet, step_list& steps) {
    json ticket = json::parse(fleet.first_ticket(3));
    json endpoint = ticket["set"]["endpoints"][0];
    endpoint["draining"] = true;
    fleet.accept(0, json{{"number", 3}, {"set", {{"endpoints", {endpoint}}}}}.dump());
    wait_until(
        [&] {
            const auto status = json::parse(fleet.administer(0, "GET", "/v1/tickets/3", "").body);
            return status.value("state", "") == "in_force";
        },
        4s);
    const std::uint64_t before = fleet.engine(0).record().requests;
    int served = 0;
    for (int i = 0; i < 9; ++i) {
        served += fleet.call(i % fleet.size(), "sastro-key", "/v1/completions",
                             completion("runners", 2, false))
                              .status == 200
                      ? 1
                      : 0;
    }
    steps.check(served == 9 && fleet.engine(0).record().requests == before,
                "a draining endpoint gets no new work and others serve",
                std::to_string(served) + " of 9 served");
}

void show_shutdown(local_fleet& fleet, step_list& steps) {
    http::response stream;
    std::thread caller([&] {
        stream = fleet.call(1, "sastro-key", "/v1/completions", completion("runners", 600, true));
    });
    std::this_thread::sleep_for(500ms);
    fleet.vm(1).process->signal(SIGTERM);
    caller.join();
    const int status = fleet.vm(1).process->wait();
    steps.check(stream.status == 200 && stream.body.find("data: [DONE]") != std::string::npos &&
                    stream.body.find("t599 ") != std::string::npos && status == 0,
                "a daemon stopped in mid-stream finishes the stream and exits 0",
                "exit status " + std::to_string(status));
    const http::response other =
        fleet.call(0, "sastro-key", "/v1/completions", completion("runners", 2, false));
    steps.check(other.status == 200, "the other daemons go on", std::to_string(other.status));
}

void show_endpoints(local_fleet& fleet, step_list& steps) {
    std::uint64_t keys = 0;
    std::uint64_t in_use = 0;
    for (std::size_t i = 0; i < 2; ++i) {
        keys += fleet.engine(i).record().keys_seen;
        in_use += fleet.engine(i).record().evictions_in_use;
    }
    steps.check(keys == 0, "no endpoint saw a caller's key");
    steps.check(in_use == 0, "no adapter in use was evicted");
}

int run(const std::string& program, const std::string& folder) {
    step_list steps;
    local_fleet fleet({program, folder});
    fleet.start_all();
    bool ready = true;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        ready = ready && fleet.wait_ready(i, 20s);
    }
    steps.check(ready, "three daemons are ready");
    fleet.accept(0, fleet.first_ticket(1));
    const bool in_force = wait_until(
        [&] {
            const auto answer = fleet.administer(1, "GET", "/v1/tickets/1", "");
            return json::parse(answer.body, nullptr, false).value("state", "") == "in_force";
        },
        4s);
    steps.check(in_force, "ticket 1 is in force on every VM within 4 s");
    show_requests(fleet, steps);
    show_applications(fleet, steps);
    show_limit(fleet, steps);
    show_withdrawal(fleet, steps);
    show_drain(fleet, steps);
    show_shutdown(fleet, steps);
    show_endpoints(fleet, steps);
    return steps.all_hold() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::fputs("usage: rp_demo <path of radishpulleyd>\n", stderr);
        return 2;
    }
    const auto folder =
        std::filesystem::temp_directory_path() / ("radishpulley-demo-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::printf("logs are in %s\n", folder.c_str());
    try {
        return run(argv[1], folder);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "the demonstration failed: %s\n", e.what());
        return 1;
    }
}
