// A few daemons as processes on loopback: outage, freeze, kill and stop, in this order on one
// fleet, because a new fleet takes half a minute until it commits tickets. Waits end when their
// condition holds; their limits are far above what is needed.
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <thread>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "fleet_of_processes/local_fleet.h"

using namespace radishpulley;
using namespace std::chrono_literals;
using fleet_of_processes::local_fleet;
using fleet_of_processes::wait_until;
using nlohmann::json;

namespace {

constexpr auto generous = 60s;

std::string completion(const std::string& model, int tokens, bool stream = false) {
    return json{{"model", model}, {"prompt", "p"}, {"max_tokens", tokens}, {"stream", stream}}
        .dump();
}

int status_of(local_fleet& fleet, std::size_t i, const std::string& key) {
    return fleet.call(i, key, "/v1/completions", completion("runners", 2)).status;
}

std::string run_state_of(const http::response& it) {
    const json value = json::parse(it.body, nullptr, false);
    return value.is_object() && value.contains("error") ? value["error"].value("run_state", "")
                                                        : "";
}

bool is_in_force(local_fleet& fleet, std::size_t i, int ticket) {
    const http::response it =
        fleet.administer(i, "GET", "/v1/tickets/" + std::to_string(ticket), "");
    return json::parse(it.body, nullptr, false).value("state", "") == "in_force";
}

std::string make_folder() {
    const auto path = std::filesystem::temp_directory_path() /
                      ("radishpulley-processes-" + std::to_string(getpid()));
    std::filesystem::create_directories(path);
    return path;
}

// Calls that must not be repeated need an agreement, and there is none in an outage.
void outage_of_the_object_api(local_fleet& fleet) {
    fleet.platform().store().set_down(true);
    // The copy of the keys becomes old before the daemons' promises have gone round.
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST(wait_until([&] { return status_of(fleet, i, "sastro-key") == 200; }, generous));
    }
    std::this_thread::sleep_for(5s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST(status_of(fleet, i, "sastro-key") == 200);
    }
    const http::response job =
        fleet.call(0, "sastro-key", "/v1/services/print/jobs", "in the outage", "outage-1");
    BOOST_TEST(run_state_of(job) == "not_run");
    BOOST_TEST(fleet.application().runs_of("in the outage") == 0);
    const http::response ticket = fleet.administer(
        0, "POST", "/v1/tickets", R"({"number": 90, "remove": {"keys": ["k-sastro"]}})");
    BOOST_TEST(ticket.status != 200);
    fleet.platform().store().set_down(false);
    BOOST_TEST(wait_until(
        [&] {
            return fleet
                       .call(0, "sastro-key", "/v1/services/print/jobs", "in the outage",
                             "outage-1")
                       .status == 201;
        },
        generous));
    BOOST_TEST(fleet.application().runs_of("in the outage") == 1);
}

// A daemon that wakes must not serve by the keys that it knew before.
void freeze_while_a_key_is_withdrawn(local_fleet& fleet) {
    BOOST_TEST(fleet.call(2, "rhwymo-key", "/v1/models", "").status == 200);
    fleet.vm(2).process->signal(SIGSTOP);
    fleet.accept(0, R"({"number": 91, "remove": {"keys": ["k-rhwymo"]}})");
    std::this_thread::sleep_for(8s);
    fleet.vm(2).process->signal(SIGCONT);
    for (int i = 0; i < 20; ++i) {
        const int status = fleet.call(2, "rhwymo-key", "/v1/models", "").status;
        BOOST_TEST((status == 401 || status == 503));
    }
    BOOST_TEST(wait_until([&] { return is_in_force(fleet, 0, 91); }, generous));
    BOOST_TEST(wait_until([&] { return status_of(fleet, 2, "sastro-key") == 200; }, generous));
}

// What a killed daemon held comes back with its VM's next start.
void kill_and_replace(local_fleet& fleet) {
    fleet.vm(1).process->signal(SIGKILL);
    BOOST_TEST(fleet.vm(1).process->wait() == 128 + SIGKILL);
    fleet.start(1);
    BOOST_TEST(fleet.wait_ready(1, generous));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST(wait_until([&] { return status_of(fleet, i, "sastro-key") == 200; }, generous));
        BOOST_TEST(wait_until(
            [&] {
                return fleet.call(i, "sastro-key", "/v1/completions", completion("stock", 2))
                           .status == 200;
            },
            generous));
    }
}

void kill_while_a_job_runs(local_fleet& fleet) {
    fleet.application().lose_next_answer();
    fleet.call(1, "sastro-key", "/v1/services/print/jobs", "album", "album-1");
    fleet.vm(1).process->signal(SIGKILL);
    fleet.vm(1).process->wait();
    const http::response again =
        fleet.call(0, "sastro-key", "/v1/services/print/jobs", "album", "album-1");
    BOOST_TEST(again.status == 409);
    BOOST_TEST(fleet.application().runs_of("album") == 1);
}

// Checks that the stream holds each of 20 tokens once, in order, and its proper end.
void check_whole_stream(const http::response& stream) {
    std::size_t at = 0;
    for (int n = 0; n < 20; ++n) {
        const std::string token = "\"t" + std::to_string(n) + " \"";
        at = stream.body.find(token, at);
        BOOST_TEST((at != std::string::npos), "token " << n << " is missing");
        BOOST_TEST(stream.body.find(token, at + 1) == std::string::npos);
    }
    BOOST_TEST(stream.body.find("data: [DONE]") != std::string::npos);
}

void cut_stream_is_resumed(local_fleet& fleet) {
    for (std::size_t i = 0; i < 2; ++i) {
        fleet.engine(i).cut_next_stream_after(5);
    }
    check_whole_stream(
        fleet.call(0, "sastro-key", "/v1/completions", completion("runners", 20, true)));
}

void silent_stream_is_resumed(local_fleet& fleet) {
    for (std::size_t i = 0; i < 2; ++i) {
        fleet.engine(i).cut_next_stream_after(0);
        fleet.engine(i).silence_next_stream_after(5);
    }
    check_whole_stream(
        fleet.call(0, "sastro-key", "/v1/completions", completion("runners", 20, true)));
    for (std::size_t i = 0; i < 2; ++i) {
        fleet.engine(i).silence_next_stream_after(0);
    }
}

void stop_in_mid_stream(local_fleet& fleet) {
    http::response stream;
    std::thread caller([&] {
        stream = fleet.call(0, "sastro-key", "/v1/completions", completion("runners", 400, true));
    });
    std::this_thread::sleep_for(300ms);
    fleet.vm(0).process->signal(SIGTERM);
    caller.join();
    BOOST_TEST(stream.body.find("t399 ") != std::string::npos);
    BOOST_TEST(stream.body.find("data: [DONE]") != std::string::npos);
    BOOST_TEST(fleet.vm(0).process->wait() == 0);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(processes)

BOOST_AUTO_TEST_CASE(outage_freeze_kill_cut_and_stop) {
    fleet_of_processes::local_fleet_settings settings;
    settings.daemon_program = RADISHPULLEYD_PATH;
    settings.folder = make_folder();
    local_fleet fleet(settings);
    fleet.start_all();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_REQUIRE(fleet.wait_ready(i, generous));
    }
    fleet.accept(0, fleet.first_ticket(1));
    BOOST_REQUIRE(wait_until([&] { return is_in_force(fleet, 1, 1); }, generous));
    BOOST_REQUIRE(wait_until([&] { return status_of(fleet, 0, "sastro-key") == 200; }, generous));
    cut_stream_is_resumed(fleet);
    silent_stream_is_resumed(fleet);
    outage_of_the_object_api(fleet);
    freeze_while_a_key_is_withdrawn(fleet);
    kill_and_replace(fleet);
    kill_while_a_job_runs(fleet);
    stop_in_mid_stream(fleet);
    for (std::size_t i = 0; i < 2; ++i) {
        BOOST_TEST(fleet.engine(i).record().keys_seen == 0);
        BOOST_TEST(fleet.engine(i).record().evictions_in_use == 0);
    }
    std::filesystem::remove_all(settings.folder);
}

BOOST_AUTO_TEST_SUITE_END()
