// One real daemon of an entry VM as a process, beside stand-ins. Waits end when their condition
// holds; their limits are far above what is needed.
#include <array>
#include <cstdlib>
#include <filesystem>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "edge_fleet.h"
#include "gateway/endpoint_pool.h"
#include "platform_adapter/decoders.h"
#include "platform_standins/operator_standin.h"

namespace radishpulley::soak {
namespace {

using namespace std::chrono_literals;
using platform_adapter::standins::plain_configuration;
using platform_adapter::standins::plain_request;
using platform_adapter::standins::route_host;
using tcp = boost::asio::ip::tcp;

constexpr auto generous = 30s;

std::string new_directory() {
    std::string name = "/tmp/edge-process-XXXXXX";
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
}

// A connection of a caller, with what it has received.
class caller {
public:
    caller(boost::asio::io_context& loop, const std::string& address) : socket_(loop) {
        socket_.connect(gateway::parse_address(address), connect_result_);
        read();
    }

    void send(std::string_view text) {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(text.data(), text.size()), ignored);
    }
    bool has_ended() const { return has_ended_; }
    const std::string& received() const { return received_; }

private:
    void read() {
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [this](const boost::system::error_code& ec, std::size_t n) {
                                    if (ec == boost::asio::error::operation_aborted) {
                                        return;  // The caller is gone.
                                    }
                                    received_.append(buffer_.data(), n);
                                    has_ended_ = static_cast<bool>(ec);
                                    if (!ec) {
                                        read();
                                    }
                                });
    }

    tcp::socket socket_;
    boost::system::error_code connect_result_;
    std::array<char, 4'096> buffer_{};
    std::string received_;
    bool has_ended_ = false;
};

struct fixture {
    fixture() {
        plain_configuration content;
        content.routes = {{"a", {"a", false}}, {"b", {"b", false}}};
        content.services = {"a", "b"};
        content.keys = {"k"};
        content.route_timeout = 30s;
        fleet.store().put(platform_adapter::configuration_kind,
                          platform_adapter::configuration_name, to_document(content));
    }
    ~fixture() {
        fleet.kill(vm());
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    edge_vm& vm() { return fleet.vms().front(); }

    void run_for(duration span) {
        loop.restart();
        loop.run_for(span);
    }

    // Returns whether the condition came to hold.
    bool run_until(const std::function<bool()>& is_met) {
        const time_point end = time.now() + generous;
        while (!is_met() && time.now() < end) {
            run_for(20ms);
        }
        return is_met();
    }

    static std::string request_text(const std::string& id, const std::string& service,
                                    std::chrono::milliseconds deadline = 30'000ms) {
        return to_text(plain_request{id, route_host, "/" + service + "/x", "k", deadline});
    }

    static bool is_answered(const caller& it) {
        return it.has_ended() || it.received().find("\r\n\r\n") != std::string::npos;
    }

    // Sends requests until one is answered with success.
    bool is_served(const std::string& service) {
        return run_until([&] {
            caller it(loop, vm().callers_address);
            it.send(request_text("r" + std::to_string(++requests), service));
            run_until([&] { return is_answered(it); });
            return it.received().rfind("HTTP/1.1 200 ", 0) == 0;
        });
    }

    // Publishes entries of another writer whose fields hold what can't be read.
    void publish_odd_entries(const std::string& prefix) {
        const edge_endpoint& like = fleet.endpoints().front();
        for (const auto& odd : fleet.store().raw_texts) {
            auto entry = like.standin->entry("127.0.0.1:99999", like.zone, false);
            entry["odd"] = odd.first;
            fleet.store().put(platform_adapter::endpoints_kind, prefix + odd.first, entry);
        }
    }

    boost::asio::io_context loop;
    boot_clock time;
    std::string directory = new_directory();
    edge_fleet fleet{loop, time, {RADISHPULLEYD_PATH, directory, 1, 1}};
    int requests = 0;
};

std::string repeat(const std::string& text, std::size_t n) {
    std::string out;
    for (std::size_t i = 0; i < n; ++i) {
        out += text;
    }
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(edge_process_tests)

// Guards against one odd entry of another writer that ends every daemon which reads the list, or
// keeps it from following the other entries.
BOOST_FIXTURE_TEST_CASE(odd_entries_neither_end_a_daemon_nor_hide_other_entries, fixture) {
    fleet.store().raw_texts = {
        {"deep-list", repeat("[", 200'000) + "1" + repeat("]", 200'000)},
        {"deep-object", repeat("{\"a\":", 100'000) + "1" + repeat("}", 100'000)},
        {"large-number", "1e400"},
        {"lone-surrogate", "\"\\ud800\""}};
    edge_endpoint& second = fleet.endpoints().at(1);
    fleet.remove_entry(second);
    publish_odd_entries("a-");
    fleet.start(vm());
    BOOST_TEST(is_served("a"));
    publish_odd_entries("b-");
    fleet.publish_ready(second);
    BOOST_TEST(is_served("b"));
    BOOST_TEST(!vm().process->has_ended());
}

// Guards against requests that are accepted late in a planned stop, passed on, and cut at its end
// without a response.
BOOST_FIXTURE_TEST_CASE(requests_in_a_planned_stop_are_refused_or_get_a_response, fixture) {
    fleet.start(vm());
    BOOST_REQUIRE(is_served("a"));
    fleet.endpoints().front().standin->run_time = 60s;
    caller early(loop, vm().callers_address);
    early.send(request_text("early", "a"));
    BOOST_REQUIRE(run_until([&] { return fleet.runs().runs.count("early") != 0; }));
    fleet.request_stop(vm());
    run_for(1s);
    caller late(loop, vm().callers_address);
    const std::string text = request_text("late", "a");
    late.send(std::string_view(text).substr(0, text.size() / 2));
    run_for(2'500ms);
    late.send(std::string_view(text).substr(text.size() / 2));
    BOOST_TEST(run_until([&] { return vm().process->has_ended(); }));
    BOOST_TEST(run_until([&] { return early.has_ended() && late.has_ended(); }));
    BOOST_TEST(late.received().rfind("HTTP/1.1 503 ", 0) == 0U);
    BOOST_TEST(late.received().find("\"stopping\"") != std::string::npos);
    BOOST_TEST(late.received().find("Connection: close") != std::string::npos);
    BOOST_TEST(fleet.runs().runs.count("late") == 0U);
    BOOST_TEST(early.received().rfind("HTTP/1.1 504 ", 0) == 0U);
    BOOST_TEST(early.received().find("\"stopping\"") != std::string::npos);
    BOOST_TEST(vm().process->wait() == 0);
}

// Guards against a daemon that, having been without processor time for a moment, serves the callers
// that left meanwhile, and gives the others their whole timeout once more.
BOOST_FIXTURE_TEST_CASE(a_daemon_short_of_processor_time_serves_no_callers_that_left, fixture) {
    constexpr std::size_t caller_count = 40;
    fleet.start(vm());
    BOOST_REQUIRE(is_served("a"));
    fleet.suspend(vm());
    for (std::size_t i = 0; i < caller_count; ++i) {
        caller it(loop, vm().callers_address);
        it.send(request_text("left" + std::to_string(i), "a"));
    }
    caller late(loop, vm().callers_address);
    late.send(request_text("late", "a", 300ms));
    caller waiting(loop, vm().callers_address);
    waiting.send(request_text("waiting", "a"));
    run_for(1s);
    fleet.resume(vm());
    BOOST_TEST(run_until([&] { return is_answered(late) && is_answered(waiting); }));
    BOOST_TEST(late.received().rfind("HTTP/1.1 503 ", 0) == 0U);
    BOOST_TEST(waiting.received().rfind("HTTP/1.1 200 ", 0) == 0U);
    BOOST_TEST(is_served("a"));
    const auto& runs = fleet.runs().runs;
    BOOST_TEST(runs.count("late") == 0U);
    for (std::size_t i = 0; i < caller_count; ++i) {
        BOOST_TEST(runs.count("left" + std::to_string(i)) == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::soak
