#include "http/server.h"

#include <atomic>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <boost/asio/ssl.hpp>

namespace radishpulley::http {
namespace {

using concurrency::streams::producer_consumer_buffer;
using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;
using web::http::experimental::listener::http_listener_config;

constexpr std::size_t read_size = 16 * 1024;

// Thrown if a body exceeds the limit.
struct body_too_large : std::runtime_error {
    body_too_large() : std::runtime_error("the body is longer than this server accepts") {}
};

http_response to_cpprest(const response& it) {
    http_response out(static_cast<web::http::status_code>(it.status));
    for (const auto& [name, value] : it.headers) {
        out.headers().add(name, value);
    }
    return out;
}

class cpprest_responder final : public responder,
                                public std::enable_shared_from_this<cpprest_responder> {
public:
    explicit cpprest_responder(http_request request) : request_(std::move(request)) {}

    void send(const response& it) override {
        http_response out = to_cpprest(it);
        const std::string type(it.header("Content-Type"));
        if (!it.body.empty()) {
            out.set_body(std::vector<unsigned char>(it.body.begin(), it.body.end()));
            out.headers().set_content_type(type.empty() ? "application/octet-stream" : type);
        }
        reply(out);
    }

    void start(const response& head) override {
        http_response out = to_cpprest(head);
        out.set_body(body_.create_istream(), std::string(head.header("Content-Type")));
        streaming_ = true;
        reply(out);
    }

    void write(std::string_view bytes) override {
        body_.putn_nocopy(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
        // Without sync() the library holds the bytes back until its buffer is full.
        body_.sync();
    }

    void finish() override { body_.close(std::ios_base::out); }

    void abort() override {
        body_.close(std::ios_base::out,
                    std::make_exception_ptr(std::runtime_error("the response was aborted")));
    }

    std::size_t pending() const override { return body_.in_avail(); }

    void on_done(std::function<void(bool)> action) override {
        std::unique_lock<std::mutex> lock(mutex_);
        if (!done_) {
            action_ = std::move(action);
            return;
        }
        const bool sent = sent_;
        lock.unlock();
        action(sent);
    }

private:
    void reply(const http_response& out) {
        const auto self = shared_from_this();
        request_.reply(out).then([self](pplx::task<void> done) {
            bool sent = true;
            try {
                done.get();
            } catch (const std::exception&) {
                sent = false;
            }
            self->report(sent);
        });
    }

    void report(bool sent) {
        std::unique_lock<std::mutex> lock(mutex_);
        done_ = true;
        sent_ = sent;
        const auto action = std::exchange(action_, nullptr);
        lock.unlock();
        if (action) {
            action(sent);
        }
    }

    http_request request_;
    producer_consumer_buffer<uint8_t> body_;
    bool streaming_ = false;
    std::mutex mutex_;
    bool done_ = false;
    bool sent_ = false;
    std::function<void(bool)> action_;
};

// Reads the body up to the limit, regardless of the stated content length.
pplx::task<std::string> read_body(concurrency::streams::istream in, std::size_t limit,
                                  std::shared_ptr<std::string> received) {
    auto chunk = std::make_shared<std::vector<uint8_t>>(read_size);
    return in.streambuf().getn(chunk->data(), chunk->size()).then([=](std::size_t n) {
        received->append(reinterpret_cast<const char*>(chunk->data()), n);
        if (received->size() > limit) {
            throw body_too_large();
        }
        if (n == 0) {
            return pplx::task_from_result(std::move(*received));
        }
        return read_body(in, limit, received);
    });
}

request copy_head(const http_request& from) {
    request it;
    it.method = from.method();
    it.target = from.request_uri().to_string();
    for (const auto& [name, value] : from.headers()) {
        it.headers[name] = value;
    }
    return it;
}

std::size_t header_bytes(const header_map& headers) {
    std::size_t n = 0;
    for (const auto& [name, value] : headers) {
        n += name.size() + value.size();
    }
    return n;
}

response refusal(int status, std::string_view code, std::string_view message) {
    return json_response(status, R"({"error":{"code":")" + std::string(code) + R"(","message":")" +
                                     std::string(message) + R"(","run_state":"not_run"}})");
}

}  // namespace

struct server::details {
    std::string address;
    handler handle;
    server_limits limits;
    std::unique_ptr<http_listener> listener;

    void handle_request(const http_request& from) {
        auto reply = std::make_shared<cpprest_responder>(from);
        request it = copy_head(from);
        if (header_bytes(it.headers) > limits.max_header_bytes) {
            reply->send(refusal(431, "headers_too_large", "the headers are too large"));
            return;
        }
        const utility::size64_t content_length = from.headers().content_length();
        if (content_length > limits.max_body_bytes) {
            reply->send(refusal(413, "body_too_large", "the body is too large"));
            return;
        }
        const handler call = handle;
        auto received = std::make_shared<std::string>();
        read_body(from.body(), limits.max_body_bytes, received)
            .then([=](pplx::task<std::string> body) mutable {
                try {
                    it.body = body.get();
                } catch (const body_too_large&) {
                    reply->send(refusal(413, "body_too_large", "the body is too large"));
                    return;
                } catch (const std::exception&) {
                    reply->send(refusal(400, "body_truncated", "the body ended early"));
                    return;
                }
                if (content_length != 0 && it.body.size() != content_length) {
                    reply->send(refusal(400, "body_truncated", "the body ended early"));
                    return;
                }
                call(std::move(it), reply);
            });
    }
};

server::server(std::string address, handler handle, server_limits limits, tls_files tls)
    : details_(std::make_unique<details>()) {
    details_->address = std::move(address);
    details_->handle = std::move(handle);
    details_->limits = limits;
    http_listener_config config;
    config.set_timeout(limits.idle_timeout);
    if (!tls.certificate.empty()) {
        config.set_ssl_context_callback([tls](boost::asio::ssl::context& context) {
            context.use_certificate_chain_file(tls.certificate);
            context.use_private_key_file(tls.private_key, boost::asio::ssl::context::pem);
        });
    }
    details_->listener =
        std::make_unique<http_listener>(web::uri(details_->address), std::move(config));
    details* state = details_.get();
    details_->listener->support([state](const http_request& it) { state->handle_request(it); });
    try {
        details_->listener->open().wait();
    } catch (const std::exception& e) {
        throw std::runtime_error("cannot listen on " + details_->address + ": " + e.what());
    }
}

server::~server() {
    try {
        details_->listener->close().wait();
    } catch (const std::exception&) {
        // The sockets are closed in any case.
    }
}

const std::string& server::address() const {
    return details_->address;
}

}  // namespace radishpulley::http
