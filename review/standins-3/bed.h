// Test bed of this review: HTTP over blocking sockets, the platform's store, processes and a
// record. One thread per connection; no library beside the standard one and nlohmann::json.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace bed {

using nlohmann::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline steady::time_point& origin() {
    static steady::time_point it = steady::now();
    return it;
}

/// Seconds since the start of the script.
inline double now_s() {
    return std::chrono::duration<double>(steady::now() - origin()).count();
}

inline void sleep_ms(long n) {
    std::this_thread::sleep_for(ms(n));
}

inline void sleep_until_s(double s) {
    std::this_thread::sleep_until(
        origin() + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(s)));
}

/// Lines of record.txt.
class record_file {
public:
    void open(const std::string& path) { out_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (out_ == nullptr) {
            return;
        }
        std::fprintf(out_, "%8.3f ", now_s());
        va_list args;
        va_start(args, format);
        std::vfprintf(out_, format, args);
        va_end(args);
        std::fputc('\n', out_);
        std::fflush(out_);
    }

private:
    std::mutex mutex_;
    FILE* out_ = nullptr;
};

inline record_file& record() {
    static record_file it;
    return it;
}

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;

    std::string header(const std::string& name) const {
        const auto it = headers.find(lower(name));
        return it == headers.end() ? std::string() : it->second;
    }
    /// Word `n` of the first line.
    std::string word(int n) const {
        std::size_t at = 0;
        for (int i = 0; i < n; ++i) {
            at = first_line.find(' ', at);
            if (at == std::string::npos) {
                return {};
            }
            ++at;
        }
        return first_line.substr(at, first_line.find(' ', at) - at);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// A connected socket with buffered reading.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }
    void reset() {
        const linger it{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &it, sizeof it);
        close();
    }
    bool write(const std::string& bytes) {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t n = ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            at += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Whether the peer has closed or reset the connection.
    bool has_ended() const {
        pollfd it{fd_, POLLIN | POLLRDHUP, 0};
        if (poll(&it, 1, 0) <= 0) {
            return false;
        }
        return (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    /// Reads more, until `deadline`; false at the end, an error or the deadline.
    bool fill(steady::time_point deadline) {
        const auto left = std::chrono::duration_cast<ms>(deadline - steady::now()).count();
        pollfd it{fd_, POLLIN, 0};
        if (left <= 0 || poll(&it, 1, static_cast<int>(left) + 1) <= 0) {
            timed_out_ = true;
            return false;
        }
        char buf[16384];
        const ssize_t n = ::recv(fd_, buf, sizeof buf, 0);
        if (n <= 0) {
            was_reset_ = n < 0;
            return false;
        }
        in_.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    bool timed_out() const { return timed_out_; }
    const std::string& unread() const { return in_; }
    bool was_reset() const { return was_reset_; }

    /// Reads one message with a length or in chunks; or its head only.
    std::optional<message> read(steady::time_point deadline, bool head_only = false) {
        timed_out_ = false;
        std::size_t end = 0;
        while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        message out;
        const std::string head = in_.substr(0, end + 2);
        in_.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        out.first_line = head.substr(0, at);
        at += 2;
        while (at < head.size()) {
            const std::size_t stop = head.find("\r\n", at);
            const std::string line = head.substr(at, stop - at);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' ') == std::string::npos
                                   ? value.size()
                                   : value.find_first_not_of(' '));
                out.headers[lower(line.substr(0, colon))] = value;
            }
            at = stop + 2;
        }
        if (head_only) {
            return out;
        }
        if (lower(out.header("transfer-encoding")) == "chunked") {
            while (true) {
                const auto chunk = read_chunk(deadline);
                if (!chunk) {
                    return std::nullopt;
                }
                if (chunk->empty()) {
                    return out;
                }
                out.body += *chunk;
            }
        }
        const std::size_t length = std::strtoul(out.header("content-length").c_str(), nullptr, 10);
        while (in_.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        out.body = in_.substr(0, length);
        in_.erase(0, length);
        return out;
    }

    /// Reads one chunk of a body; the last one is empty.
    std::optional<std::string> read_chunk(steady::time_point deadline) {
        std::size_t line_end = 0;
        while ((line_end = in_.find("\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        const std::size_t size = std::strtoul(in_.c_str(), nullptr, 16);
        while (in_.size() < line_end + 2 + size + 2) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        std::string out = in_.substr(line_end + 2, size);
        in_.erase(0, line_end + 2 + size + 2);
        return out;
    }

private:
    int fd_;
    std::string in_;
    bool timed_out_ = false;
    bool was_reset_ = false;
};

inline sockaddr_in to_sockaddr(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

inline std::shared_ptr<connection> connect_to(const std::string& address, long timeout_ms = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = to_sockaddr(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        pollfd it{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&it, 1, static_cast<int>(timeout_ms)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_shared<connection>(fd);
}

/// A free port of an address, as IP:PORT.
inline std::string free_address(const std::string& ip) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = to_sockaddr(ip + ":0");
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        std::perror("bind");
        std::_Exit(2);
    }
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ip + ":" + std::to_string(ntohs(at.sin_port));
}

/// Accepts connections; each one is served by a thread of its own.
class listener {
public:
    using handler = std::function<void(std::shared_ptr<connection>)>;

    listener(const std::string& address, handler serve) : serve_(std::move(serve)) {
        address_ = address;
        open();
    }
    const std::string& address() const { return address_; }
    /// Resets all connections and refuses new ones.
    void stop() {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (fd_ < 0) {
            return;
        }
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        fd_ = -1;
        for (const auto& it : open_) {
            if (const auto held = it.lock()) {
                const linger zero{1, 0};
                setsockopt(held->fd(), SOL_SOCKET, SO_LINGER, &zero, sizeof zero);
                ::shutdown(held->fd(), SHUT_RDWR);
            }
        }
        open_.clear();
    }
    void open() {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at = to_sockaddr(address_);
        if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0) {
            std::perror("listen");
            std::_Exit(2);
        }
        socklen_t size = sizeof at;
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        address_ = address_.substr(0, address_.rfind(':') + 1) + std::to_string(ntohs(at.sin_port));
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            fd_ = fd;
        }
        std::thread([this, fd] {
            while (true) {
                const int it = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (it < 0) {
                    return;
                }
                auto made = std::make_shared<connection>(it);
                {
                    const std::lock_guard<std::mutex> lock(mutex_);
                    if (fd_ != fd) {
                        made->reset();
                        return;
                    }
                    open_.erase(std::remove_if(open_.begin(), open_.end(),
                                               [](const auto& w) { return w.expired(); }),
                                open_.end());
                    open_.push_back(made);
                }
                std::thread([this, made] { serve_(made); }).detach();
            }
        }).detach();
    }

private:
    std::string address_;
    handler serve_;
    std::mutex mutex_;
    int fd_ = -1;
    std::vector<std::weak_ptr<connection>> open_;
};

inline std::string response(int status, const std::string& reason,
                            const std::vector<std::pair<std::string, std::string>>& headers,
                            const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string query_value(const std::string& query, const std::string& name) {
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::string rest = query.substr(at + name.size() + 1);
    return rest.substr(0, rest.find('&'));
}

/// The platform's store, as PROTOCOL.md has it; all reads are linearizable. It may come back from a
/// copy, as in a drill.
class store {
public:
    explicit store(const std::string& address)
        : listener_(address, [this](auto it) { serve(std::move(it)); }) {}

    const std::string& address() const { return listener_.address(); }

    void put(const std::string& kind, const std::string& name, const json& spec) {
        const std::lock_guard<std::mutex> lock(mutex_);
        put_locked(kind, name, spec);
    }
    void erase(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(mutex_);
        erase_locked(kind, name);
    }
    bool has(const std::string& kind, const std::string& name) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return objects_[kind].count(name) != 0;
    }
    std::size_t count(const std::string& kind) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return objects_[kind].size();
    }
    /// What the objects of a kind hold.
    std::vector<json> specs(const std::string& kind) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::vector<json> out;
        for (const auto& [name, object] : objects_[kind]) {
            out.push_back(object["spec"]);
        }
        return out;
    }
    void back_up() {
        const std::lock_guard<std::mutex> lock(mutex_);
        copy_ = {objects_, history_, revision_};
    }
    /// Away for a moment: no connection, no answer.
    void go_away() { listener_.stop(); }
    void come_back_from_copy() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            objects_ = copy_.objects;
            history_ = copy_.history;
            revision_ = copy_.revision;
            ++era_;
            changed_.notify_all();
        }
        listener_.open();
    }

private:
    struct change {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool removed;
    };
    struct copy {
        std::map<std::string, std::map<std::string, json>> objects;
        std::deque<change> history;
        std::uint64_t revision = 0;
    };

    void put_locked(const std::string& kind, const std::string& name, const json& spec) {
        auto& known = objects_[kind];
        const auto found = known.find(name);
        if (found != known.end() && found->second["spec"] == spec) {
            return;
        }
        json& object = known[name];
        const std::uint64_t created =
            object.is_object() ? object["metadata"]["created"].get<std::uint64_t>() : revision_ + 1;
        object = {{"metadata",
                   {{"name", name},
                    {"revision", ++revision_},
                    {"created", created},
                    {"finalizers", json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", nullptr}};
        history_.push_back({revision_, kind, object, false});
        changed_.notify_all();
    }
    void erase_locked(const std::string& kind, const std::string& name) {
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end()) {
            return;
        }
        json object = found->second;
        objects_[kind].erase(found);
        ++revision_;
        history_.push_back({revision_, kind, std::move(object), true});
        changed_.notify_all();
    }

    void serve(std::shared_ptr<connection> it) {
        while (const auto request = it->read(steady::now() + std::chrono::hours(1))) {
            int status = 200;
            json body;
            std::uint64_t era = 0;
            {
                std::unique_lock<std::mutex> lock(mutex_);
                std::tie(status, body) = handle(*request, lock);
                era = era_;
            }
            const std::string text = body.is_null() ? "" : body.dump();
            if (!it->write(response(
                    status, "OK",
                    {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}},
                    text))) {
                return;
            }
        }
    }

    std::pair<int, json> handle(const message& request, std::unique_lock<std::mutex>& lock) {
        const std::string target = request.word(1);
        const std::size_t mark = target.find('?');
        const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
        std::string path = target.substr(0, mark);
        const std::string prefix = "/v1/objects/";
        if (path.compare(0, prefix.size(), prefix) != 0) {
            return {404, json()};
        }
        path.erase(0, prefix.size());
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        const std::string method = request.word(0);
        if (method == "GET" && !query_value(query, "watch").empty()) {
            return watch(kind, query, lock);
        }
        if (method == "GET" && name.empty()) {
            return list(kind, query_value(query, "after"));
        }
        const auto found = objects_[kind].find(name);
        if (method == "GET") {
            return found == objects_[kind].end() ? std::pair<int, json>{404, json()}
                                                 : std::pair<int, json>{200, found->second};
        }
        if (method == "DELETE") {
            if (found == objects_[kind].end()) {
                return {404, json()};
            }
            const json known = found->second;
            const std::string revision = query_value(query, "revision");
            if (!revision.empty() &&
                std::stoull(revision) != known["metadata"]["revision"].get<std::uint64_t>()) {
                return {409, known};
            }
            erase_locked(kind, name);
            return {200, known};
        }
        const json body = json::parse(request.body, nullptr, false);
        if (method == "POST") {
            const std::string created = body["metadata"]["name"];
            const auto known = objects_[kind].find(created);
            if (known != objects_[kind].end()) {
                return {409, known->second};
            }
            put_locked(kind, created, body["spec"]);
            return {200, objects_[kind][created]};
        }
        if (found == objects_[kind].end()) {
            return {404, json()};
        }
        const json& metadata = body["metadata"];
        if (metadata.contains("revision") &&
            metadata["revision"] != found->second["metadata"]["revision"]) {
            return {409, found->second};
        }
        put_locked(kind, name, body["spec"]);
        return {200, objects_[kind][name]};
    }

    std::pair<int, json> list(const std::string& kind, const std::string& after) {
        json items = json::array();
        for (auto it = objects_[kind].upper_bound(after); it != objects_[kind].end(); ++it) {
            items.push_back(it->second);
        }
        return {200, {{"items", items}, {"morePages", false}, {"storeRevision", revision_}}};
    }

    std::pair<int, json> watch(const std::string& kind, const std::string& query,
                               std::unique_lock<std::mutex>& lock) {
        const std::uint64_t since = std::stoull(query_value(query, "watch"));
        const std::string text = query_value(query, "waitMs");
        const auto until = steady::now() + ms(text.empty() ? 1000 : std::stol(text));
        const std::uint64_t era = era_;
        while (true) {
            if (era != era_ || since > revision_) {
                return {410, json()};
            }
            json events = json::array();
            for (const change& it : history_) {
                if (it.revision > since && it.kind == kind) {
                    events.push_back({{"object", it.object}, {"removed", it.removed}});
                }
            }
            if (!events.empty() || steady::now() >= until) {
                return {200, {{"events", events}, {"storeRevision", revision_}}};
            }
            changed_.wait_until(lock, until);
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::deque<change> history_;
    std::uint64_t revision_ = 5;
    std::uint64_t era_ = 1;
    copy copy_;
    listener listener_;
};

/// Settings of one daemon, filled into the layout of deploy/radishpulleyd.toml.template.
struct machine {
    std::string name;
    std::string zone;
    std::string region;
    std::string ip;
    std::string callers;
    std::string ready;
    std::string peers;
    std::string metrics;
    std::string store;
    std::string settings_file;
    std::string log_file;
    pid_t pid = -1;
};

struct bounds {
    int grace_s = 8;
    double retry_ratio = 0.2;
    int retry_slack = 54;
    int quota_slack = 72'000;
    int memory_mb = 260;
};

/// Starts and ends the project's daemon with the words of `run` in deploy/system.toml.
class fleet {
public:
    fleet(std::string root, std::string folder, bounds limits)
        : root_(std::move(root)), folder_(std::move(folder)), limits_(limits) {}
    ~fleet() { end_all(); }

    machine& add(const std::string& name, const std::string& zone, const std::string& region,
                 const std::string& ip, const std::string& store_address) {
        auto it = std::make_unique<machine>();
        it->name = name;
        it->zone = zone;
        it->region = region;
        it->ip = ip;
        it->callers = free_address(ip);
        it->ready = free_address(ip);
        it->peers = free_address(ip);
        it->metrics = free_address(ip);
        it->store = store_address;
        it->settings_file = folder_ + "/" + name + ".toml";
        it->log_file = folder_ + "/" + name + ".log";
        zones_[zone] = region;
        machines_.push_back(std::move(it));
        return *machines_.back();
    }
    void write_settings() {
        for (const auto& it : machines_) {
            std::ofstream out(it->settings_file);
            out << "[vm]\nid = \"" << it->name << "\"\navailability_zone = \"" << it->zone
                << "\"\nregion = \"" << it->region << "\"\n[regions]\n";
            for (const auto& [zone, region] : zones_) {
                out << "\"" << zone << "\" = \"" << region << "\"\n";
            }
            out << "[listen]\ncallers = \"" << it->callers << "\"\nreadiness = \"" << it->ready
                << "\"\npeers = \"" << it->peers << "\"\nmetrics = \"" << it->metrics << "\"\n"
                << "[store]\naddress = \"" << it->store
                << "\"\n[bounds]\nshutdown_grace_s = " << limits_.grace_s
                << "\nretry_ratio = " << limits_.retry_ratio
                << "\nretry_reserve = " << limits_.retry_slack
                << "\nlimit_reserve = " << limits_.quota_slack
                << "\nconfiguration_apply_ms = 2500\ndrain_ms = 2500\nversion_ms = 5000\n"
                << "endpoints_check_fencing = true\n[limits]\nmemory_mb = " << limits_.memory_mb
                << "\ndescriptors = 4100\n";
        }
    }
    void start(machine& it) {
        const std::string program = root_ + "/target/radishpulley/daemon/radishpulleyd";
        const std::string settings = "--settings=" + it.settings_file;
        const std::string boot = "RADISHPULLEY_BOOT=" + it.settings_file;
        const pid_t pid = fork();
        if (pid == 0) {
            // The daemon must not outlive this program.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open(it.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            if (chdir(root_.c_str()) != 0) {
                std::_Exit(2);
            }
            const char* const argv[] = {program.c_str(), "--edge", settings.c_str(), nullptr};
            const char* const envp[] = {"PATH=/usr/bin:/bin", "LANG=C", boot.c_str(), nullptr};
            execve(program.c_str(), const_cast<char* const*>(argv), const_cast<char* const*>(envp));
            std::_Exit(2);
        }
        it.pid = pid;
        record().line("machine %s started", it.name.c_str());
    }
    void send_signal(machine& it, int signal) {
        if (it.pid > 0) {
            ::kill(it.pid, signal);
        }
    }
    void kill(machine& it) {
        if (it.pid > 0) {
            ::kill(it.pid, SIGKILL);
            int status = 0;
            waitpid(it.pid, &status, 0);
            it.pid = -1;
            record().line("machine %s killed", it.name.c_str());
        }
    }
    /// Kills several machines at the same moment.
    void kill_together(const std::vector<machine*>& those) {
        for (machine* it : those) {
            send_signal(*it, SIGKILL);
        }
        for (machine* it : those) {
            kill(*it);
        }
    }
    void end_all() {
        for (const auto& it : machines_) {
            kill(*it);
        }
    }
    const std::vector<std::unique_ptr<machine>>& machines() const { return machines_; }
    /// Asks the readiness address as the platform does.
    static bool is_ready(const machine& it) {
        const auto to = connect_to(it.ready, 300);
        if (!to || !to->write("GET /v1/readiness HTTP/1.1\r\nHost: " + it.ready + "\r\n\r\n")) {
            return false;
        }
        const auto answer = to->read(steady::now() + ms(500));
        return answer && answer->status() == 200;
    }
    bool wait_until_ready(double seconds) {
        const auto until = steady::now() + ms(static_cast<long>(seconds * 1000));
        while (steady::now() < until) {
            if (std::all_of(machines_.begin(), machines_.end(),
                            [](const auto& it) { return is_ready(*it); })) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

private:
    std::string root_;
    std::string folder_;
    bounds limits_;
    std::map<std::string, std::string> zones_;
    std::vector<std::unique_ptr<machine>> machines_;
};

/// A new folder for settings and logs.
inline std::string make_folder() {
    char name[] = "/tmp/review-3-XXXXXX";
    if (mkdtemp(name) == nullptr) {
        std::_Exit(2);
    }
    return name;
}

inline bool has_trouble() {
    const char* it = std::getenv("TROUBLE");
    return it == nullptr || std::string(it) != "0";
}

}  // namespace bed
