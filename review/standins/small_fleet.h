// A small deployment on loopback addresses: three daemons, one in each zone, the platform's store,
// a sound server for deposits and three for stock checks, of which one spoils one answer.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <future>
#include <thread>

#include "http/free_port.h"
#include "platform_standins/service_standin.h"
#include "platform_standins/store_standin.h"
#include "standins/child_process.h"
#include "stock_server.h"

namespace review {

using nlohmann::json;
using radishpulley::platform_adapter::standins::run_record;
using radishpulley::platform_adapter::standins::service_standin;
using radishpulley::platform_adapter::standins::store_standin;
using radishpulley::standins::child_process;

constexpr int vm_count = 3;
constexpr const char* host = "desk.example";
constexpr const char* key = "k-1";
// One answer of this many is 0.017; the platform's troubles spoil 0.02 of a server's answers.
constexpr int answers_per_spoilt_one = 60;
// Over the platform's contactMs, so that all daemons are in touch.
constexpr std::chrono::seconds settle_time{5};

inline std::string free_address() {
    return "127.0.0.1:" + std::to_string(radishpulley::http::free_port());
}

inline std::string zone_of(int n) {
    return "zone-" + std::to_string(n);
}

inline bool has_trouble() {
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

inline json configuration() {
    const auto route = [](const char* name, const char* type, int attempts) {
        return json{{"name", name},
                    {"host", host},
                    {"pathPrefix", std::string("/") + name + "/"},
                    {"service", name},
                    {"type", type},
                    {"timeoutMs", 1'200},
                    {"targetLatencyMs", 120},
                    {"maxAttempts", attempts},
                    {"priority", 2}};
    };
    return {{"version", 7},
            {"routes", {route("deposit", "non_idempotent", 1), route("stock", "idempotent", 2)}},
            {"services",
             {{{"name", "deposit"}, {"healthPath", "/healthz"}},
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
        const timeval limit{2, 0};
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
    /// Returns the next response, whose length its head states, or what came of it before the
    /// connection ended or the caller's patience did.
    std::string receive() {
        std::string in;
        char buf[4'096];
        while (!is_complete(in)) {
            const auto n = recv(fd_, buf, sizeof buf, 0);
            if (n <= 0) {
                is_closed_ = n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
                break;
            }
            in.append(buf, static_cast<std::size_t>(n));
        }
        return in;
    }
    /// Whether the daemon closed or reset the connection.
    bool is_closed() const { return is_closed_; }

    static bool is_complete(const std::string& in) {
        const std::size_t end = in.find("\r\n\r\n");
        const std::size_t at = in.find("Content-Length: ");
        return end != std::string::npos && at < end &&
               in.size() >= end + 4 + std::stoull(in.substr(at + 16));
    }

private:
    int fd_ = -1;
    bool is_connected_ = false;
    bool is_closed_ = false;
};

inline std::string request_text(const std::string& method, const std::string& path,
                                const std::string& id) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nRadishpulley-Attempt-Id: " + id +
           "\r\nRadishpulley-Deadline-Ms: 1200\r\nRadishpulley-Key: " + key + "\r\n" +
           (method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

/// Returns the first line of a response.
inline std::string first_line(const std::string& response) {
    return response.substr(0, response.find("\r\n"));
}

struct vm {
    std::string name;
    std::string callers;
    std::string readiness;
    std::string log;
    std::unique_ptr<child_process> process;
};

/// Starts everything; the destructor ends all processes that it started.
class small_fleet {
public:
    /// `daemon` is the program, `directory` an empty one for settings and logs, `spoilt` the one
    /// answer of the stock server of zone 0.
    small_fleet(const std::string& daemon, const std::string& directory, const std::string& spoilt,
                std::chrono::milliseconds deposit_time)
        : store_(loop_, time_), deposits_(loop_, time_, "i-deposit", "deposit", runs_) {
        store_.page_size = 500;
        deposits_.run_time = deposit_time;
        store_.put("config", "main", configuration());
        store_.put("servers", deposits_.id(),
                   deposits_.entry(deposits_.address(), zone_of(0), false));
        for (int n = 0; n < vm_count; ++n) {
            stock_.push_back(std::make_unique<stock_server>(
                loop_, "i-stock" + std::to_string(n), spoilt, n == 0 ? answers_per_spoilt_one : 0));
            json entry = deposits_.entry(stock_.back()->address(), zone_of(n), false);
            entry["service"] = "stock";
            store_.put("servers", stock_.back()->id(), entry);
        }
        const std::string store_address = store_.address();
        thread_ = std::thread([this] { loop_.run(); });
        for (int n = 0; n < vm_count; ++n) {
            start_daemon(n, daemon, directory, store_address);
        }
    }
    ~small_fleet() {
        vms_.clear();
        loop_.stop();
        thread_.join();
    }
    small_fleet(const small_fleet&) = delete;
    small_fleet& operator=(const small_fleet&) = delete;

    std::vector<vm>& vms() { return vms_; }
    /// Waits until all daemons are ready and in touch; returns false if that takes too long.
    bool wait_until_settled() {
        for (int i = 0; i < 100; ++i) {
            std::size_t ready = 0;
            for (const vm& it : vms_) {
                caller probe(it.readiness);
                probe.send("GET /v1/readiness HTTP/1.1\r\nHost: vm\r\n\r\n");
                ready += first_line(probe.receive()).rfind("HTTP/1.1 200", 0) == 0 ? 1 : 0;
            }
            if (ready == vms_.size()) {
                std::this_thread::sleep_for(settle_time);
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
    /// Number of times that the server of the deposits ran the request.
    unsigned runs(const std::string& id) {
        return on_loop([&] { return runs_.runs.count(id) != 0 ? runs_.runs[id].count : 0U; });
    }
    /// Number of answers that the stock server of zone 0 has given.
    int stock_answers() {
        return on_loop([this] { return stock_.front()->answers(); });
    }

private:
    template <typename Function>
    auto on_loop(Function call) -> decltype(call()) {
        std::promise<decltype(call())> out;
        boost::asio::post(loop_, [&] { out.set_value(call()); });
        return out.get_future().get();
    }

    void start_daemon(int n, const std::string& daemon, const std::string& directory,
                      const std::string& store_address) {
        vm it{"edge-" + std::to_string(n), free_address(), free_address(), "", nullptr};
        it.log = directory + "/" + it.name + ".log";
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
            std::vector<std::string>{daemon, "--edge", "--settings=" + settings}, it.log);
        vms_.push_back(std::move(it));
    }

    radishpulley::system_clock time_;
    boost::asio::io_context loop_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
        loop_.get_executor()};
    run_record runs_;
    store_standin store_;
    service_standin deposits_;
    std::vector<std::unique_ptr<stock_server>> stock_;
    std::thread thread_;
    std::vector<vm> vms_;
};

/// Sends stock checks through the first daemon, one after the other, until the stock server of its
/// zone has given `answers` of them or one gets no whole answer. Returns the last response.
inline std::string check_stock(small_fleet& fleet, int answers, std::FILE* record) {
    constexpr int most_checks = 300;
    static int number = 0;
    std::string response;
    for (int i = 0; i < most_checks && fleet.stock_answers() < answers; ++i) {
        const std::string id = "stock-" + std::to_string(++number);
        caller it(fleet.vms()[0].callers);
        it.send(request_text("GET", "/stock/1", id));
        response = it.receive();
        std::fprintf(record, "%s: sent to edge-0, answered \"%s\"\n", id.c_str(),
                     first_line(response).c_str());
        if (!caller::is_complete(response)) {
            break;
        }
    }
    return response;
}

}  // namespace review
