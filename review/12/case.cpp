// While two software versions serve, three of six machines are killed, among them all that remember
// the streams. Their clients take the streams up again at the others.
#include "../standins-3/stream_server.h"

using namespace bed;

namespace {

constexpr double streams_at = 6.0;
// A stream each 420 ms, at the six machines in turn; each lasts 14 s.
constexpr long gap_ms = 420;
constexpr int machine_count = 6;
// By their names, the first three are those that remember the streams of the fleet.
constexpr int killed_count = 3;  // herd_kill, share 0.5
constexpr int all_streams = 54;
constexpr double release_at = streams_at + 2;
constexpr double kill_at = streams_at + 17;
const std::string key = "i9n73hh2b9wu3fexd9dn";

}  // namespace

int main(int argc, char** argv) {
    if (argc < 4) {
        return 2;
    }
    const std::string root = argv[1];
    const std::string folder = argv[2];
    record().open(argv[3]);
    const bool trouble = has_trouble();
    const char* const release = std::getenv("RELEASE");
    const bool releases = release == nullptr || std::string(release) != "0";

    store platform("127.0.0.1:0");
    const auto note = [](const std::string& it) { record().line("%s", it.c_str()); };
    const std::vector<std::string> zones = {"solo", "sby", "bdg"};
    std::vector<std::unique_ptr<stream_server>> servers;
    for (int n = 0; n < 3; ++n) {
        servers.push_back(std::make_unique<stream_server>(
            "i-old" + std::to_string(n), zones[n], "v1", "127.0.0.1:0", stream_shape(), note));
    }
    json plan = route("plan", "linen", "streaming", 2, 30000);
    plan["resumable"] = true;
    plan["gapTargetMs"] = 400;
    plan["targetLatencyMs"] = 800;
    json config = manifest(7, {plan}, {"linen"}, json::array({tenant("hule930", key, 0, 0)}));
    config["services"][0]["engine"] = {{"slots", 64},
                                       {"kvCapacity", 200000},
                                       {"models",
                                        {{{"name", "daka510000"},
                                          {"weightsMb", 16100.0},
                                          {"loadTimeS", 0.6},
                                          {"adapters", 0},
                                          {"adapterSizeMb", 40.0}}}},
                                       {"weightsMb", 17000.0},
                                       {"maxAdapters", 8},
                                       {"loadsPerS", 2.1}};
    platform.put("config", "main", config);
    for (const auto& it : servers) {
        platform.put("servers", it->id(), it->entry());
    }
    fleet machines(root, folder, bounds());
    for (int n = 0; n < machine_count; ++n) {
        machines.add("edge-" + zones[n / 2] + "-" + std::to_string(n % 2 + 1), zones[n / 2],
                     "r-" + zones[n / 2], "127.0.12." + std::to_string(n + 1), platform.address());
    }
    machines.write_settings();
    for (const auto& it : machines.machines()) {
        machines.start(*it);
    }
    if (!machines.wait_until_ready(5)) {
        record().line("the machines did not become ready");
        return 2;
    }
    sleep_until_s(streams_at);

    std::mutex mutex;
    int begun_after = 0;
    int new_after = 0;
    int resumed = 0;
    int went_on = 0;
    int mixed = 0;
    std::map<std::string, int> refusals;
    std::vector<std::thread> clients;
    const auto& all = machines.machines();
    const auto client = [&](int n, int at) {
        const std::string first = "s" + std::to_string(n);
        const double sent = now_s();
        stream_part part = read_stream(all[at]->callers, first, key, 15000, 0, "");
        std::set<std::string> software = part.software;
        if (sent >= kill_at && at >= killed_count) {
            const std::lock_guard<std::mutex> lock(mutex);
            ++new_after;
            begun_after += part.last_event > 0 ? 1 : 0;
        }
        if (part.complete || part.last_event == 0) {
            return;
        }
        // The connection broke in mid-stream: the client takes it up again, at another machine.
        const int next = killed_count + n % (machine_count - killed_count);
        const std::string again = first + "r";
        record().line("client takes %s up again after event %d as %s at %s", first.c_str(),
                      part.last_event, again.c_str(), all[next]->name.c_str());
        const stream_part rest =
            read_stream(all[next]->callers, again, key, 15000, part.last_event, first);
        software.insert(rest.software.begin(), rest.software.end());
        const std::lock_guard<std::mutex> lock(mutex);
        ++resumed;
        went_on += rest.last_event > part.last_event ? 1 : 0;
        mixed += software.size() > 1 ? 1 : 0;
        if (rest.status != 200) {
            ++refusals[std::to_string(rest.status) + " " + rest.reason];
        }
        record().line("%s: status %d %s, events after it up to %d", again.c_str(), rest.status,
                      rest.reason.c_str(), rest.last_event);
    };
    std::thread arrivals([&] {
        for (int n = 0; n < all_streams; ++n) {
            sleep_until_s(streams_at + n * gap_ms / 1000.0);
            clients.emplace_back(client, n, n % machine_count);
        }
    });
    sleep_until_s(release_at);
    if (releases) {
        for (int n = 0; n < 2; ++n) {
            servers.push_back(std::make_unique<stream_server>(
                "i-new" + std::to_string(n), zones[n], "v2", "127.0.0.1:0", stream_shape(), note));
            platform.put("servers", servers.back()->id(), servers.back()->entry());
        }
        record().line("two servers of version v2 register");
    }
    sleep_until_s(kill_at);
    std::size_t kept = 0;
    for (const json& it : platform.specs("stream-origins")) {
        for (const json& group : it["streams"]) {
            kept += group[2].size();
        }
    }
    record().line("the store holds the machines' own notes of %zu streams and their software",
                  kept);
    if (trouble) {
        std::vector<machine*> killed;
        for (int n = 0; n < killed_count; ++n) {
            killed.push_back(all[n].get());
        }
        machines.kill_together(killed);
        sleep_ms(1000);
        for (int n = 0; n < killed_count; ++n) {
            machines.start(*all[n]);
        }
    }
    arrivals.join();
    for (auto& it : clients) {
        it.join();
    }
    machines.end_all();
    for (const auto& it : refusals) {
        record().line("refused %d times: %s", it.second, it.first.c_str());
    }
    const double began = new_after == 0 ? 0 : static_cast<double>(begun_after) / new_after;
    const double on = resumed == 0 ? 0 : static_cast<double>(went_on) / resumed;
    record().line(
        "streams taken up again at the other machines %d, of these went on %d; new streams "
        "there %d, of these began %d; streams of two versions %d",
        resumed, went_on, new_after, begun_after, mixed);
    if (new_after < 3 || (trouble && resumed < 12)) {
        std::_Exit(2);
    }
    std::_Exit(resumed >= 12 && on < began / 2 ? 1 : 0);
}
