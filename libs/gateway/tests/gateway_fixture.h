/// A gateway on loopback whose callers and endpoints are scripted byte by byte.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "gateway/gateway.h"

namespace radishpulley::gateway::testing {

using tcp = boost::asio::ip::tcp;

/// Codec with simplified headers for the tests.
class test_codec final : public header_codec {
public:
    routing::request_attributes read_request(const header_list& headers) const override {
        routing::request_attributes out;
        out.id = request_id(find_header(headers, "X-Id"));
        out.key = std::string(find_header(headers, "X-Key"));
        const std::string_view target = find_header(headers, "X-Model");
        if (!target.empty()) {
            out.target.model = std::string(target.substr(0, target.find('/')));
            out.target.adapter = std::string(target.substr(target.find('/') + 1));
        }
        std::stringstream segments{std::string(find_header(headers, "X-Segments"))};
        for (std::string id; std::getline(segments, id, ',');) {
            out.segments.push_back({std::stoull(id, nullptr, 16), 100});
        }
        const std::string_view last_event = find_header(headers, "Last-Event-Id");
        if (!last_event.empty()) {
            out.last_event = std::string(last_event);
            out.resumed_request = request_id(find_header(headers, "X-Resumes"));
        }
        const std::string_view deadline = find_header(headers, "X-Deadline");
        if (!deadline.empty()) {
            out.deadline = std::chrono::milliseconds(std::stoi(std::string(deadline)));
        }
        return out;
    }
    bool is_forwarded(std::string_view name) const override {
        return !same_name(name, "X-Key") && !same_name(name, "X-Account") &&
               !same_name(name, "Last-Event-Id");
    }
    void append_call_attributes(const call_attributes& it, std::string& out) const override {
        append_header(out, "X-Expect", it.expected.str());
        append_header(out, "X-Account", it.account.str());
        if (it.time_left) {
            append_header(out, "X-Time-Left", std::to_string(it.time_left->count()));
        }
        if (it.adapter_version) {
            append_header(out, "X-Version", std::to_string(*it.adapter_version));
        }
        if (it.last_event) {
            append_header(out, "Last-Event-Id", *it.last_event);
        }
    }
    response_attributes read_response(unsigned status, const header_list& headers) const override {
        response_attributes out;
        out.is_signed = !find_header(headers, "X-Signature").empty();
        out.not_run = !find_header(headers, "X-Not-Run").empty();
        out.notice.leaving = !find_header(headers, "X-Leaving").empty();
        const std::string_view limit = find_header(headers, "X-Limit");
        if (!limit.empty()) {
            out.notice.rate_limit = std::stod(std::string(limit));
        }
        const std::string_view cold = find_header(headers, "X-Cold");
        if (!cold.empty()) {
            out.notice.cold_left = std::chrono::milliseconds(std::stoi(std::string(cold)));
        }
        const std::string_view answered_by = find_header(headers, "X-Answered-By");
        if (!answered_by.empty()) {
            out.notice.answered_by = endpoint_id(std::string(answered_by));
        }
        const std::string_view pause = find_header(headers, "Retry-After");
        if (status == 503 && !pause.empty()) {
            out.notice.pause = std::chrono::seconds(std::stoi(std::string(pause)));
        }
        return out;
    }
    std::string_view id_header() const override { return "X-Id"; }
};

/// Broker that refuses all loads unless a test sets `on_load_request`.
class stub_broker final : public load_broker {
public:
    load_request_result request_load(const endpoint_id& engine, const routing::model_ref& adapter,
                                     duration max_wait) override {
        return on_load_request(engine, adapter, max_wait);
    }
    std::function<load_request_result(const endpoint_id&, const routing::model_ref&, duration)>
        on_load_request = [](const endpoint_id&, const routing::model_ref&,
                             duration) -> load_request_result { return load_not_possible{}; };
    bool can_request_load(const endpoint_id& engine) const override {
        return silent.count(engine) == 0;
    }
    void note_load_unanswered(const endpoint_id& engine) override { silent.insert(engine); }
    /// Engines whose holder does not answer.
    std::set<endpoint_id> silent;
    void note_request_start(const endpoint_id&, const routing::model_ref&) override {}
    void note_large_prefill() override {}
    void note_request_end(const endpoint_id&, const routing::model_ref&) override { ++ended; }
    int ended = 0;
    void note_adapter_missing(const endpoint_id&, const routing::model_ref&) override {}
};

/// One raw TCP connection of a caller or endpoint, which collects the bytes it receives.
class peer : public std::enable_shared_from_this<peer> {
public:
    explicit peer(tcp::socket socket) : socket_(std::move(socket)) {}

    void start() { read(); }
    void send(const std::string& bytes) {
        boost::system::error_code ec;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ec);
        has_send_failed = has_send_failed || ec;
    }
    /// Sends `bytes` repeatedly until the other side closes.
    void flood(std::string bytes) {
        boost::asio::async_write(socket_, boost::asio::buffer(flood_ = std::move(bytes)),
                                 [self = shared_from_this()](auto ec, std::size_t) {
                                     if (!ec) {
                                         self->flood(std::move(self->flood_));
                                     }
                                 });
    }
    /// Sends as much as the socket accepts at once.
    void send_some(const std::string& bytes) {
        boost::system::error_code ignored;
        socket_.non_blocking(true);
        socket_.write_some(boost::asio::buffer(bytes), ignored);
    }
    /// Reads to the end of the connection without running the loop; returns all received bytes.
    std::string receive_rest() {
        boost::system::error_code ec;
        socket_.cancel(ec);
        socket_.non_blocking(true);
        std::array<char, 4096> buf{};
        for (std::size_t n = 1; n > 0;) {
            n = socket_.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), n);
        }
        return received;
    }
    /// Closes in an orderly way.
    void close() {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }
    /// Closes with a reset.
    void reset() {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    std::string received;
    bool ended = false;
    /// Whether it ended with a reset.
    bool was_reset = false;
    /// Whether bytes could not be sent, because the connection had been reset.
    bool has_send_failed = false;
    std::function<void(peer&)> on_bytes = [](peer&) {};

private:
    void read() {
        socket_.async_read_some(
            boost::asio::buffer(buffer_), [self = shared_from_this()](auto ec, std::size_t n) {
                self->received.append(self->buffer_.data(), n);
                if (ec) {
                    self->ended = true;
                    self->was_reset = ec == boost::asio::error::connection_reset;
                    return;
                }
                self->on_bytes(*self);
                self->read();
            });
    }

    tcp::socket socket_;
    std::array<char, 4096> buffer_{};
    std::string flood_;
};

/// An endpoint that passes each complete request to `script`, which responds on the connection.
class fake_endpoint {
public:
    using script = std::function<void(const std::string& request, peer& connection)>;

    fake_endpoint(boost::asio::io_context& loop, script on_request)
        : acceptor_(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          on_request_(std::move(on_request)) {
        accept();
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Ends like a process that was killed: its connections are reset and new ones refused.
    void crash() {
        acceptor_.close();
        for (const auto& it : connections) {
            it->reset();
        }
    }

    std::vector<std::string> requests;
    std::vector<std::shared_ptr<peer>> connections;

private:
    void accept() {
        acceptor_.async_accept([this](auto ec, tcp::socket socket) {
            if (ec) {
                return;
            }
            auto it = std::make_shared<peer>(std::move(socket));
            it->on_bytes = [this](peer& from) { take_requests(from); };
            connections.push_back(it);
            it->start();
            accept();
        });
    }

    void take_requests(peer& from) {
        for (;;) {
            const std::size_t end = from.received.find("\r\n\r\n");
            if (end == std::string::npos) {
                return;
            }
            std::size_t length = 0;
            const std::size_t at = from.received.find("Content-Length: ");
            if (at < end) {
                length = std::stoul(from.received.substr(at + 16));
            }
            if (from.received.size() < end + 4 + length) {
                return;
            }
            const std::string request = from.received.substr(0, end + 4 + length);
            from.received.erase(0, request.size());
            requests.push_back(request);
            on_request_(request, from);
        }
    }

    tcp::acceptor acceptor_;
    script on_request_;
};

/// The gateway with its callers and endpoints. Requests go to /once/ (non-idempotent), /again/
/// (idempotent), /events/ (a resumable stream), /stream/ (one that is not) or /open/ (no key); all
/// but the last need the key `k`.
class gateway_fixture {
public:
    /// `knows_past` is whether the record of software that served before was read.
    explicit gateway_fixture(bool knows_past = true)
        : proxy_(loop, time, codec, metrics, settings()),
          acceptor_(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
        proxy_.set_broker(broker_);
        if (knows_past) {
            // No other software served before.
            proxy_.on_software_record({});
        }
        accept();
    }

    /// Adds an endpoint of the service that runs a version of its software.
    fake_endpoint& add_endpoint(const std::string& id, fake_endpoint::script on_request,
                                const std::string& software_version = "v1") {
        endpoints_.emplace_back(loop, std::move(on_request));
        routing::endpoint entry;
        entry.id = endpoint_id(id);
        entry.service = service_id("s");
        entry.address = endpoints_.back().address();
        entry.slots = 4;
        entry.software_version = software_version;
        proxy_.on_endpoint(entry);
        return endpoints_.back();
    }

    /// Returns the endpoint that was added as number `i`, from 0.
    fake_endpoint& endpoint(std::size_t i) { return *std::next(endpoints_.begin(), i); }

    bool with_engines = false;
    std::chrono::milliseconds idle_timeout{15'000};
    std::size_t max_header_bytes = 2'000;
    std::size_t max_body_bytes = 10'000;

    void configure(double rate = 0) { apply(content(rate)); }

    void apply(const routing::configuration_content& it) {
        proxy_.on_configuration(std::make_shared<routing::configuration>(it));
    }

    /// Returns what configure() applies.
    routing::configuration_content content(double rate = 0) const {
        routing::configuration_content content;
        content.version = 1;
        for (const char* name : {"once", "again", "events", "open", "stream"}) {
            routing::route it;
            it.name = name;
            it.host = "h";
            it.path_prefix = std::string("/") + name + "/";
            it.services = {{service_id("s"), 1}};
            it.max_attempts = 2;
            it.timeout = std::chrono::milliseconds(5'000);
            content.routes.push_back(it);
        }
        content.routes[1].kind = routing::request_kind::idempotent;
        content.routes[2].kind = routing::request_kind::streaming;
        content.routes[2].resumable = true;
        content.routes[3].open = true;
        content.routes[4].kind = routing::request_kind::streaming;
        routing::service service;
        service.id = service_id("s");
        if (with_engines) {
            service.engine.emplace();
        }
        content.services = {service};
        routing::client_account account;
        account.id = client_account_id("acme");
        account.keys = {"k"};
        account.rate = rate;
        account.burst = rate;
        content.accounts = {account};
        content.limits.max_header_bytes = max_header_bytes;
        content.limits.max_body_bytes = max_body_bytes;
        content.limits.idle_timeout = idle_timeout;
        return content;
    }

    std::shared_ptr<peer> connect() {
        auto it = connect_without_reading();
        it->start();
        return it;
    }

    /// Connects a caller that does not read before it is started; its system keeps about
    /// `receive_buffer` bytes for it, or its own choice of them.
    std::shared_ptr<peer> connect_without_reading(std::optional<int> receive_buffer = {}) {
        tcp::socket socket(loop, tcp::v4());
        if (receive_buffer) {
            socket.set_option(boost::asio::socket_base::receive_buffer_size(*receive_buffer));
        }
        socket.connect(acceptor_.local_endpoint());
        return std::make_shared<peer>(std::move(socket));
    }

    /// Sends one request on a new connection and returns what is received until `done`.
    std::string round_trip(const std::string& request,
                           const std::function<bool(const peer&)>& done) {
        const auto caller = connect();
        caller->send(request);
        run_until([&] { return caller->ended || done(*caller); });
        return caller->received;
    }

    /// Runs the loop until `done`; fails if that takes too long.
    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 2'000;
        for (int i = 0; i < max_steps && !done(); ++i) {
            loop.restart();
            loop.run_one_for(std::chrono::milliseconds(10));
        }
        BOOST_REQUIRE(done());
    }

    /// Returns the limits of a stop that begins now.
    stop_limits stop_in(duration careful_after, duration ends_after) const {
        return {time.now() + careful_after, time.now() + ends_after};
    }

    gateway& proxy() { return proxy_; }
    stub_broker& broker() { return broker_; }

    boost::asio::io_context loop;
    jumping_clock time;
    test_codec codec;
    telemetry::registry metrics;

private:
    static gateway_settings settings() {
        gateway_settings out;
        out.retry_reserve = 100;
        out.max_total_unsent = 200'000;
        return out;
    }

    void accept() {
        acceptor_.async_accept([this](auto ec, tcp::socket socket) {
            if (!ec) {
                proxy_.accept(std::move(socket));
                accept();
            }
        });
    }

    stub_broker broker_;
    gateway proxy_;
    tcp::acceptor acceptor_;
    std::list<fake_endpoint> endpoints_;
};

/// Returns a request with the usual headers.
inline std::string request(const std::string& line, const std::string& id,
                           const std::string& more = "", const std::string& body = "") {
    return line + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nX-Key: k\r\n" + more +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

/// Returns a complete response with a length.
inline std::string response(const std::string& status, const std::string& id,
                            const std::string& body,
                            const std::string& more = "X-Signature: s\r\n") {
    return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the Retry-After of a response, in seconds.
inline double retry_after_of(const std::string& got) {
    const std::size_t at = got.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    return std::stod(got.substr(at + 13));
}

/// Returns the request id in a request.
inline std::string id_of(const std::string& request) {
    const std::size_t at = request.find("X-Id: ") + 6;
    return request.substr(at, request.find("\r\n", at) - at);
}

inline bool ends_with(const std::string& text, const std::string& end) {
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

}  // namespace radishpulley::gateway::testing
