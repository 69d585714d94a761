// Endpoints that respond before they have read an upload, with a body that ends with the
// connection, and close or reset it while the upload is being written. Also endpoints whose status
// is out of range.
#include <array>
#include <future>

#include <boost/test/unit_test.hpp>

#include "gateway/simple_call.h"
#include "gateway_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

// More than the buffers of both sockets hold.
constexpr std::size_t upload_size = 8'000'000;
// Moments of the end, as steps of the loop after the part of the response has arrived.
constexpr int moments = 24;
constexpr const char* last_chunk = "0\r\n\r\n";
const std::string part = "id: 1\ndata: a\n\n";

// Returns a response without a length, of which only the first part has been sent.
std::string first_part(const std::string& version, const std::string& status = "200 OK") {
    return version + " " + status + "\r\nX-Id: r1\r\nX-Signature: s\r\n\r\n" + part;
}

// How an endpoint ends a connection.
enum class endpoint_end { reset, close_unread, end_sending };

constexpr std::array<endpoint_end, 3> all_ends = {endpoint_end::reset, endpoint_end::close_unread,
                                                  endpoint_end::end_sending};

std::ostream& operator<<(std::ostream& out, endpoint_end it) {
    constexpr std::array<const char*, 3> names = {"reset", "close_unread", "end_sending"};
    return out << names.at(static_cast<std::size_t>(it));
}

// An endpoint that acts only when a test tells it to, between two steps of the client's loop.
class stepped_endpoint {
public:
    explicit stepped_endpoint(std::optional<int> receive_buffer = {})
        : acceptor_(loop_), socket_(loop_) {
        const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        acceptor_.open(any.protocol());
        if (receive_buffer) {
            acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(*receive_buffer));
        }
        acceptor_.bind(any);
        acceptor_.listen();
        acceptor_.non_blocking(true);
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    // Returns whether there is a connection.
    bool accept() {
        boost::system::error_code ec;
        if (!socket_.is_open()) {
            acceptor_.accept(socket_, ec);
        }
        return socket_.is_open();
    }
    // Reads what has arrived.
    std::size_t drain() {
        boost::system::error_code ec;
        std::vector<char> buf(1'000'000);
        socket_.non_blocking(true);
        return socket_.read_some(boost::asio::buffer(buf), ec);
    }
    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    void end(endpoint_end how) {
        boost::system::error_code ignored;
        switch (how) {
            case endpoint_end::reset:
                socket_.set_option(boost::asio::socket_base::linger(true, 0));
                socket_.close();
                break;
            case endpoint_end::close_unread:
                socket_.close();
                break;
            case endpoint_end::end_sending:
                socket_.shutdown(tcp::socket::shutdown_send, ignored);
                break;
        }
    }

private:
    boost::asio::io_context loop_;
    tcp::acceptor acceptor_;
    tcp::socket socket_;
};

// Records what a call brings.
struct call_recorder final : call_handler {
    void on_head(const response_head& head) override { status = head.status; }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_done() override { is_done = true; }
    void on_failure(call_failure why) override { failure = why; }

    unsigned status = 0;
    std::string body;
    bool is_done = false;
    std::optional<call_failure> failure;
};

// A client's loop that a test advances step by step.
struct stepped_loop {
    boost::asio::io_context loop;
    jumping_clock time;
    endpoint_pool pool{loop, time};

    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 5'000;
        for (int i = 0; i < max_steps && !done(); ++i) {
            loop.restart();
            loop.run_one_for(std::chrono::milliseconds(10));
        }
        BOOST_REQUIRE(done());
    }
    // Handles `n` events of an upload that goes on.
    void step(stepped_endpoint& to, int n) {
        for (int i = 0; i < n; ++i) {
            to.drain();
            loop.restart();
            loop.poll_one();
        }
    }
};

// One call over a connection to a stepped endpoint.
struct stepped_call : stepped_loop {
    explicit stepped_call(std::optional<int> receive_buffer = {}) : endpoint(receive_buffer) {
        pool.connect(endpoint_id("e"), endpoint.address(),
                     [this](auto it) { connection = std::move(it); });
        run_until([this] { return endpoint.accept() && connection != nullptr; });
    }
    // Returns the size of the whole request.
    std::size_t send(std::size_t body_size) {
        call_request out;
        out.bytes = request("POST /once/x", "r1", "", std::string(body_size, 'b'));
        out.id_header = "X-Id";
        out.id = "r1";
        const std::size_t size = out.bytes.size();
        connection->call(std::move(out), result);
        return size;
    }
    void run_to_end() {
        run_until([this] { return result.is_done || result.failure; });
    }

    stepped_endpoint endpoint;
    std::shared_ptr<endpoint_link> connection;
    call_recorder result;
};

// Returns whether a connection takes `bytes` for a response.
bool is_response_of_link(const std::string& bytes) {
    stepped_call it;
    const std::size_t whole = it.send(1);
    std::size_t received = 0;
    it.run_until([&] { return (received += it.endpoint.drain()) == whole; });
    it.endpoint.send(bytes);
    it.endpoint.end(endpoint_end::end_sending);
    it.run_to_end();
    return it.result.is_done || it.result.status != 0 || !it.result.body.empty();
}

// Returns whether a buffered call takes `bytes` for a response.
bool is_response_of_buffered_call(const std::string& bytes) {
    stepped_loop it;
    stepped_endpoint endpoint;
    std::optional<simple_result> result;
    run_simple_call(it.loop, it.pool, endpoint_id("e1"), endpoint.address(), {},
                    [&](simple_result got) { result = std::move(got); });
    std::size_t received = 0;
    it.run_until([&] { return endpoint.accept() && (received += endpoint.drain()) > 0; });
    endpoint.send(bytes);
    endpoint.end(endpoint_end::end_sending);
    it.run_until([&] { return result.has_value(); });
    return std::holds_alternative<simple_response>(*result);
}

// Returns what a caller gets whose endpoint sends `bytes` and closes.
std::string received_by_caller(const std::string& route, const std::string& bytes) {
    gateway_fixture it;
    it.configure();
    it.add_endpoint("e1", [&](const std::string&, peer& to) {
        to.send(bytes);
        to.close();
    });
    return it.round_trip(request("POST /" + route + "/x", "r1", "", "x"), [](const peer& to) {
        return ends_with(to.received, "}") || ends_with(to.received, "abc") ||
               ends_with(to.received, last_chunk);
    });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(reset_uploads_tests)

// Guards against a part of a response that counts as complete: the write of the upload takes the
// error of the reset, and the next read sees an orderly end.
BOOST_AUTO_TEST_CASE(a_response_whose_connection_ends_during_the_upload_is_not_complete) {
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        for (const endpoint_end how : all_ends) {
            for (int moment = 0; moment < moments; ++moment) {
                BOOST_TEST_CONTEXT(version << " " << how << " at " << moment) {
                    stepped_call it;
                    it.send(upload_size);
                    it.endpoint.send(first_part(version));
                    it.run_until([&] { return it.endpoint.drain(), it.result.body == part; });
                    it.step(it.endpoint, moment);
                    it.endpoint.end(how);
                    it.run_to_end();
                    BOOST_TEST(!it.result.is_done);
                    BOOST_TEST((it.result.failure == call_failure::broken));
                }
            }
        }
    }
}

// Guards against a part of a response that counts as complete because the operating system holds
// the rest of the upload.
BOOST_AUTO_TEST_CASE(a_response_that_ends_before_the_request_has_arrived_is_not_complete) {
    constexpr int small_buffer = 2'048;
    constexpr std::size_t fits_the_sender = 60'000;
    stepped_call it(small_buffer);
    it.send(fits_the_sender);
    it.endpoint.send(first_part("HTTP/1.1"));
    it.run_until([&] { return it.result.body == part && it.connection->held_bytes() == 0; });
    it.endpoint.end(endpoint_end::end_sending);
    it.run_to_end();
    BOOST_TEST(!it.result.is_done);
}

// Guards against complete responses that are taken for truncated ones.
BOOST_AUTO_TEST_CASE(a_response_that_ends_after_the_request_has_arrived_is_complete) {
    for (const endpoint_end how : {endpoint_end::close_unread, endpoint_end::end_sending}) {
        for (const std::size_t size : {std::size_t{1}, std::size_t{60'000}, upload_size}) {
            BOOST_TEST_CONTEXT(how << " " << size) {
                stepped_call it;
                const std::size_t whole = it.send(size);
                std::size_t received = 0;
                it.run_until([&] { return (received += it.endpoint.drain()) == whole; });
                it.endpoint.send(first_part("HTTP/1.1"));
                it.endpoint.end(how);
                it.run_to_end();
                BOOST_TEST(it.result.is_done);
                BOOST_TEST(it.result.body == part);
            }
        }
    }
}

// Guards against complete responses that are taken for truncated ones because the end arrives
// before the last write is reported.
BOOST_AUTO_TEST_CASE(a_response_that_ends_at_once_after_the_request_is_complete) {
    constexpr int rounds = 30;
    for (const std::size_t size : {std::size_t{1}, std::size_t{70'000}, std::size_t{2'000'000}}) {
        for (int round = 0; round < rounds; ++round) {
            BOOST_TEST_CONTEXT(size << " in round " << round) {
                stepped_call it;
                const std::size_t whole = it.send(size);
                const auto other = std::async(std::launch::async, [&] {
                    const auto latest = std::chrono::steady_clock::now() + std::chrono::seconds(20);
                    it.endpoint.send(first_part("HTTP/1.1"));
                    std::size_t received = 0;
                    while (received < whole && std::chrono::steady_clock::now() < latest) {
                        received += it.endpoint.drain();
                    }
                    it.endpoint.end(endpoint_end::close_unread);
                });
                it.run_to_end();
                other.wait();
                BOOST_TEST(it.result.is_done);
                BOOST_TEST(it.result.body == part);
            }
        }
    }
}

// Guards against responses with a length that are lost because the upload was not read.
BOOST_AUTO_TEST_CASE(a_response_with_a_length_is_complete_during_the_upload) {
    stepped_call it;
    it.send(upload_size);
    it.endpoint.send(response("413 Too Large", "r1", "too large"));
    it.run_to_end();
    BOOST_TEST(it.result.is_done);
    BOOST_TEST(it.result.body == "too large");
}

// Guards against parts of answers of the store and of engines that count as complete.
BOOST_AUTO_TEST_CASE(a_buffered_call_whose_connection_ends_during_the_upload_fails) {
    for (const endpoint_end how : all_ends) {
        for (int moment = 0; moment < moments; ++moment) {
            BOOST_TEST_CONTEXT(how << " at " << moment) {
                stepped_loop it;
                stepped_endpoint endpoint;
                bool has_begun = false;
                std::optional<simple_result> result;
                simple_request request;
                request.method = "PUT";
                request.target = "/x";
                request.body.assign(upload_size, 'b');
                request.on_progress = [&] { has_begun = true; };
                run_simple_call(it.loop, it.pool, endpoint_id("e1"), endpoint.address(),
                                std::move(request), [&](simple_result got) { result = got; });
                it.run_until([&] { return endpoint.accept(); });
                endpoint.send(first_part("HTTP/1.1"));
                it.run_until([&] { return endpoint.drain(), has_begun; });
                it.step(endpoint, moment);
                endpoint.end(how);
                it.run_until([&] { return result.has_value(); });
                BOOST_TEST(std::holds_alternative<failed_call>(*result));
            }
        }
    }
}

// Guards against callers that get a part of a response, or a stream that broke off between two
// events, as a complete one.
BOOST_AUTO_TEST_CASE(a_caller_never_gets_a_part_as_a_complete_response) {
    for (const std::string route : {"once", "again", "stream", "events"}) {
        for (const endpoint_end how : all_ends) {
            for (int moment = 0; moment < moments; moment += 3) {
                BOOST_TEST_CONTEXT(route << " " << how << " at " << moment) {
                    gateway_fixture it;
                    it.max_body_bytes = upload_size;
                    it.configure();
                    stepped_endpoint endpoint;
                    routing::endpoint entry;
                    entry.id = endpoint_id("e1");
                    entry.service = service_id("s");
                    entry.address = endpoint.address();
                    entry.slots = 4;
                    it.proxy().on_endpoint(entry);
                    const auto caller = it.connect();
                    const std::string whole =
                        request("POST /" + route + "/x", "r1", "", std::string(upload_size, 'b'));
                    constexpr std::size_t piece = 65'536;
                    for (std::size_t at = 0; at < whole.size(); at += piece) {
                        caller->send(whole.substr(at, piece));
                        it.loop.restart();
                        it.loop.poll();
                    }
                    it.run_until([&] { return endpoint.accept(); });
                    endpoint.send(first_part("HTTP/1.1"));
                    it.run_until([&] {
                        endpoint.drain();
                        return caller->received.find(part) != std::string::npos;
                    });
                    for (int i = 0; i < moment; ++i) {
                        endpoint.drain();
                        it.loop.restart();
                        it.loop.poll_one();
                    }
                    endpoint.end(how);
                    it.run_until(
                        [&] { return caller->ended || ends_with(caller->received, last_chunk); });
                    BOOST_TEST(!ends_with(caller->received, last_chunk));
                }
            }
        }
    }
}

// Guards against a status that no client can rely on and that reaches a caller or another client of
// the same parser: an endpoint in trouble stated 000. The framing makes no difference.
BOOST_AUTO_TEST_CASE(a_status_out_of_range_reaches_no_client) {
    const std::string head = "X-Id: r1\r\nX-Signature: s\r\n";
    const std::vector<std::string> bodies = {
        "Content-Length: 3\r\n\r\nabc", "Content-Length: 0\r\n\r\n", "\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"};
    for (const std::string status : {"000", "099", "600", "999", "20", "2000", "abc", ""}) {
        for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
            for (const std::string& body : bodies) {
                const std::string bytes = version + " " + status + " OK\r\n" + head + body;
                BOOST_TEST_CONTEXT(bytes) {
                    BOOST_TEST(!is_response_of_link(bytes));
                    BOOST_TEST(!is_response_of_buffered_call(bytes));
                    for (const std::string route : {"once", "again", "stream", "events"}) {
                        const std::string got = received_by_caller(route, bytes);
                        BOOST_TEST(got.compare(0, 13, "HTTP/1.1 502 ") == 0);
                        BOOST_TEST(got.find("abc") == std::string::npos);
                    }
                }
            }
        }
    }
}

// Guards against checks above that fail whatever an endpoint sends.
BOOST_AUTO_TEST_CASE(a_status_in_range_reaches_each_client) {
    for (const std::string status : {"200", "299", "404", "599"}) {
        const std::string bytes = "HTTP/1.1 " + status + " OK\r\nX-Id: r1\r\nX-Signature: s\r\n" +
                                  "Content-Length: 3\r\n\r\nabc";
        BOOST_TEST_CONTEXT(bytes) {
            BOOST_TEST(is_response_of_link(bytes));
            BOOST_TEST(is_response_of_buffered_call(bytes));
            BOOST_TEST(received_by_caller("once", bytes).find("abc") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
