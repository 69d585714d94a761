// Benchmark: one daemon on loopback against the same stand-in asked directly, in one run.
#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "fleet_of_processes/local_fleet.h"

namespace {

using namespace radishpulley;
using namespace std::chrono_literals;
using fleet_of_processes::local_fleet;
using steady = std::chrono::steady_clock;

constexpr int tokens_per_stream = 64;
constexpr auto silence_limit = 10000ms;
constexpr auto run_time = 5s;

struct sample_set {
    std::vector<double> first_token_ms;
    std::vector<double> between_tokens_ms;
    std::size_t finished = 0;
    std::size_t failed = 0;
    std::size_t tokens = 0;
};

double percentile(std::vector<double>& values, double p) {
    if (values.empty()) {
        return 0;
    }
    const auto n = static_cast<std::size_t>(p * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

// Keeps a number of streams running until the time is up.
class load {
public:
    load(std::string address, std::string key, std::string model, std::size_t streams)
        : client_(std::move(address), silence_limit), key_(std::move(key)), streams_(streams) {
        request_.method = "POST";
        request_.target = "/v1/completions";
        request_.headers["Content-Type"] = "application/json";
        if (!key_.empty()) {
            request_.headers["Authorization"] = "Bearer " + key_;
        }
        request_.body = nlohmann::json{
            {"model", std::move(model)},
            {"prompt", "short"},
            {"max_tokens", tokens_per_stream},
            {"stream",
             true}}.dump();
    }

    sample_set run(std::chrono::seconds length) {
        until_ = steady::now() + length;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            running_ = streams_;
        }
        for (std::size_t i = 0; i < streams_; ++i) {
            begin();
        }
        std::unique_lock<std::mutex> lock(mutex_);
        over_.wait(lock, [this] { return running_ == 0; });
        return samples_;
    }

private:
    class stream final : public http::stream_observer {
    public:
        explicit stream(load& owner) : owner_(owner), last_(steady::now()) {}
        void on_head(const http::response& head) override { status_ = head.status; }
        void on_body(std::string_view bytes, std::function<void()> proceed) override {
            const auto now = steady::now();
            const double gap = std::chrono::duration<double, std::milli>(now - last_).count();
            (n_ == 0 ? first_tokens : gaps).push_back(gap);
            n_ += static_cast<int>(std::count(bytes.begin(), bytes.end(), '{'));
            last_ = now;
            proceed();
        }
        void on_end() override { owner_.end(*this, status_ == 200); }
        void on_failure(const http::call_failure&) override { owner_.end(*this, false); }

        std::vector<double> first_tokens;
        std::vector<double> gaps;

    private:
        load& owner_;
        steady::time_point last_;
        int status_ = 0;
        int n_ = 0;
    };

    void begin() { client_.start(request_, std::make_shared<stream>(*this)); }

    void end(const stream& it, bool good) {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            auto& first = samples_.first_token_ms;
            auto& all_gaps = samples_.between_tokens_ms;
            first.insert(first.end(), it.first_tokens.begin(), it.first_tokens.end());
            all_gaps.insert(all_gaps.end(), it.gaps.begin(), it.gaps.end());
            samples_.finished += good ? 1 : 0;
            samples_.failed += good ? 0 : 1;
            samples_.tokens += good ? tokens_per_stream : 0;
            if (steady::now() >= until_) {
                --running_;
                over_.notify_all();
                return;
            }
        }
        begin();
    }

    http::client client_;
    const std::string key_;
    const std::size_t streams_;
    http::request request_;
    steady::time_point until_;
    std::mutex mutex_;
    std::condition_variable over_;
    std::size_t running_ = 0;
    sample_set samples_;
};

// Processor seconds that a process has used.
double processor_seconds(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/stat");
    std::string word;
    long user = 0;
    long system = 0;
    for (int i = 1; i <= 15 && in >> word; ++i) {
        user = i == 14 ? std::stol(word) : user;
        system = i == 15 ? std::stol(word) : system;
    }
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_megabytes(pid_t id) {
    std::ifstream in("/proc/" + std::to_string(id) + "/statm");
    long pages = 0;
    in >> pages >> pages;
    return static_cast<double>(pages * sysconf(_SC_PAGESIZE)) / 1e6;
}

void print_row(const char* name, std::size_t streams, sample_set& it, double seconds) {
    std::printf(
        "%-8s %4zu streams: %7.1f requests/s %8.0f tokens/s failed %zu | first token ms "
        "p50 %6.2f p95 %6.2f p99 %6.2f | between ms p50 %5.2f p95 %5.2f p99 %5.2f\n",
        name, streams, static_cast<double>(it.finished) / seconds,
        static_cast<double>(it.tokens) / seconds, it.failed, percentile(it.first_token_ms, 0.5),
        percentile(it.first_token_ms, 0.95), percentile(it.first_token_ms, 0.99),
        percentile(it.between_tokens_ms, 0.5), percentile(it.between_tokens_ms, 0.95),
        percentile(it.between_tokens_ms, 0.99));
    std::fflush(stdout);
}

void measure(local_fleet& fleet, std::size_t streams) {
    load direct(fleet.engine(0).address(), "", "runners@v1", streams);
    auto start = steady::now();
    sample_set alone = direct.run(run_time);
    const double alone_seconds = std::chrono::duration<double>(steady::now() - start).count();
    print_row("direct", streams, alone, alone_seconds);
    const pid_t id = fleet.vm(0).process->id();
    const double before = processor_seconds(id);
    start = steady::now();
    load through(fleet.vm(0).callers, "sastro-key", "runners", streams);
    sample_set with = through.run(run_time);
    const double seconds = std::chrono::duration<double>(steady::now() - start).count();
    print_row("daemon", streams, with, seconds);
    const double cores = (processor_seconds(id) - before) / seconds;
    const double tokens = static_cast<double>(with.tokens) / seconds;
    std::printf(
        "added    %4zu streams: first token p99 %+.2f ms, between tokens p99 %+.2f ms; "
        "daemon %.2f cores, %.0f MB, %.1f us a token\n",
        streams, percentile(with.first_token_ms, 0.99) - percentile(alone.first_token_ms, 0.99),
        percentile(with.between_tokens_ms, 0.99) - percentile(alone.between_tokens_ms, 0.99), cores,
        resident_megabytes(id), cores * 1e6 / tokens);
}

// Bytes that a daemon has sent to its peers, from its metrics.
double bytes_sent(const local_fleet& fleet, std::size_t i) {
    const std::string text = fleet.administer(i, "GET", "/metrics", "").body;
    const std::string name = "radishpulley_peer_transport{count=\"bytes_sent\"} ";
    const auto at = text.find(name);
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size()));
}

// Cost of a fleet without requests, for each daemon.
int measure_idle(const std::string& program, const std::string& folder, std::size_t vms) {
    fleet_of_processes::local_fleet_settings settings;
    settings.daemon_program = program;
    settings.folder = folder;
    settings.vms = vms;
    settings.engines = vms;
    local_fleet fleet(settings);
    fleet.start_all();
    for (std::size_t i = 0; i < vms; ++i) {
        fleet.wait_ready(i, 30s);
    }
    fleet.accept(0, fleet.first_ticket(1));
    sleep(10);
    constexpr unsigned seconds = 20;
    std::vector<double> cpu;
    std::vector<double> bytes;
    for (std::size_t i = 0; i < vms; ++i) {
        cpu.push_back(processor_seconds(fleet.vm(i).process->id()));
        bytes.push_back(bytes_sent(fleet, i));
    }
    const standins::store_counts before = fleet.platform().store().counts();
    sleep(seconds);
    const standins::store_counts after = fleet.platform().store().counts();
    double most_cpu = 0;
    double most_bytes = 0;
    double most_memory = 0;
    for (std::size_t i = 0; i < vms; ++i) {
        const pid_t id = fleet.vm(i).process->id();
        most_cpu = std::max(most_cpu, processor_seconds(id) - cpu[i]);
        most_bytes = std::max(most_bytes, bytes_sent(fleet, i) - bytes[i]);
        most_memory = std::max(most_memory, resident_megabytes(id));
    }
    std::printf(
        "idle, %zu daemons, worst of them: %.2f %% of a core, %.0f MB, %.0f bytes/s to "
        "peers; fleet: %.1f reads/s, %.1f watches/s, %.1f writes/s\n",
        vms, most_cpu / seconds * 100, most_memory, most_bytes / seconds,
        static_cast<double>(after.reads - before.reads) / seconds,
        static_cast<double>(after.watches - before.watches) / seconds,
        static_cast<double>(after.writes - before.writes) / seconds);
    return 0;
}

int run(const std::string& program, const std::string& folder) {
    fleet_of_processes::local_fleet_settings settings;
    settings.daemon_program = program;
    settings.folder = folder;
    settings.vms = 1;
    settings.engines = 1;
    settings.concurrency = 512;
    local_fleet fleet(settings);
    fleet.start_all();
    if (!fleet.wait_ready(0, 20s)) {
        std::fputs("the daemon is not ready\n", stderr);
        return 1;
    }
    fleet.accept(0, fleet.first_ticket(1));
    const http::response warm =
        fleet.call(0, "sastro-key", "/v1/completions",
                   R"({"model": "runners", "prompt": "", "max_tokens": 1})");
    if (warm.status != 200) {
        std::fprintf(stderr, "the first request failed: %s\n", warm.body.c_str());
        return 1;
    }
    const double idle_before = processor_seconds(fleet.vm(0).process->id());
    sleep(5);
    std::printf("idle: %.2f %% of a core, %.0f MB\n",
                (processor_seconds(fleet.vm(0).process->id()) - idle_before) / 5 * 100,
                resident_megabytes(fleet.vm(0).process->id()));
    for (const std::size_t streams : {1, 8, 32, 128}) {
        measure(fleet, streams);
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 2) {
        std::fputs("usage: rp_bench <path of radishpulleyd> [number of idle daemons]\n", stderr);
        return 2;
    }
    const auto folder =
        std::filesystem::temp_directory_path() / ("radishpulley-bench-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    try {
        if (argc > 2) {
            return measure_idle(argv[1], folder, std::stoul(argv[2]));
        }
        return run(argv[1], folder);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "the benchmark failed: %s\n", e.what());
        return 1;
    }
}
