#include "http/client.h"

#include <atomic>
#include <utility>
#include <vector>

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

namespace radishpulley::http {
namespace {

using web::http::http_exception;
using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr std::size_t max_read_size = 64 * 1024;
// Statuses of final responses (RFC 9110, 15).
constexpr int first_status = 200;
constexpr int last_status = 599;
constexpr const char* bad_status_message = "the status is out of range";

http_request to_cpprest(const request& it) {
    http_request out(it.method);
    out.set_request_uri(web::uri(it.target));
    if (!it.body.empty() || it.method == "POST" || it.method == "PUT") {
        out.set_body(std::vector<unsigned char>(it.body.begin(), it.body.end()));
    }
    for (const auto& [name, value] : it.headers) {
        out.headers().remove(name);
        out.headers().add(name, value);
    }
    return out;
}

// The library takes any number for a status, and the digits at the start of any text.
bool has_valid_status(const http_response& it) {
    return it.status_code() >= first_status && it.status_code() <= last_status;
}

response copy_head(const http_response& from) {
    response head;
    head.status = from.status_code();
    for (const auto& [name, value] : from.headers()) {
        head.headers[name] = value;
    }
    return head;
}

// A failed connect is only recognizable by the library's messages; its error codes are not uniform.
call_failure to_call_failure(const std::exception& e) {
    const std::string text = e.what();
    call_failure failure;
    failure.message = text;
    const bool connect_failed = text.find("Failed to connect") != std::string::npos ||
                                text.find("Error resolving address") != std::string::npos;
    if (connect_failed) {
        failure.stage = failure_stage::not_connected;
    }
    if (const auto* it = dynamic_cast<const http_exception*>(&e)) {
        failure.refused = connect_failed && it->error_code() == std::errc::connection_refused;
    }
    return failure;
}

// Reads a response's body piece by piece as it arrives.
class stream_reader final : public running_call,
                            public std::enable_shared_from_this<stream_reader> {
public:
    explicit stream_reader(std::shared_ptr<stream_observer> observer)
        : observer_(std::move(observer)) {}

    pplx::cancellation_token token() const { return source_.get_token(); }

    void cancel() override {
        cancelled_ = true;
        source_.cancel();
    }

    void begin(const pplx::task<http_response>& sent) {
        const auto self = shared_from_this();
        sent.then([self](pplx::task<http_response> done) {
            try {
                self->head_ = done.get();
                if (!has_valid_status(self->head_)) {
                    self->source_.cancel();
                    self->observer_->on_failure(
                        {failure_stage::interrupted, bad_status_message, false});
                    return;
                }
                self->observer_->on_head(copy_head(self->head_));
                self->body_ = self->head_.body().streambuf();
                self->read_next();
            } catch (const std::exception& e) {
                self->fail(e);
            }
        });
    }

private:
    void read_next() {
        const auto self = shared_from_this();
        if (cancelled_) {
            observer_->on_failure({failure_stage::interrupted, "cancelled", false});
            return;
        }
        // getc() waits for the first byte only, so that each piece is passed on as it arrives.
        body_.getc().then([self](pplx::task<concurrency::streams::streambuf<uint8_t>::int_type> c) {
            try {
                self->on_next_byte(c.get());
            } catch (const std::exception& e) {
                self->fail(e);
            }
        });
    }

    void on_next_byte(int c) {
        using traits = concurrency::streams::char_traits<uint8_t>;
        if (c == traits::eof()) {
            finish();
            return;
        }
        const std::size_t n = std::min<std::size_t>(body_.in_avail(), max_read_size);
        buf_.resize(n);
        // The bytes are buffered already, so this task completes immediately.
        buf_.resize(body_.getn(reinterpret_cast<uint8_t*>(buf_.data()), n).get());
        const auto self = shared_from_this();
        observer_->on_body(buf_, [self] { self->read_next(); });
    }

    void finish() {
        // content_ready() reports the error of a truncated body.
        const auto self = shared_from_this();
        head_.content_ready().then([self](pplx::task<http_response> done) {
            try {
                done.get();
                self->observer_->on_end();
            } catch (const std::exception& e) {
                self->fail(e);
            }
        });
    }

    void fail(const std::exception& e) { observer_->on_failure(to_call_failure(e)); }

    std::shared_ptr<stream_observer> observer_;
    pplx::cancellation_token_source source_;
    std::atomic<bool> cancelled_{false};
    http_response head_;
    concurrency::streams::streambuf<uint8_t> body_;
    std::string buf_;
};

}  // namespace

struct client::details {
    std::string address;
    http_client_config config;
    connection_reuse reuse;
    http_client keep_alive_client;

    details(std::string to, http_client_config client_config, connection_reuse reuse_policy)
        : address(std::move(to)),
          config(std::move(client_config)),
          reuse(reuse_policy),
          keep_alive_client(web::uri(address), config) {}

    pplx::task<http_response> send(const request& it, const pplx::cancellation_token& token) {
        if (reuse == connection_reuse::keep) {
            return keep_alive_client.request(to_cpprest(it), token);
        }
        http_client fresh(web::uri(address), config);
        return fresh.request(to_cpprest(it), token);
    }
};

client::client(std::string address, std::chrono::milliseconds idle_timeout,
               connection_reuse reuse) {
    http_client_config config;
    config.set_timeout(idle_timeout);
    details_ = std::make_unique<details>(std::move(address), config, reuse);
}

client::~client() = default;

call_result client::call(const request& it) const {
    try {
        const pplx::cancellation_token_source source;
        http_response cpprest_response = details_->send(it, source.get_token()).get();
        if (!has_valid_status(cpprest_response)) {
            source.cancel();
            return call_failure{failure_stage::interrupted, bad_status_message, false};
        }
        response result = copy_head(cpprest_response);
        const std::vector<unsigned char> body = cpprest_response.extract_vector().get();
        result.body.assign(body.begin(), body.end());
        return result;
    } catch (const std::exception& e) {
        return to_call_failure(e);
    }
}

std::shared_ptr<running_call> client::start(const request& it,
                                            std::shared_ptr<stream_observer> observer) const {
    auto reader = std::make_shared<stream_reader>(std::move(observer));
    reader->begin(details_->send(it, reader->token()));
    return reader;
}

void set_library_threads(std::size_t n) {
    try {
        crossplat::threadpool::initialize_with_threads(n);
    } catch (const std::exception&) {
        // The pool is running already, with the size that was set first.
    }
}

}  // namespace radishpulley::http
