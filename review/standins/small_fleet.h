// A small deployment on loopback addresses: three daemons, one in each zone, the platform's store,
// three model engines and an application server.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cstdlib>
#include <fstream>
#include <future>
#include <stdexcept>
#include <thread>

#include "faulty_server.h"
#include "http/free_port.h"
#include "model_engine.h"
#include "platform_standins/service_standin.h"
#include "platform_standins/store_standin.h"
#include "standins/child_process.h"

namespace review {

using nlohmann::json;
using radishpulley::platform_adapter::standins::run_record;
using radishpulley::platform_adapter::standins::service_standin;
using radishpulley::platform_adapter::standins::store_standin;
using radishpulley::standins::child_process;

constexpr int vm_count = 3;
constexpr const char* host = "desk.example";
constexpr const char* key = "k-1";

inline std::string free_address() {
    return "127.0.0.1:" + std::to_string(radishpulley::http::free_port());
}

inline std::string zone_of(int n) {
    return "zone-" + std::to_string(n);
}

inline json configuration() {
    const auto route = [](const char* name, const char* service, const char* type) {
        return json{{"name", name},
                    {"host", host},
                    {"pathPrefix", std::string("/") + name + "/"},
                    {"service", service},
                    {"type", type},
                    {"timeoutMs", 5'000},
                    {"targetLatencyMs", 1'000},
                    {"maxAttempts", 1},
                    {"priority", 1}};
    };
    const json model = {{"name", "m0"},
                        {"weightsMb", 16'100},
                        {"loadTimeS", 0.6},
                        {"adapters", 3'000},
                        {"adapterSizeMb", 14}};
    const json engine = {
        {"slots", 32},         {"kvCapacity", 189'887}, {"models", json::array({model})},
        {"weightsMb", 16'500}, {"maxAdapters", 8},      {"loadsPerS", 2.1}};
    return {{"version", 7},
            {"routes",
             {route("ask", "assist", "streaming"), route("deposit", "desk", "non_idempotent"),
              route("stock", "stock", "idempotent")}},
            {"services",
             {{{"name", "assist"}, {"healthPath", "/healthz"}, {"engine", engine}},
              {{"name", "desk"}, {"healthPath", "/healthz"}},
              {{"name", "stock"}, {"healthPath", "/healthz"}}}},
            {"tenants", json::array({{{"name", "acme"}, {"apiKeys", {key}}}})},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 3'000},
              {"idleTimeoutMs", 15'000}}}};
}

/// A caller's connection, used with blocking calls.
class caller {
public:
    explicit caller(const std::string& address) {
        const std::size_t colon = address.rfind(':');
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        const timeval limit{6, 0};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        is_connected_ = connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;
    ~caller() { close(fd_); }

    bool is_connected() const { return is_connected_; }
    void send(const std::string& bytes) const {
        const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        static_cast<void>(sent);
    }
    /// Returns the status of the next complete response, 0 if the connection ends before.
    int receive() {
        std::string in;
        char buf[4'096];
        while (true) {
            const std::size_t end = in.find("\r\n\r\n");
            if (end != std::string::npos && is_complete(in, end + 4)) {
                return std::stoi(in.substr(9, 3));
            }
            const auto n = recv(fd_, buf, sizeof buf, 0);
            if (n <= 0) {
                return 0;
            }
            in.append(buf, static_cast<std::size_t>(n));
        }
    }
    /// Returns the next response's head, or what came of it before the connection ended.
    std::string receive_head() {
        std::string in;
        char buf[4'096];
        while (in.find("\r\n\r\n") == std::string::npos) {
            const auto n = recv(fd_, buf, sizeof buf, 0);
            if (n <= 0) {
                break;
            }
            in.append(buf, static_cast<std::size_t>(n));
        }
        return in.substr(0, in.find("\r\n\r\n"));
    }

private:
    static bool is_complete(const std::string& in, std::size_t body) {
        const std::size_t at = in.find("Content-Length: ");
        if (at != std::string::npos && at < body) {
            return in.size() >= body + std::stoul(in.substr(at + 16));
        }
        return in.size() >= 5 && in.compare(in.size() - 5, 5, "0\r\n\r\n") == 0;
    }

    int fd_ = -1;
    bool is_connected_ = false;
};

inline std::string request_text(const std::string& method, const std::string& path,
                                const std::string& id, const std::string& more = "") {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nRadishpulley-Attempt-Id: " + id +
           "\r\nRadishpulley-Deadline-Ms: 4000\r\nRadishpulley-Key: " + key +
           "\r\nContent-Length: 0\r\n" + more + "\r\n";
}

struct vm {
    std::string name;
    std::string callers;
    std::string readiness;
    std::unique_ptr<child_process> process;
};

/// Starts everything; the destructor ends all processes that it started.
class small_fleet {
public:
    /// `daemon` is the program, `directory` an empty one for settings and logs.
    /// The server of the stock gives `stock_answer` to every request; none if it is empty.
    small_fleet(const std::string& daemon, const std::string& directory,
                std::chrono::milliseconds deposit_time, const std::string& stock_answer = "")
        : store_(loop_, time_), desk_(loop_, time_, "i-desk", "desk", runs_) {
        store_.page_size = 500;
        desk_.run_time = deposit_time;
        store_.put("config", "main", configuration());
        store_.put("servers", desk_.id(), desk_.entry(desk_.address(), zone_of(0), false));
        if (!stock_answer.empty()) {
            stock_ = std::make_unique<faulty_server>(loop_, stock_answer);
            json entry = desk_.entry(stock_->address(), zone_of(0), false);
            entry["service"] = "stock";
            store_.put("servers", "i-stock", entry);
        }
        for (int n = 0; n < vm_count; ++n) {
            engines_.push_back(
                std::make_unique<model_engine>(loop_, time_, "i-llm" + std::to_string(n)));
            store_.put("servers", engines_.back()->id(), engines_.back()->entry(zone_of(n)));
        }
        thread_ = std::thread([this] { loop_.run(); });
        const std::string store_address = store_.address();
        for (int n = 0; n < vm_count; ++n) {
            vm it{"edge-" + std::to_string(n), free_address(), free_address(), nullptr};
            const std::string settings = directory + "/" + it.name + ".toml";
            std::ofstream(settings)
                << "[vm]\nid = \"" << it.name << "\"\navailability_zone = \"" << zone_of(n)
                << "\"\nregion = \"r\"\n[regions]\nzone-0 = \"r\"\nzone-1 = \"r\"\nzone-2 = \"r\"\n"
                << "[listen]\ncallers = \"" << it.callers << "\"\nreadiness = \"" << it.readiness
                << "\"\npeers = \"" << free_address() << "\"\nmetrics = \"" << free_address()
                << "\"\n[store]\naddress = \"" << store_address
                << "\"\n[bounds]\nshutdown_grace_s = 8\nretry_ratio = 0.2\nretry_reserve = 54\n"
                << "limit_reserve = 72000\nconfiguration_apply_ms = 2500\ndrain_ms = 2500\n"
                << "version_ms = 5000\nendpoints_check_fencing = true\n";
            it.process = std::make_unique<child_process>(
                std::vector<std::string>{daemon, "--edge", "--settings=" + settings},
                directory + "/" + it.name + ".log");
            vms_.push_back(std::move(it));
        }
    }
    ~small_fleet() {
        vms_.clear();
        loop_.stop();
        thread_.join();
    }

    std::vector<vm>& vms() { return vms_; }
    /// Waits until all daemons are ready; returns false if that takes too long.
    bool wait_until_ready() {
        for (int i = 0; i < 150; ++i) {
            std::size_t ready = 0;
            for (const vm& it : vms_) {
                caller probe(it.readiness);
                probe.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                ready += probe.is_connected() && probe.receive() == 200 ? 1 : 0;
            }
            if (ready == vms_.size()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
    /// Number of times that the application server ran the request.
    unsigned runs(const std::string& id) {
        std::promise<unsigned> out;
        boost::asio::post(loop_,
                          [&] { out.set_value(runs_.runs.count(id) ? runs_.runs[id].count : 0); });
        return out.get_future().get();
    }

private:
    radishpulley::system_clock time_;
    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        loop_.get_executor()};
    run_record runs_;
    store_standin store_;
    service_standin desk_;
    std::unique_ptr<faulty_server> stock_;
    std::vector<std::unique_ptr<model_engine>> engines_;
    std::thread thread_;
    std::vector<vm> vms_;
};

}  // namespace review
