// Proxies of one machine: towards a server, which may be cut, and towards the store, which may fall
// silent.
#pragma once

#include "bed.h"

namespace bed {

class gate {
public:
    explicit gate(std::string to)
        : to_(std::move(to)), listener_("127.0.0.1:0", [this](auto it) { pump(it); }) {}
    const std::string& address() const { return listener_.address(); }
    /// Resets all connections and refuses new ones.
    void cut() {
        is_cut_ = true;
        listener_.stop();
    }
    void heal() {
        is_cut_ = false;
        listener_.open();
    }

private:
    void pump(const std::shared_ptr<connection>& it) {
        const auto server = connect_to(to_, 1000);
        char buf[16384];
        while (server && !is_cut_) {
            pollfd both[2] = {{it->fd(), POLLIN, 0}, {server->fd(), POLLIN, 0}};
            if (poll(both, 2, 20) < 0) {
                break;
            }
            if (both[0].revents != 0) {
                const ssize_t n = recv(it->fd(), buf, sizeof buf, 0);
                if (n <= 0 || !server->write(std::string(buf, static_cast<std::size_t>(n)))) {
                    break;
                }
            }
            if (both[1].revents != 0) {
                const ssize_t n = recv(server->fd(), buf, sizeof buf, 0);
                if (n <= 0 || !it->write(std::string(buf, static_cast<std::size_t>(n)))) {
                    break;
                }
            }
        }
        it->reset();
    }

    std::string to_;
    std::atomic<bool> is_cut_{false};
    listener listener_;
};

/// The store as one machine sees it: with other addresses of the servers.
class store_view {
public:
    store_view(std::string to, std::map<std::string, std::string> renamed)
        : to_(std::move(to)),
          renamed_(std::move(renamed)),
          listener_("127.0.0.1:0", [this](auto it) { serve(it); }) {}
    const std::string& address() const { return listener_.address(); }
    /// From now on no call gets an answer.
    void silence() { is_silent_ = true; }

private:
    void serve(const std::shared_ptr<connection>& it) {
        const auto server = connect_to(to_, 1000);
        while (const auto request = it->read(steady::now() + std::chrono::hours(1))) {
            std::string text = request->first_line + "\r\n";
            for (const auto& [name, value] : request->headers) {
                text += name + ": " + value + "\r\n";
            }
            if (is_silent_) {
                continue;
            }
            if (!server || !server->write(text + "\r\n" + request->body)) {
                break;
            }
            const auto answer = server->read(steady::now() + std::chrono::hours(1));
            if (!answer) {
                break;
            }
            std::string body = answer->body;
            for (const auto& [from, to] : renamed_) {
                const std::string old = '"' + from + '"';
                const std::string next = '"' + to + '"';
                for (std::size_t at = 0; (at = body.find(old, at)) != std::string::npos;) {
                    body.replace(at, old.size(), next);
                    at += next.size();
                }
            }
            const bool is_lost = is_silent_;
            if (!is_lost && !it->write(response(answer->status(), "OK",
                                                {{"Content-Type", "application/json"},
                                                 {"Store-Era", answer->header("Store-Era")}},
                                                body))) {
                break;
            }
        }
        it->reset();
    }

    std::string to_;
    std::map<std::string, std::string> renamed_;
    std::atomic<bool> is_silent_{false};
    listener listener_;
};

}  // namespace bed
