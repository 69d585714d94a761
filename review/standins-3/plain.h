// Plain servers and clients of the bed: a server of one service, a manifest, a client attempt.
#pragma once

#include "bed.h"

namespace bed {

/// One run or arrival at a server.
struct arrival {
    double at = 0;
    std::string server;
    std::string id;
    bool ran = false;
};

class plain_server {
public:
    plain_server(std::string id, std::string service, std::string zone, const std::string& address,
                 long work_ms, std::function<void(const arrival&)> note)
        : id_(std::move(id)),
          service_(std::move(service)),
          zone_(std::move(zone)),
          work_ms_(work_ms),
          note_(std::move(note)),
          born_(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          listener_(address, [this](auto it) { serve(std::move(it)); }) {}

    const std::string& id() const { return id_; }
    /// What it writes into the store: each call is one more liveness report.
    json entry(const std::string& state = "ready") {
        return {{"service", service_},  {"address", listener_.address()},
                {"zone", zone_},        {"version", "v1"},
                {"slots", 64},          {"state", state},
                {"coldRemainingMs", 0}, {"sequence", ++beats_},
                {"born", born_}};
    }
    /// Ends: what runs is cut, nothing listens any more.
    void exit() {
        is_over_ = true;
        listener_.stop();
    }
    /// Header that all its answers carry from now on; empty for none.
    void announce(const std::string& name, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        announced_ = {name, value};
    }
    /// While set, connections are reset that come from this address, without an answer.
    void cut_off(const std::string& ip) {
        const std::lock_guard<std::mutex> lock(mutex_);
        cut_ip_ = ip;
    }

private:
    void serve(std::shared_ptr<connection> it) {
        while (auto request = it->read(steady::now() + std::chrono::seconds(20))) {
            if (is_over_) {
                it->reset();
                return;
            }
            const std::string attempt = request->header("Radishpulley-Attempt-Id");
            std::vector<std::pair<std::string, std::string>> headers;
            if (!attempt.empty()) {
                headers.push_back({"Radishpulley-Attempt-Id", attempt});
            }
            if (request->header("Radishpulley-Expected-Instance") != id_) {
                headers.push_back({"Radishpulley-Instance-Id", id_});
                it->write(response(421, "Misdirected Request", headers, ""));
                continue;
            }
            note_({now_s(), id_, attempt, true});
            sleep_ms(work_ms_);
            if (is_over_) {
                it->reset();
                return;
            }
            headers.push_back({"Radishpulley-Response-Signature", "3e1b." + id_});
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                if (!announced_.first.empty()) {
                    headers.push_back(announced_);
                }
            }
            if (!it->write(response(200, "OK", headers, "ran " + attempt))) {
                return;
            }
        }
    }

    std::string id_;
    std::string service_;
    std::string zone_;
    long work_ms_;
    std::function<void(const arrival&)> note_;
    std::int64_t born_;
    std::atomic<int> beats_{0};
    std::atomic<bool> is_over_{false};
    std::mutex mutex_;
    std::pair<std::string, std::string> announced_;
    std::string cut_ip_;
    listener listener_;
};

inline json route(const std::string& name, const std::string& service, const std::string& type,
                  int attempts, int timeout_ms) {
    return {{"name", name},    {"host", "desk.example"},  {"pathPrefix", "/" + name + "/"},
            {"type", type},    {"timeoutMs", timeout_ms}, {"targetLatencyMs", 120},
            {"priority", 2},   {"service", service},      {"maxAttempts", attempts},
            {"public", false}, {"sticky", false},         {"resumable", false}};
}

inline json manifest(int version, const std::vector<json>& routes,
                     const std::vector<std::string>& services, const json& tenants) {
    json listed = json::array();
    for (const std::string& it : services) {
        listed.push_back({{"name", it},
                          {"healthPath", "/healthz"},
                          {"maxConns", 110},
                          {"protocol", "h1"},
                          {"tls", false}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", listed},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", tenants}};
}

inline json tenant(const std::string& name, const std::string& key, double rate, double burst) {
    return {{"name", name},       {"apiKeys", {key}}, {"priority", 1}, {"unit", "token"},
            {"plainTokens", 200}, {"ratePerS", rate}, {"burst", burst}};
}

/// What a client saw of one attempt; status 0 if the connection ended without a whole answer.
struct outcome {
    int status = 0;
    message answer;
};

/// One attempt on a connection of its own.
inline outcome attempt(const std::string& address, const std::string& method,
                       const std::string& path, const std::string& id, const std::string& key,
                       long deadline_ms, const std::string& body = "",
                       const std::string& more_headers = "") {
    const auto until = steady::now() + ms(deadline_ms);
    const auto to = connect_to(address, std::min(1000L, deadline_ms));
    if (!to) {
        return {};
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" +
                       "Radishpulley-Attempt-Id: " + id +
                       "\r\nRadishpulley-Deadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\nRadishpulley-Key: " + key + "\r\n" + more_headers;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    if (!to->write(text + "\r\n" + body)) {
        return {};
    }
    const auto answer = to->read(until);
    return answer ? outcome{answer->status(), *answer} : outcome{};
}

}  // namespace bed
