/// HTTP server: one listening address and one handler.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"

namespace radishpulley::http {

/// Answers one request, whole or as a stream. Exactly one of send() and start() is called, once.
/// Safe to call from several threads, but the calls of one answer must not overlap.
class responder {
public:
    virtual ~responder() = default;
    /// Sends a whole answer.
    virtual void send(const response& it) = 0;
    /// Sends status and headers; the body follows by write() and finish().
    virtual void start(const response& head) = 0;
    /// Adds bytes to the body. They are kept in memory until the caller takes them.
    virtual void write(std::string_view bytes) = 0;
    /// Ends the body as the protocol demands.
    virtual void finish() = 0;
    /// Ends the connection so that the caller sees a cut, not an end.
    virtual void abort() = 0;
    /// Bytes written and not yet taken by the connection.
    virtual std::size_t pending() const = 0;
    /// Sets the function that is called when the answer was sent (true) or the caller left (false).
    virtual void on_done(std::function<void(bool sent)> action) = 0;
};

/// Called for each request on a thread of the library; must not block.
using handler = std::function<void(request, std::shared_ptr<responder>)>;

/// What one server accepts.
struct server_limits {
    /// Longest body, in bytes; longer ones are answered 413.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Longest sum of header names and values, in bytes; longer ones are answered 431.
    std::size_t max_header_bytes = 32 * 1024;
    /// Longest time that a connection may stay silent while a request or an answer is under way.
    std::chrono::seconds idle_timeout = std::chrono::seconds(120);
};

/// Certificate files for TLS; both empty for none.
struct tls_files {
    std::string certificate;
    std::string private_key;
};

/// Listens from construction to destruction.
class server {
public:
    /// `address` such as http://127.0.0.1:8080. Throws std::runtime_error when it cannot listen.
    server(std::string address, handler handle, server_limits limits = {}, tls_files tls = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    const std::string& address() const;

private:
    struct details;
    std::unique_ptr<details> details_;
};

}  // namespace radishpulley::http
