// One tenant's long prompts reach all daemons at the same moment.
#include "../standins-2/harness.h"

#include <memory>

using namespace harness;

namespace {

constexpr int daemons = 7;
constexpr long rate = 18'000;
constexpr long burst = 18'000;
constexpr long slack = 72'000;
constexpr double window_s = 8;
constexpr double overage = 0.1;
// A plan of the sheet's mean size, and one of the largest size in the site file: 6,290 + 11,300
// shared and 18,300 own tokens in, 200 out.
constexpr long usual_tokens = 9'290;
constexpr long long_tokens = 36'000;
// 7 x 36,000 tokens in 6.5 s are 3.9 times the tenant's usual 10,000 tokens a second.
constexpr int seconds_after = 7;

std::string manifest() {
    return "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"plan.example\",\"pathPrefix\":"
           "\"/plans/\",\"type\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,"
           "\"priority\":1,\"service\":\"plans\",\"maxAttempts\":1,\"public\":false,\"sticky\":"
           "false,\"resumable\":false}],\"services\":[{\"name\":\"plans\",\"healthPath\":"
           "\"/healthz\",\"maxConns\":490,\"protocol\":\"h1\",\"tls\":false}],\"limits\":"
           "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"caterer\",\"apiKeys\":[\"key1\"],"
           "\"priority\":1,\"unit\":\"token\",\"plainTokens\":200,\"ratePerS\":" +
           std::to_string(rate) + ",\"burst\":" + std::to_string(burst) + "}]}";
}

}  // namespace

int main(int, char** argv) {
    const std::string program = argv[1];
    const std::string folder = argv[2];
    record log(argv[3]);
    std::mutex mutex;
    std::vector<std::pair<steady::time_point, long>> run;
    server engine([&](const message& it) {
        const std::string id = it.header("radishpulley-attempt-id");
        const std::string echo = "Radishpulley-Attempt-Id: " + id + "\r\n";
        if (it.header("radishpulley-expected-instance") != "i-1") {
            return response(421, echo + "Radishpulley-Not-Executed: 1\r\n", "");
        }
        const std::string usage = it.header("radishpulley-token-usage");
        const long tokens =
            std::atol(usage.c_str()) + std::atol(usage.c_str() + usage.find(',') + 1);
        {
            const std::lock_guard<std::mutex> lock(mutex);
            run.emplace_back(steady::now(), tokens);
        }
        log.line("engine runs " + id + ", " + std::to_string(tokens) + " tokens, tenant " +
                 it.header("radishpulley-tenant"));
        sleep_ms(20);
        return response(200, echo + "Radishpulley-Response-Signature: s\r\n", "done");
    });
    store platform;
    platform.put("config", "main", manifest());
    platform.put("servers", "i-1",
                 "{\"service\":\"plans\",\"address\":\"" + engine.address() +
                     "\",\"zone\":\"z1\",\"version\":\"1\",\"slots\":96,\"state\":\"ready\","
                     "\"sequence\":1,\"born\":1700000000000}");
    std::vector<std::unique_ptr<daemon_process>> vms;
    for (int i = 0; i < daemons; ++i) {
        vms.push_back(std::make_unique<daemon_process>(
            program, folder, "edge-" + std::to_string(i + 1), platform.address(),
            "shutdown_grace_s = 8\nretry_ratio = 0.2\nretry_reserve = 54\nlimit_reserve = 72000\n"
            "configuration_apply_ms = 2500\ndrain_ms = 2500\nversion_ms = 5000\n"
            "endpoints_check_fencing = true\n",
            "memory_mb = 260\ndescriptors = 4100\n"));
        vms.back()->start();
    }
    for (const auto& it : vms) {
        it->wait_until_ready();
    }
    sleep_ms(6'000);  // in touch; all daemons have heard each other
    const bool trouble = has_trouble();
    std::atomic<int> number{0};
    std::atomic<bool> begins{true};
    const auto send = [&](int vm, long tokens) {
        const std::string id = "q" + std::to_string(++number);
        client it(vms[static_cast<std::size_t>(vm)]->callers);
        it.connect();
        while (!begins) {
        }
        log.line(id + " sent to edge-" + std::to_string(vm + 1) + ", " + std::to_string(tokens) +
                 " tokens");
        message answer;
        const int status =
            it.call("POST", "/plans/1",
                    "Host: plan.example\r\nRadishpulley-Attempt-Id: " + id +
                        "\r\nRadishpulley-Deadline-Ms: 5000\r\nRadishpulley-Key: key1\r\n"
                        "Radishpulley-Token-Usage: " +
                        std::to_string(tokens - 100) + ",100\r\n",
                    "brief", answer);
        log.line(id + " answered " + std::to_string(status));
        return status;
    };
    // The tenant's usual traffic: some 10,000 tokens a second, at one daemon after the other.
    int served = 0;
    for (int i = 0; i < 4; ++i) {
        served += send(i % daemons, usual_tokens) == 200;
        sleep_ms(1'000);
    }
    if (served == 0) {
        cannot_run("no usual request was served");
    }
    // All daemons get a request of it at once: long ones, or usual ones.
    std::vector<std::thread> threads;
    begins = false;
    for (int i = 0; i < daemons; ++i) {
        threads.emplace_back([&, i] { send(i, trouble ? long_tokens : usual_tokens); });
    }
    sleep_ms(100);
    begins = true;
    for (std::thread& it : threads) {
        it.join();
    }
    for (int i = 0; i < seconds_after; ++i) {
        sleep_ms(1'000);
        send(i % daemons, usual_tokens);
    }
    const std::lock_guard<std::mutex> lock(mutex);
    long most = 0;
    for (const auto& first : run) {
        long sum = 0;
        for (const auto& [at, tokens] : run) {
            const double after = std::chrono::duration<double>(at - first.first).count();
            sum += after >= 0 && after < window_s ? tokens : 0;
        }
        most = std::max(most, sum);
    }
    const long allowed = static_cast<long>((rate * window_s + burst) * (1 + overage)) + slack;
    const std::string result = "most tokens sent and run in 8 s: " + std::to_string(most) +
                               "; allowed " + std::to_string(allowed);
    log.line(result);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    for (const auto& it : vms) {
        it->kill();
    }
    std::_Exit(most > allowed ? 1 : 0);
}
