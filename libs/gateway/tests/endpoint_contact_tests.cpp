#include <boost/test/unit_test.hpp>

#include "gateway/progress_watch.h"
#include "gateway_fixture.h"
#include "hanging_endpoint.h"

namespace radishpulley::gateway::testing {
namespace {

using routing::contact_failure;
using routing::contact_proof;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than a call may go without progress.
constexpr milliseconds long_silence = endpoint_link::progress_timeout + milliseconds(500);

struct recorder final : contact_observer {
    void on_contact(const endpoint_id&, contact_proof by) override { proofs.push_back(by); }
    void on_contact_failed(const endpoint_id&, contact_failure by) override {
        failures.push_back(by);
    }
    std::vector<contact_proof> proofs;
    std::vector<contact_failure> failures;
};

struct ignored_call final : call_handler {
    void on_head(const response_head&) override {}
    void on_body(std::string_view) override {}
    void on_done() override { has_ended = true; }
    void on_failure(call_failure) override { has_ended = true; }
    bool has_ended = false;
};

// One connection to an endpoint, whose observer records what it is told.
struct contact_fixture {
    contact_fixture() { pool.set_observer(seen); }

    void run_until(const std::function<bool()>& done) {
        constexpr int max_steps = 2'000;
        for (int i = 0; i < max_steps && !done(); ++i) {
            loop.restart();
            loop.run_one_for(milliseconds(10));
        }
        BOOST_REQUIRE(done());
    }
    void run_for(milliseconds time) {
        loop.restart();
        loop.run_for(time);
    }
    void connect(const std::string& address) {
        pool.connect(endpoint_id("e"), address, [this](auto it) {
            connection = std::move(it);
            is_connect_over = true;
        });
        run_until([this] { return is_connect_over; });
    }
    void send(const std::string& bytes) {
        call_request out;
        out.bytes = bytes;
        connection->call(std::move(out), call);
    }

    boost::asio::io_context loop;
    jumping_clock time;
    recorder seen;
    endpoint_pool pool{loop, time, {milliseconds(100), 24}};
    ignored_call call;
    std::shared_ptr<endpoint_link> connection;
    bool is_connect_over = false;
};

// Returns the failures that were told while an endpoint took a request of `size` bytes, which it
// reads if it `reads` any, and said nothing.
std::vector<contact_failure> failures_during_silence(std::size_t size, bool reads) {
    contact_fixture it;
    tcp::acceptor acceptor(it.loop, tcp::v4());
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    it.connect("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const auto endpoint = std::make_shared<peer>(acceptor.accept());
    if (reads) {
        endpoint->start();
    }
    it.send(std::string(size, 'x'));
    // The test runs as long on a slow machine: what is told late is told before its end.
    it.run_for(long_silence);
    it.run_for(long_silence);
    return it.seen.failures;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endpoint_contact_tests)

// Guards against a pause of this process that is taken for one of the peer.
BOOST_AUTO_TEST_CASE(a_long_gap_between_two_samples_adds_little_to_a_stall) {
    progress_watch it;
    time_point now = virtual_clock().now();
    BOOST_TEST((it.on_sample({true, seconds(9)}, now) == duration::zero()));
    BOOST_TEST((it.on_sample({true, seconds(9)}, now += milliseconds(100)) == milliseconds(100)));
    BOOST_TEST((it.on_sample({true, seconds(9)}, now += seconds(5)) ==
                milliseconds(100) + progress_watch::max_step));
}

// Guards against steady uploads that are taken for connections without progress.
BOOST_AUTO_TEST_CASE(any_acknowledgement_ends_a_stall) {
    progress_watch it;
    time_point now = virtual_clock().now();
    it.on_sample({true, seconds(9)}, now);
    it.on_sample({true, seconds(9)}, now += milliseconds(100));
    BOOST_TEST(
        (it.on_sample({true, milliseconds(20)}, now += milliseconds(100)) == duration::zero()));
    BOOST_TEST(
        (it.on_sample({true, milliseconds(120)}, now += milliseconds(100)) == milliseconds(100)));
    BOOST_TEST(
        (it.on_sample({false, milliseconds(220)}, now += milliseconds(100)) == duration::zero()));
}

// Guards against a path that is cut without a reset and noticed only when the connection times out.
BOOST_FIXTURE_TEST_CASE(a_call_whose_bytes_are_not_acknowledged_makes_no_progress,
                        contact_fixture) {
    hanging_endpoint endpoint;
    connect(endpoint.address());
    endpoint.hang();
    send("GET / HTTP/1.1\r\n\r\n");
    run_until([&] { return !seen.failures.empty(); });
    BOOST_TEST((seen.failures.front() == contact_failure::no_progress));
    BOOST_TEST(!call.has_ended);
    is_connect_over = false;
    connect(endpoint.address());
    BOOST_TEST((seen.failures.back() == contact_failure::connect_timed_out));
}

// Guards against sound engines that are slow to answer and taken for unreachable.
BOOST_AUTO_TEST_CASE(an_endpoint_that_reads_and_says_nothing_is_reached) {
    BOOST_TEST(failures_during_silence(100, true).empty());
}

// Guards against engines that are slow to read a large request and taken for unreachable.
BOOST_AUTO_TEST_CASE(an_endpoint_that_has_no_room_for_the_request_is_reached) {
    BOOST_TEST(failures_during_silence(8'000'000, false).empty());
}

BOOST_FIXTURE_TEST_CASE(refused_and_broken_connections_are_told_at_once, contact_fixture) {
    fake_endpoint endpoint(loop, [](const std::string&, peer&) {});
    const std::string address = endpoint.address();
    connect(address);
    BOOST_TEST((seen.proofs.back() == contact_proof::connected));
    send("GET / HTTP/1.1\r\n\r\n");
    run_until([&] { return !endpoint.requests.empty(); });
    endpoint.crash();
    run_until([&] { return call.has_ended; });
    BOOST_TEST((seen.failures.back() == contact_failure::connection_broken));
    is_connect_over = false;
    connect(address);
    BOOST_TEST((seen.failures.back() == contact_failure::connect_refused));
}

// Guards against kept connections that endpoints close in time and that are taken for broken paths.
BOOST_FIXTURE_TEST_CASE(an_idle_connection_that_the_endpoint_closes_is_no_failure,
                        contact_fixture) {
    fake_endpoint endpoint(loop, [](const std::string&, peer& it) {
        it.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        it.close();
    });
    connect(endpoint.address());
    send("GET / HTTP/1.1\r\n\r\n");
    run_until([&] { return call.has_ended && !connection->reusable(); });
    BOOST_TEST((seen.proofs.back() == contact_proof::received));
    BOOST_TEST(seen.failures.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
