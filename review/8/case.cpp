// Kept connections and a manifest that raises the limit of bodies.
#include "../standins-2/harness.h"

using namespace harness;

namespace {

constexpr int connections = 60;
constexpr std::size_t small_limit = 16'384;
constexpr std::size_t large_limit = 1'048'576;
constexpr std::size_t small_body = 4'000;
constexpr std::size_t large_body = 100'000;
constexpr int config_apply_ms = 2'500;

std::string manifest(int version, std::size_t max_body) {
    return "{\"version\":" + std::to_string(version) +
           ",\"routes\":[{\"name\":\"r1\",\"host\":\"desk.example\",\"pathPrefix\":\"/orders/\","
           "\"type\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":1,"
           "\"service\":\"desk\",\"maxAttempts\":1,\"public\":true,\"sticky\":false,"
           "\"resumable\":false}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\","
           "\"maxConns\":200,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":"
           "16384,\"maxBodyBytes\":" +
           std::to_string(max_body) + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

std::string head(const std::string& id) {
    return "Host: desk.example\r\nRadishpulley-Attempt-Id: " + id +
           "\r\nRadishpulley-Deadline-Ms: 2000\r\n";
}

}  // namespace

int main(int, char** argv) {
    const std::string program = argv[1];
    const std::string folder = argv[2];
    record log(argv[3]);
    std::atomic<int> runs{0};
    server engine([&](const message& it) {
        const std::string id = it.header("radishpulley-attempt-id");
        const std::string echo = "Radishpulley-Attempt-Id: " + id + "\r\n";
        if (it.header("radishpulley-expected-instance") != "i-1") {
            return response(421, echo + "Radishpulley-Not-Executed: 1\r\n", "");
        }
        ++runs;
        log.line("server runs " + id + " with " + std::to_string(it.body.size()) + " bytes");
        return response(200, echo + "Radishpulley-Response-Signature: s\r\n", "done");
    });
    store platform;
    const bool trouble = has_trouble();
    platform.put("config", "main", manifest(3, trouble ? small_limit : large_limit));
    platform.put("servers", "i-1",
                 "{\"service\":\"desk\",\"address\":\"" + engine.address() +
                     "\",\"zone\":\"z1\",\"version\":\"1\",\"slots\":64,\"state\":\"ready\","
                     "\"sequence\":1,\"born\":1700000000000}");
    daemon_process vm(
        program, folder, "edge-1", platform.address(),
        "shutdown_grace_s = 8\nretry_ratio = 0.2\nretry_reserve = 54\nlimit_reserve = 72000\n"
        "configuration_apply_ms = 2500\ndrain_ms = 2500\nversion_ms = 5000\n"
        "endpoints_check_fencing = true\n",
        "memory_mb = 260\ndescriptors = 4100\n");
    vm.start();
    vm.wait_until_ready();
    sleep_ms(4'000);  // in touch
    std::vector<client> clients;
    message answer;
    for (int i = 0; i < connections; ++i) {
        clients.emplace_back(vm.callers);
        const int status = clients.back().call("POST", "/orders/1", head("a" + std::to_string(i)),
                                               std::string(small_body, 'x'), answer);
        log.line("a" + std::to_string(i) + " answered " + std::to_string(status));
        if (status != 200) {
            cannot_run("the first request of a connection failed");
        }
    }
    if (trouble) {
        platform.put("config", "main", manifest(9, large_limit));
        log.line("manifest 9 acknowledged: maxBodyBytes " + std::to_string(large_limit));
    }
    sleep_ms(config_apply_ms + 2'500);
    int refused = 0;
    int unanswered = 0;
    const int runs_before = runs;
    for (int i = 0; i < connections; ++i) {
        const std::string id = "b" + std::to_string(i);
        const int status = clients[static_cast<std::size_t>(i)].call(
            "POST", "/orders/2", head(id), std::string(large_body, 'x'), answer);
        log.line(id + " answered " + std::to_string(status));
        refused += status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
        unanswered += status == 0;
    }
    // A new connection shows that the manifest is in force.
    client fresh(vm.callers);
    const int fresh_status =
        fresh.call("POST", "/orders/3", head("c0"), std::string(large_body, 'x'), answer);
    log.line("c0 on a new connection answered " + std::to_string(fresh_status));
    const int allowed = 5 + (2 * connections + 1) / 500;
    const std::string result = std::to_string(refused) + " proper requests refused for good, " +
                               std::to_string(unanswered) + " without an answer, " +
                               std::to_string(runs - runs_before) + " run; allowed " +
                               std::to_string(allowed);
    log.line(result);
    std::printf("%s\n", result.c_str());
    vm.kill();
    std::fflush(stdout);
    std::_Exit(refused > allowed ? 1 : 0);
}
