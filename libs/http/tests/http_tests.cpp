#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

#include <boost/asio.hpp>

#include "http/client.h"
#include "http/free_port.h"
#include "http/server.h"

using namespace radishpulley::http;
using namespace std::chrono_literals;

namespace {

constexpr auto idle_timeout = 5000ms;

// Records a streamed response and signals its end.
class stream_recorder final : public stream_observer {
public:
    void on_head(const response& head) override { status = head.status; }
    void on_body(std::string_view bytes, std::function<void()> proceed) override {
        body += bytes;
        proceed();
    }
    void on_end() override { finished.set_value("end"); }
    void on_failure(const call_failure& failure) override { finished.set_value(failure.message); }

    int status = 0;
    std::string body;
    std::promise<std::string> finished;
};

response response_of(const call_result& it) {
    return std::get<response>(it);
}

// Answers the first request on a connection, reads a second one and closes without a response.
class closing_server {
public:
    closing_server() : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}) {
        thread_ = std::thread([this] { run(); });
    }
    ~closing_server() {
        stopping_ = true;
        boost::system::error_code ec;
        boost::asio::io_context other;
        boost::asio::ip::tcp::socket wake(other);
        wake.connect(acceptor_.local_endpoint(), ec);
        thread_.join();
    }
    std::string address() const {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    std::atomic<int> requests{0};

private:
    bool read_request(boost::asio::ip::tcp::socket& socket) {
        boost::asio::streambuf buf;
        boost::system::error_code ec;
        const std::size_t n = boost::asio::read_until(socket, buf, "\r\n\r\n", ec);
        if (n != 0) {
            ++requests;
        }
        return n != 0;
    }
    void run() {
        while (!stopping_) {
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            if (stopping_ || !read_request(socket)) {
                continue;
            }
            boost::asio::write(
                socket,
                boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
            read_request(socket);
        }
    }
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Sends the same bytes on every connection at once, reads some of the request and ends the
// connection.
class scripted_server {
public:
    enum class ending { orderly, reset };

    scripted_server(std::string bytes, std::size_t read_bytes, ending how)
        : bytes_(std::move(bytes)),
          read_bytes_(read_bytes),
          ending_(how),
          acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}) {
        thread_ = std::thread([this] { run(); });
    }
    ~scripted_server() {
        stopping_ = true;
        boost::system::error_code ec;
        boost::asio::io_context other;
        boost::asio::ip::tcp::socket wake(other);
        wake.connect(acceptor_.local_endpoint(), ec);
        thread_.join();
    }
    std::string address() const {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void run() {
        while (!stopping_) {
            boost::system::error_code ec;
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket, ec);
            if (stopping_ || ec) {
                continue;
            }
            std::string received;
            const auto buf = boost::asio::dynamic_buffer(received);
            boost::asio::read_until(socket, buf, "\r\n\r\n", ec);
            boost::asio::write(socket, boost::asio::buffer(bytes_), ec);
            if (received.size() < read_bytes_) {
                boost::asio::read(socket, buf,
                                  boost::asio::transfer_exactly(read_bytes_ - received.size()), ec);
            }
            if (ending_ == ending::reset) {
                socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            }
            socket.close(ec);
        }
    }
    const std::string bytes_;
    const std::size_t read_bytes_;
    const ending ending_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Returns what a streamed call ends with.
std::string end_of_stream(const client& caller, const request& it,
                          const std::shared_ptr<stream_recorder>& observer) {
    auto finished = observer->finished.get_future();
    const auto running = caller.start(it, observer);
    return finished.get();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(responses_carry_status_headers_and_body) {
    const server listening(free_address(), [](const request& it, const auto& reply) {
        response out{201, {{"ETag", "7"}, {"Content-Type", "text/plain"}}, it.method + it.body};
        out.body += it.query("x").value_or("-");
        reply->send(out);
    });
    const client caller(listening.address(), idle_timeout);
    const response got = response_of(caller.call({"POST", "/a?x=y%20z", {}, "body"}));
    BOOST_TEST(got.status == 201);
    BOOST_TEST(got.header("etag") == "7");
    BOOST_TEST(got.body == "POSTbodyy z");
}

BOOST_AUTO_TEST_CASE(oversized_bodies_are_refused) {
    server_limits limits;
    limits.max_body_bytes = 10;
    const server listening(
        free_address(), [](const request&, const auto& reply) { reply->send({}); }, limits);
    const client caller(listening.address(), idle_timeout);
    BOOST_TEST(response_of(caller.call({"POST", "/", {}, "0123456789"})).status == 200);
    BOOST_TEST(response_of(caller.call({"POST", "/", {}, "0123456789x"})).status == 413);
}

BOOST_AUTO_TEST_CASE(streams_arrive_in_pieces_and_complete) {
    std::promise<std::shared_ptr<responder>> started;
    const server listening(free_address(), [&](const request&, const auto& reply) {
        reply->start({200, {{"Content-Type", "text/event-stream"}}, {}});
        reply->write("first ");
        started.set_value(reply);
    });
    const client caller(listening.address(), idle_timeout);
    const auto observer = std::make_shared<stream_recorder>();
    const auto running = caller.start({}, observer);
    const auto reply = started.get_future().get();
    reply->write("second");
    reply->finish();
    BOOST_TEST(observer->finished.get_future().get() == "end");
    BOOST_TEST(observer->status == 200);
    BOOST_TEST(observer->body == "first second");
}

BOOST_AUTO_TEST_CASE(an_aborted_stream_is_a_failure) {
    const server listening(free_address(), [&](const request&, const auto& reply) {
        reply->start({200, {{"Content-Type", "text/event-stream"}}, {}});
        reply->write("first ");
        reply->abort();
    });
    const client caller(listening.address(), idle_timeout);
    const auto observer = std::make_shared<stream_recorder>();
    const auto running = caller.start({}, observer);
    BOOST_TEST(observer->finished.get_future().get() != "end");
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_is_reported_to_the_server) {
    std::promise<std::shared_ptr<responder>> started;
    std::promise<bool> done;
    const server listening(free_address(), [&](const request&, const auto& reply) {
        reply->on_done([&](bool sent) { done.set_value(sent); });
        reply->start({200, {{"Content-Type", "text/event-stream"}}, {}});
        reply->write("first ");
        started.set_value(reply);
    });
    const client caller(listening.address(), idle_timeout);
    const auto observer = std::make_shared<stream_recorder>();
    const auto running = caller.start({}, observer);
    const auto reply = started.get_future().get();
    running->cancel();
    auto left = done.get_future();
    // A closed connection is detected only by later writes.
    while (left.wait_for(1ms) != std::future_status::ready) {
        reply->write("more");
    }
    BOOST_TEST(!left.get());
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_reported_as_not_connected) {
    const client caller(free_address(), idle_timeout);
    const auto failure = std::get<call_failure>(caller.call({}));
    BOOST_TEST((failure.stage == failure_stage::not_connected));
}

BOOST_AUTO_TEST_CASE(one_connection_per_call_sends_a_request_once) {
    closing_server closing;
    const client caller(closing.address(), idle_timeout, connection_reuse::one_per_call);
    caller.call({"POST", "/", {}, "a"});
    BOOST_TEST(closing.requests == 1);
    caller.call({"POST", "/", {}, "b"});
    BOOST_TEST(closing.requests == 2);
}

// Guards against responses with a status that no client can rely on: an endpoint in trouble stated
// 000, and it was passed on as a response.
BOOST_AUTO_TEST_CASE(a_status_out_of_range_is_no_response) {
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "20", "2x0", "-20",
                                     "2000", "65736", "abc", ""}) {
        const std::string bytes = "HTTP/1.1 " + status + " OK\r\nContent-Length: 3\r\n\r\nabc";
        const scripted_server spoilt(bytes, 0, scripted_server::ending::orderly);
        const client caller(spoilt.address(), idle_timeout, connection_reuse::one_per_call);
        BOOST_TEST_CONTEXT("status " << status) {
            const call_result got = caller.call({});
            BOOST_TEST(std::holds_alternative<call_failure>(got));
            const auto observer = std::make_shared<stream_recorder>();
            BOOST_TEST(end_of_stream(caller, {}, observer) != "end");
            BOOST_TEST(observer->status == 0);
            BOOST_TEST(observer->body.empty());
        }
    }
}

// Guards against valid statuses that are taken for invalid ones.
BOOST_AUTO_TEST_CASE(unusual_statuses_are_passed_on) {
    for (const int status : {200, 299, 404, 499, 599}) {
        const std::string bytes =
            "HTTP/1.1 " + std::to_string(status) + " OK\r\nContent-Length: 3\r\n\r\nabc";
        const scripted_server odd(bytes, 0, scripted_server::ending::orderly);
        const client caller(odd.address(), idle_timeout, connection_reuse::one_per_call);
        BOOST_TEST(response_of(caller.call({})).status == status);
    }
}

// Guards against a part of a response, without a length, that counts as complete because the
// connection was reset while the upload was being written.
BOOST_AUTO_TEST_CASE(a_response_whose_connection_is_reset_during_the_upload_is_a_failure) {
    const std::string part = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n";
    const request upload{"POST", "/", {}, std::string(8'000'000, 'b')};
    for (const std::size_t read_bytes : {0U, 65'536U, 500'000U, 2'000'000U, 6'000'000U}) {
        const scripted_server resetting(part, read_bytes, scripted_server::ending::reset);
        const client caller(resetting.address(), idle_timeout, connection_reuse::one_per_call);
        for (int round = 0; round < 5; ++round) {
            BOOST_TEST_CONTEXT("reset after " << read_bytes << ", round " << round) {
                BOOST_TEST(std::holds_alternative<call_failure>(caller.call(upload)));
                const auto observer = std::make_shared<stream_recorder>();
                BOOST_TEST(end_of_stream(caller, upload, observer) != "end");
            }
        }
    }
}

// The system may assign an ephemeral port to an outgoing connection before the server listens on
// it.
BOOST_AUTO_TEST_CASE(free_ports_are_outside_the_ephemeral_range) {
    constexpr int first_outgoing_port = 32'768;
    int before = 0;
    for (int i = 0; i < 100; ++i) {
        const int port = free_port();
        BOOST_TEST(port < first_outgoing_port);
        BOOST_TEST(port != before);
        before = port;
    }
}

BOOST_AUTO_TEST_SUITE_END()
