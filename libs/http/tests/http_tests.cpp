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

constexpr auto silence_limit = 5000ms;

// Collects a stream and tells when it is over.
class collector final : public stream_observer {
public:
    void on_head(const response& head) override { status = head.status; }
    void on_body(std::string_view bytes, std::function<void()> proceed) override {
        body += bytes;
        proceed();
    }
    void on_end() override { over.set_value("end"); }
    void on_failure(const call_failure& failure) override { over.set_value(failure.message); }

    int status = 0;
    std::string body;
    std::promise<std::string> over;
};

response answer_of(const call_result& it) {
    return std::get<response>(it);
}

// Answers the first request on a connection, reads a second one and closes without an answer.
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

}  // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(whole_answers_carry_status_headers_and_body) {
    const server listening(free_address(), [](const request& it, const auto& answer) {
        response out{201, {{"ETag", "7"}, {"Content-Type", "text/plain"}}, it.method + it.body};
        out.body += it.query("x").value_or("-");
        answer->send(out);
    });
    const client caller(listening.address(), silence_limit);
    const response got = answer_of(caller.call({"POST", "/a?x=y%20z", {}, "body"}));
    BOOST_TEST(got.status == 201);
    BOOST_TEST(got.header("etag") == "7");
    BOOST_TEST(got.body == "POSTbodyy z");
}

BOOST_AUTO_TEST_CASE(too_long_bodies_are_refused) {
    server_limits limits;
    limits.max_body_bytes = 10;
    const server listening(
        free_address(), [](const request&, const auto& answer) { answer->send({}); }, limits);
    const client caller(listening.address(), silence_limit);
    BOOST_TEST(answer_of(caller.call({"POST", "/", {}, "0123456789"})).status == 200);
    BOOST_TEST(answer_of(caller.call({"POST", "/", {}, "0123456789x"})).status == 413);
}

BOOST_AUTO_TEST_CASE(streams_arrive_piece_by_piece_and_whole) {
    std::promise<std::shared_ptr<responder>> started;
    const server listening(free_address(), [&](const request&, const auto& answer) {
        answer->start({200, {{"Content-Type", "text/event-stream"}}, {}});
        answer->write("first ");
        started.set_value(answer);
    });
    const client caller(listening.address(), silence_limit);
    const auto observer = std::make_shared<collector>();
    const auto running = caller.start({}, observer);
    const auto answer = started.get_future().get();
    answer->write("second");
    answer->finish();
    BOOST_TEST(observer->over.get_future().get() == "end");
    BOOST_TEST(observer->status == 200);
    BOOST_TEST(observer->body == "first second");
}

BOOST_AUTO_TEST_CASE(cut_stream_is_a_failure_and_not_an_end) {
    const server listening(free_address(), [&](const request&, const auto& answer) {
        answer->start({200, {{"Content-Type", "text/event-stream"}}, {}});
        answer->write("first ");
        answer->abort();
    });
    const client caller(listening.address(), silence_limit);
    const auto observer = std::make_shared<collector>();
    const auto running = caller.start({}, observer);
    BOOST_TEST(observer->over.get_future().get() != "end");
}

BOOST_AUTO_TEST_CASE(caller_that_cancels_is_seen_as_left) {
    std::promise<std::shared_ptr<responder>> started;
    std::promise<bool> done;
    const server listening(free_address(), [&](const request&, const auto& answer) {
        answer->on_done([&](bool sent) { done.set_value(sent); });
        answer->start({200, {{"Content-Type", "text/event-stream"}}, {}});
        answer->write("first ");
        started.set_value(answer);
    });
    const client caller(listening.address(), silence_limit);
    const auto observer = std::make_shared<collector>();
    const auto running = caller.start({}, observer);
    const auto answer = started.get_future().get();
    running->cancel();
    auto left = done.get_future();
    // A closed connection shows at the next writes only.
    while (left.wait_for(1ms) != std::future_status::ready) {
        answer->write("more");
    }
    BOOST_TEST(!left.get());
}

BOOST_AUTO_TEST_CASE(refused_connection_proves_that_nothing_was_sent) {
    const client caller(free_address(), silence_limit);
    const auto failure = std::get<call_failure>(caller.call({}));
    BOOST_TEST((failure.stage == failure_stage::not_connected));
}

BOOST_AUTO_TEST_CASE(one_connection_per_call_sends_a_request_once) {
    closing_server closing;
    const client caller(closing.address(), silence_limit, connection_reuse::one_per_call);
    caller.call({"POST", "/", {}, "a"});
    BOOST_TEST(closing.requests == 1);
    caller.call({"POST", "/", {}, "b"});
    BOOST_TEST(closing.requests == 2);
}

// A port that the system gives to outgoing connections may be taken before its server listens.
BOOST_AUTO_TEST_CASE(free_ports_are_never_those_of_outgoing_connections) {
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
