// An engine that answers with a stream of events, which may be resumed, and a client that takes a
// broken stream up again.
#pragma once

#include "plain.h"

namespace bed {

struct stream_shape {
    int events = 56;
    long gap_ms = 250;
};

/// An engine with one model and no adapters.
class stream_server {
public:
    stream_server(std::string id, std::string zone, std::string software,
                  const std::string& address, stream_shape shape,
                  std::function<void(const std::string&)> note)
        : id_(std::move(id)),
          zone_(std::move(zone)),
          software_(std::move(software)),
          shape_(shape),
          note_(std::move(note)),
          born_(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          listener_(address, [this](auto it) { serve(std::move(it)); }) {}

    const std::string& id() const { return id_; }
    json entry() const {
        return {{"service", "linen"},   {"address", listener_.address()},
                {"zone", zone_},        {"version", software_},
                {"slots", 64},          {"state", "ready"},
                {"coldRemainingMs", 0}, {"phase", "both"},
                {"models", models()},   {"sequence", 4},
                {"born", born_}};
    }

private:
    static json models() {
        return json::array({{{"name", "daka510000"}, {"version", 1}, {"adapters", json::array()}}});
    }

    void serve(std::shared_ptr<connection> it) {
        while (auto request = it->read(steady::now() + std::chrono::seconds(20))) {
            const std::string attempt = request->header("Radishpulley-Attempt-Id");
            if (request->header("Radishpulley-Expected-Instance") != id_) {
                it->write(
                    response(421, "Misdirected Request", {{"Radishpulley-Instance-Id", id_}}, ""));
                continue;
            }
            if (request->word(1) == "/v1/report") {
                const json report = {{"phase", "both"}, {"models", models()}, {"busy", false},
                                     {"sequence", 0},   {"queued", 0},        {"active", 1},
                                     {"kvUsage", 0},    {"kvLimit", 200000},  {"handles", 0},
                                     {"born", born_}};
                it->write(
                    response(200, "OK", {{"Content-Type", "application/json"}}, report.dump()));
                continue;
            }
            if (!stream(*it, *request, attempt)) {
                return;
            }
        }
    }

    bool stream(connection& to, const message& request, const std::string& attempt) {
        const std::string last = request.header("Last-Event-Id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        note_(id_ + " (" + software_ + ") begins " + attempt + " at event " +
              std::to_string(first));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
        head += "Radishpulley-Attempt-Id: " + attempt +
                "\r\nRadishpulley-Response-Signature: 3e1b." + id_ +
                "\r\nRadishpulley-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!to.write(head)) {
            return false;
        }
        for (int n = first; n <= shape_.events; ++n) {
            sleep_ms(shape_.gap_ms);
            const std::string event =
                "id: " + std::to_string(n) + "\ndata: " + software_ + " " + id_ + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (to.has_ended() || !to.write(size + event + "\r\n")) {
                return false;
            }
        }
        return to.write("0\r\n\r\n");
    }

    std::string id_;
    std::string zone_;
    std::string software_;
    stream_shape shape_;
    std::function<void(const std::string&)> note_;
    std::int64_t born_;
    listener listener_;
};

/// What a client has seen of a stream in one attempt.
struct stream_part {
    int status = 0;
    std::string reason;
    int last_event = 0;
    std::set<std::string> software;
    bool complete = false;
};

/// One attempt; `last` is the last event that the client has, `first_attempt` brought its first.
inline stream_part read_stream(const std::string& address, const std::string& id,
                               const std::string& key, long deadline_ms, int last,
                               const std::string& first_attempt) {
    stream_part out;
    out.last_event = last;
    const auto to = connect_to(address, 1000);
    if (!to) {
        return out;
    }
    std::string text =
        "POST /plan/1 HTTP/1.1\r\nHost: desk.example\r\nRadishpulley-Attempt-Id: " + id +
        "\r\nRadishpulley-Model: daka510000\r\nRadishpulley-Token-Usage: 600,300\r\n"
        "Radishpulley-Prefix-Hash: 5c1e07a2:198,e4402b7d:402\r\nRadishpulley-Deadline-Ms: " +
        std::to_string(deadline_ms) + "\r\nRadishpulley-Key: " + key + "\r\nContent-Length: 5\r\n";
    if (last > 0) {
        text += "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + first_attempt + "\r\n";
    }
    const auto until = steady::now() + ms(deadline_ms);
    const auto patience = [&] { return std::min(until, steady::now() + ms(3200)); };
    if (!to->write(text + "\r\nbrief")) {
        return out;
    }
    const auto head = to->read(patience(), true);
    if (!head) {
        return out;
    }
    out.status = head->status();
    if (out.status != 200) {
        const std::size_t length =
            std::strtoul(head->header("content-length").c_str(), nullptr, 10);
        while (to->unread().size() < length && to->fill(patience())) {
        }
        out.reason = to->unread();
        return out;
    }
    std::string events;
    while (const auto chunk = to->read_chunk(patience())) {
        if (chunk->empty()) {
            out.complete = true;
            return out;
        }
        events += *chunk;
        std::size_t end = 0;
        while ((end = events.find("\n\n")) != std::string::npos) {
            const std::string event = events.substr(0, end);
            events.erase(0, end + 2);
            out.last_event = std::atoi(event.c_str() + 4);
            const std::size_t data = event.find("data: ");
            out.software.insert(event.substr(data + 6, 2));
        }
    }
    return out;
}

}  // namespace bed
