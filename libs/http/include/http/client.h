/// HTTP client for one base address, with buffered and streamed responses.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "http/message.h"

namespace radishpulley::http {

/// Why a call has no complete response.
enum class failure_stage {
    /// No connection was made, so the server has not received the request.
    not_connected,
    /// The request may have reached the server and may have run. No response arrived, or none that
    /// is complete and valid.
    interrupted
};

/// A failed call.
struct call_failure {
    failure_stage stage = failure_stage::interrupted;
    std::string message;
    /// Whether the connection was refused, which proves that no process listens on the address.
    bool refused = false;
};

using call_result = std::variant<response, call_failure>;

/// Receives a streamed response. Calls arrive one at a time, on threads of the client, and end with
/// on_end() or on_failure().
class stream_observer {
public:
    virtual ~stream_observer() = default;
    /// Status and headers have arrived; the body of `head` is empty.
    virtual void on_head(const response& head) = 0;
    /// Bytes of the body have arrived. Reading resumes when `proceed` is called, from any thread.
    virtual void on_body(std::string_view bytes, std::function<void()> proceed) = 0;
    /// The body ended as its framing requires.
    virtual void on_end() = 0;
    virtual void on_failure(const call_failure& failure) = 0;
};

/// A streamed call in progress.
class running_call {
public:
    virtual ~running_call() = default;
    /// Closes the connection. The observer still receives on_failure().
    virtual void cancel() = 0;
};

/// Whether connections are kept open for later calls.
enum class connection_reuse {
    /// Keep-alive. If a kept connection turns out to be closed, the library sends the request
    /// again, so this is only for idempotent requests.
    keep,
    /// Every call opens its own connection and is sent at most once.
    one_per_call
};

/// HTTP client; thread-safe.
class client {
public:
    /// `idle_timeout` is the longest time without a byte from the server.
    client(std::string address, std::chrono::milliseconds idle_timeout,
           connection_reuse reuse = connection_reuse::keep);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Sends a request and waits for the complete response. Must not be called from a stream
    /// observer.
    call_result call(const request& it) const;

    /// Sends a request and streams the response to `observer`.
    std::shared_ptr<running_call> start(const request& it,
                                        std::shared_ptr<stream_observer> observer) const;

private:
    struct details;
    std::unique_ptr<details> details_;
};

/// Sets the size of the library's thread pool; only the first call in a process has an effect.
void set_library_threads(std::size_t n);

}  // namespace radishpulley::http
