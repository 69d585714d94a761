/// Measures what peer connections cost a daemon: bytes and processor time of one connection, from
/// a few transports in this process that keep one connection each to a common one.
///
/// Usage: peer_cost [--connections=N] [--seconds=N]
#include <sys/resource.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "peer/codec.h"
#include "peer/websocket_transport.h"

using namespace radishpulley;

namespace {

const std::string secret = "a secret for measuring";

int option(int argc, char** argv, std::string_view name, int fallback) {
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument(argv[i]);
        if (argument.substr(0, name.size()) == name) {
            return std::atoi(argument.substr(name.size()).data());
        }
    }
    return fallback;
}

double processor_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& it) {
        return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

double resident_kilobytes() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<double>(used.ru_maxrss);
}

// Counts connections and lets a thread wait for their number or for time to pass.
class connection_count {
public:
    void add() {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++count_;
        changed_.notify_all();
    }
    bool wait_for(int wanted, std::chrono::seconds bound) {
        std::unique_lock<std::mutex> lock(mutex_);
        return changed_.wait_for(lock, bound, [&] { return count_ >= wanted; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int count_ = 0;
};

std::unique_ptr<peer::websocket_transport> start(const radishpulley::clock& time,
                                                 const std::string& vm,
                                                 connection_count& connected) {
    auto it = peer::websocket_transport_builder(time)
                  .self({vm_id(vm), 1})
                  .secret(secret)
                  .listen("ws://127.0.0.1:0")
                  .build();
    peer::transport_handlers handlers;
    handlers.on_message = [](const peer::peer_message&) {};
    handlers.on_connected = [&connected](const vm_incarnation&) { connected.add(); };
    handlers.on_lost = [](const peer::peer_loss&) {};
    handlers.on_dial_failed = [](const peer::dial_failure&) {};
    it->start(std::move(handlers));
    return it;
}

}  // namespace

int main(int argc, char** argv) {
    const int connections = option(argc, argv, "--connections=", 16);
    const int seconds = option(argc, argv, "--seconds=", 10);
    const system_clock clock;
    connection_count connected;
    connection_count dialers_connected;
    const auto hub = start(clock, "vm-hub", connected);
    const std::string address = "ws://127.0.0.1:" + std::to_string(hub->listen_port());
    const std::vector<peer::peer_address> peers = {{vm_id("vm-hub"), address}};
    std::vector<std::unique_ptr<peer::websocket_transport>> dialers;
    const double memory_before = resident_kilobytes();
    for (int i = 0; i < connections; ++i) {
        dialers.push_back(start(clock, "vm-" + std::to_string(i), dialers_connected));
        dialers.back()->set_peers(peers);
    }
    if (!connected.wait_for(connections, std::chrono::seconds(30))) {
        std::fprintf(stderr, "not all connections were made\n");
        return 1;
    }
    const double memory_after = resident_kilobytes();
    const auto before = hub->counters();
    const double processor_before = processor_seconds();
    connected.wait_for(connections + 1, std::chrono::seconds(seconds));
    const double processor = processor_seconds() - processor_before;
    const auto after = hub->counters();
    const double per_connection = 1.0 / connections / seconds;
    std::printf("connections %d, seconds %d, heartbeat interval 1 s\n", connections, seconds);
    std::printf("heartbeat frame             %8.1f bytes\n",
                static_cast<double>(after.bytes_sent - before.bytes_sent) /
                    static_cast<double>(after.frames_sent - before.frames_sent));
    std::printf("sent per connection         %8.1f bytes/s\n",
                static_cast<double>(after.bytes_sent - before.bytes_sent) * per_connection);
    std::printf("received per connection     %8.1f bytes/s\n",
                static_cast<double>(after.bytes_received - before.bytes_received) * per_connection);
    std::printf("processor, whole process    %8.3f %% of a core\n", 100 * processor / seconds);
    std::printf("memory, dialer and its link %8.1f KB\n",
                (memory_after - memory_before) / connections);
    return 0;
}
