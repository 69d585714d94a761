/// HTTP server with one listening address and one handler.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/message.h"

namespace radishpulley::http {

/// Sends the response to one request, complete or as a stream. Exactly one of send() and start()
/// must be called, once. May be called from several threads, but calls for the same response must
/// not overlap.
class responder {
public:
    virtual ~responder() = default;
    /// Sends a complete response.
    virtual void send(const response& it) = 0;
    /// Sends status and headers; the body follows by write() and finish().
    virtual void start(const response& head) = 0;
    /// Appends bytes to the body. They are buffered in memory until the caller takes them.
    virtual void write(std::string_view bytes) = 0;
    /// Ends the body as its framing requires.
    virtual void finish() = 0;
    /// Closes the connection so that the caller detects a truncated response.
    virtual void abort() = 0;
    /// Number of written bytes that the connection has not taken yet.
    virtual std::size_t pending() const = 0;
    /// Sets the callback invoked when the response was sent (true) or the caller disconnected
    /// (false).
    virtual void on_done(std::function<void(bool sent)> action) = 0;
};

/// Called for each request on a thread of the library; must not block.
using handler = std::function<void(request, std::shared_ptr<responder>)>;

/// Limits on what the server accepts.
struct server_limits {
    /// Maximum body size; larger bodies are answered with 413.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Maximum total size of header names and values; larger headers are answered with 431.
    std::size_t max_header_bytes = 32 * 1024;
    /// Longest time without a byte on a connection while a request or response is in progress.
    std::chrono::seconds idle_timeout = std::chrono::seconds(120);
};

/// Certificate files for TLS; both empty for plain HTTP.
struct tls_files {
    std::string certificate;
    std::string private_key;
};

/// HTTP server that listens from construction to destruction.
class server {
public:
    /// `address` is a URL such as http://127.0.0.1:8080. Throws std::runtime_error if it cannot
    /// listen.
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
