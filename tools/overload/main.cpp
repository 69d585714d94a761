// Measures what callers and an endpoint see of one daemon that gets only a part of a core: requests
// that reach the endpoint although their callers have left, and requests past their timeout.
//
// The daemon is stopped and continued in slices of a tenth of a second. All times are wall-clock
// times of this process, which plays the callers, the endpoint and the store.
#include <signal.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio.hpp>

#include "edge_fleet.h"
#include "gateway/endpoint_pool.h"
#include "platform_adapter/decoders.h"
#include "platform_standins/operator_standin.h"

ABSL_FLAG(std::string, daemon, "", "Path of radishpulleyd.");
ABSL_FLAG(std::size_t, callers, 300, "Callers, each with one request at a time.");
ABSL_FLAG(double, core, 0.12, "Part of a core that the daemon gets, above 0 and at most 1.");
ABSL_FLAG(int, leave_ms, 300, "Time after which every second request's caller leaves.");
ABSL_FLAG(int, seconds, 10, "Duration of the load.");

namespace radishpulley::soak {
namespace {

using namespace std::chrono_literals;
using platform_adapter::standins::plain_configuration;
using platform_adapter::standins::plain_request;
using platform_adapter::standins::route_host;
using tcp = boost::asio::ip::tcp;

constexpr auto slice = 100ms;
constexpr auto route_timeout = 1'000ms;
constexpr auto endpoint_run_time = 50ms;
// So many that only the daemon's processor time bounds what is served.
constexpr std::size_t endpoints = 40;
// What the platform allows until a caller's end takes effect, and until a late request is answered.
constexpr auto tolerance = 500ms;
constexpr auto start_time = 3s;
constexpr std::size_t retry_after_name = sizeof "Retry-After: " - 1;

// What became of one request.
struct request_log {
    time_point sent{};
    std::optional<time_point> left;
    std::optional<time_point> ended;
    int status = 0;
};

struct results {
    std::map<std::string, request_log> requests;
    std::map<std::string, time_point> arrivals;
};

// Gives a process its part of a core until destroyed.
class processor_share {
public:
    processor_share(pid_t process, double part)
        : process_(process), running_time_(std::chrono::duration_cast<duration>(slice * part)) {
        if (part < 1) {
            thread_ = std::thread([this] { run(); });
        }
    }
    ~processor_share() {
        is_ending_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    processor_share(const processor_share&) = delete;
    processor_share& operator=(const processor_share&) = delete;

private:
    void run() const {
        while (!is_ending_) {
            std::this_thread::sleep_for(running_time_);
            ::kill(process_, SIGSTOP);
            std::this_thread::sleep_for(slice - running_time_);
            ::kill(process_, SIGCONT);
        }
    }

    pid_t process_;
    duration running_time_;
    std::atomic<bool> is_ending_{false};
    std::thread thread_;
};

// Sends one request after the other, each on a new connection.
class caller {
public:
    caller(boost::asio::io_context& loop, const clock& time, std::string address, int number,
           results& out)
        : loop_(loop),
          time_(time),
          address_(std::move(address)),
          number_(number),
          out_(out),
          timer_(loop) {}

    void send_next() {
        const std::string id = "c" + std::to_string(number_) + "-" + std::to_string(count_);
        request_log& log = out_.requests[id];
        log.sent = time_.now();
        const bool leaves = (number_ + count_++) % 2 == 0;
        socket_ = std::make_shared<tcp::socket>(loop_);
        timer_.cancel();
        socket_->async_connect(gateway::parse_address(address_), [this, id, &log, to = socket_](
                                                                     const boost::system::
                                                                         error_code& ec) {
            if (to != socket_) {
                return;
            }
            if (ec) {
                end(log, 0, duration::zero());
                return;
            }
            const std::string text = to_text(plain_request{id, route_host, "/a/x", "k", 30'000ms});
            boost::system::error_code ignored;
            boost::asio::write(*socket_, boost::asio::buffer(text), ignored);
            read(log, to);
        });
        if (leaves) {
            timer_.expires_after(std::chrono::milliseconds(absl::GetFlag(FLAGS_leave_ms)));
            timer_.async_wait([this, &log](const boost::system::error_code& ec) {
                if (!ec && !log.ended) {
                    log.left = time_.now();
                    next(duration::zero());
                }
            });
        }
    }

private:
    void read(request_log& log, const std::shared_ptr<tcp::socket>& from) {
        from->async_read_some(boost::asio::buffer(buffer_), [this, &log, from](
                                                                const boost::system::error_code& ec,
                                                                std::size_t n) {
            if (from != socket_) {
                return;
            }
            const std::string text(buffer_.data(), n);
            end(log, ec || text.size() < 12 ? 0 : std::stoi(text.substr(9, 3)), retry_after(text));
        });
    }

    static duration retry_after(const std::string& response) {
        const std::size_t at = response.find("Retry-After: ");
        const double seconds =
            at == std::string::npos ? 0 : std::stod(response.substr(at + retry_after_name));
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    void end(request_log& log, int status, duration pause) {
        log.ended = time_.now();
        log.status = status;
        next(pause);
    }

    void next(duration pause) {
        boost::system::error_code ignored;
        socket_->close(ignored);
        socket_.reset();
        timer_.expires_after(pause);
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                send_next();
            }
        });
    }

    boost::asio::io_context& loop_;
    const clock& time_;
    std::string address_;
    int number_;
    results& out_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<tcp::socket> socket_;
    std::array<char, 4'096> buffer_{};
    int count_ = 0;
};

double seconds_of(duration it) {
    return std::chrono::duration<double>(it).count();
}

void print(const results& all, time_point end) {
    std::size_t left = 0;
    std::size_t reached_late = 0;
    std::size_t past_timeout = 0;
    std::size_t unanswered = 0;
    std::map<int, std::size_t> by_status;
    duration worst_reach{};
    duration worst_answer{};
    for (const auto& [id, it] : all.requests) {
        left += it.left ? 1 : 0;
        by_status[it.ended ? it.status : -1] += 1;
        const auto arrival = all.arrivals.find(id);
        if (it.left && arrival != all.arrivals.end() && arrival->second - *it.left > tolerance) {
            ++reached_late;
            worst_reach = std::max(worst_reach, arrival->second - *it.left);
        }
        const duration waited = it.left.value_or(it.ended.value_or(end)) - it.sent;
        past_timeout += waited > route_timeout ? 1 : 0;
        if (waited > route_timeout + tolerance) {
            ++unanswered;
            worst_answer = std::max(worst_answer, waited);
        }
    }
    std::printf(
        "requests=%zu left=%zu reached_after_leaving=%zu worst_s=%.2f past_timeout=%zu "
        "unanswered=%zu worst_s=%.2f",
        all.requests.size(), left, reached_late, seconds_of(worst_reach), past_timeout, unanswered,
        seconds_of(worst_answer));
    for (const auto& [status, count] : by_status) {
        std::printf(" status_%d=%zu", status, count);
    }
    std::printf("\n");
}

void measure() {
    std::string directory = "/tmp/overload-XXXXXX";
    if (mkdtemp(directory.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    boost::asio::io_context loop;
    boot_clock time;
    edge_fleet fleet(loop, time, {absl::GetFlag(FLAGS_daemon), directory, 1, endpoints});
    plain_configuration content;
    content.routes = {{"a", {"a", true}}};
    content.services = {"a"};
    content.keys = {"k"};
    content.route_timeout = route_timeout;
    fleet.store().put(platform_adapter::configuration_kind, platform_adapter::configuration_name,
                      to_document(content));
    for (const edge_endpoint& it : fleet.endpoints()) {
        it.standin->run_time = endpoint_run_time;
    }
    results out;
    fleet.runs().on_request = [&](const std::string&, const std::string& id) {
        out.arrivals[id] = time.now();
    };
    edge_vm& vm = fleet.vms().front();
    fleet.start(vm);
    loop.run_for(start_time);
    std::vector<std::unique_ptr<caller>> callers;
    {
        const processor_share share(vm.process->id(), absl::GetFlag(FLAGS_core));
        for (std::size_t i = 0; i < absl::GetFlag(FLAGS_callers); ++i) {
            callers.push_back(
                std::make_unique<caller>(loop, time, vm.callers_address, static_cast<int>(i), out));
            callers.back()->send_next();
        }
        loop.run_for(std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
    }
    print(out, time.now());
    fleet.kill(vm);
    std::error_code ignored;
    std::filesystem::remove_all(directory, ignored);
}

}  // namespace
}  // namespace radishpulley::soak

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "Measures a daemon that is short of processor time. Example:\n"
        "  overload --daemon=radishpulleyd --callers=600 --core=0.12 --leave_ms=300");
    absl::ParseCommandLine(argc, argv);
    const double core = absl::GetFlag(FLAGS_core);
    if (absl::GetFlag(FLAGS_daemon).empty() || core <= 0 || core > 1) {
        std::fprintf(stderr, "--daemon is missing, or --core is not above 0 and at most 1\n");
        return 2;
    }
    radishpulley::soak::measure();
    return 0;
}
