// Memory and descriptors of one real daemon before callers that behave in unusual ways. Each test
// guards against one kind of load that ends the daemon, lets it grow beyond its VM or keeps it from
// serving ordinary callers. Bounds are the VM's memory and descriptors as stated here. Waits end
// when their condition holds; their limits are far above what is needed.
#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <optional>
#include <tuple>

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "caller_crowd.h"
#include "edge_fleet.h"
#include "gateway/endpoint_pool.h"
#include "gateway/http_text.h"
#include "platform_adapter/decoders.h"
#include "platform_standins/operator_standin.h"
#include "process_usage.h"

namespace radishpulley::soak {
namespace {

using namespace std::chrono_literals;
using platform_adapter::standins::plain_configuration;
using platform_adapter::standins::plain_request;
using platform_adapter::standins::route_host;

constexpr std::size_t kib = 1'024;
constexpr std::size_t mib = 1'024 * kib;

// The VM.
constexpr std::size_t vm_memory = 64 * mib;
constexpr std::size_t vm_descriptors = 512;

// The crowd. Its bodies have several times the VM's memory, its connections more than the VM's
// descriptors.
constexpr std::size_t max_body = 4 * mib;
constexpr std::size_t body_callers = 40;
constexpr std::size_t connection_callers = 800;
constexpr std::size_t mixed_callers_per_kind = 8;
// Bytes of a body that are never sent.
constexpr std::size_t withheld = 8;
constexpr std::size_t large_chunk = 256 * kib;
// Every byte of these bodies takes six bytes on the wire.
constexpr std::size_t small_chunks = 2 * mib;
constexpr std::size_t over_limit = max_body + mib;
// Requests of one connection; their responses have several MiB.
constexpr std::size_t pipelined = 20'000;
constexpr std::size_t ordinary_body = 9'000;
// Most of a head that is sent; the configuration's limit is 16,384 bytes.
constexpr std::size_t slow_head = 12 * kib;

constexpr auto generous = 60s;
// A crowd whose state has not changed for this long is at rest.
constexpr auto rest_time = 1s;
constexpr auto sample_interval = 50ms;

std::string new_directory() {
    std::string name = "/tmp/caller-memory-XXXXXX";
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
}

std::string vm_limits() {
    return "[limits]\nmemory_mb = " + std::to_string(vm_memory / mib) +
           "\ndescriptors = " + std::to_string(vm_descriptors) + "\n";
}

using shared_text = std::shared_ptr<const std::string>;

shared_text share(std::string text) {
    return std::make_shared<const std::string>(std::move(text));
}

gateway::header_list with_length(std::size_t bytes) {
    return {{"Content-Length", std::to_string(bytes)}};
}

gateway::header_list chunked() {
    return {{"Transfer-Encoding", "chunked"}};
}

// Returns `bytes` in chunks of the given size, without the last chunk.
shared_text chunks(std::size_t bytes, std::size_t chunk) {
    std::string out;
    const std::string piece = gateway::to_chunk(std::string(chunk, 'x'));
    for (std::size_t n = 0; n < bytes; n += chunk) {
        out += piece;
    }
    return share(std::move(out));
}

// Address of one of the daemon's ports.
using port_of_vm = std::string edge_vm::*;

// A kind of load: what each of its callers sends. Heads differ in the request's id.
struct load_kind {
    port_of_vm port = &edge_vm::callers_address;
    gateway::header_list framing;
    shared_text body = share({});
    std::string path = "/a/x";
    std::string key = "k";
    std::size_t piece = 64 * kib;
    std::chrono::milliseconds pause{0};
    bool reads = true;
};

load_kind whole_bodies() {
    load_kind out;
    out.framing = with_length(max_body);
    out.body = share(std::string(max_body - withheld, 'x'));
    out.piece = max_body;
    return out;
}

load_kind bodies_in_pieces() {
    load_kind out = whole_bodies();
    out.piece = 16 * kib;
    out.pause = 5ms;
    return out;
}

load_kind large_chunks() {
    load_kind out;
    out.framing = chunked();
    out.body = chunks(max_body, large_chunk);
    return out;
}

load_kind chunks_of_one_byte() {
    load_kind out;
    out.framing = chunked();
    out.body = chunks(small_chunks, 1);
    return out;
}

load_kind chunks_over_the_limit() {
    load_kind out;
    out.framing = chunked();
    out.body = chunks(over_limit, large_chunk);
    return out;
}

load_kind announced_length_over_the_limit() {
    load_kind out;
    out.framing = with_length(over_limit);
    out.body = share(std::string(over_limit, 'x'));
    return out;
}

load_kind bodies_for_no_route() {
    load_kind out = whole_bodies();
    out.path = "/none/x";
    return out;
}

load_kind bodies_with_an_unknown_key() {
    load_kind out = whole_bodies();
    out.key = "unknown";
    return out;
}

// A head in small pieces that does not end.
load_kind slow_heads() {
    load_kind out;
    out.framing = {{"X-Long", std::string(slow_head, 'x')}};
    out.piece = 512;
    out.pause = 50ms;
    return out;
}

load_kind complete_bodies() {
    load_kind out;
    out.framing = with_length(max_body);
    out.body = share(std::string(max_body, 'x'));
    return out;
}

load_kind unread_responses() {
    load_kind out;
    out.reads = false;
    return out;
}

// Many requests in one go, whose responses are left unread.
load_kind pipelined_requests(port_of_vm port) {
    load_kind out = unread_responses();
    out.port = port;
    out.path = "/none/x";
    std::string more;
    const std::string request = to_text(plain_request{"pipelined", route_host, out.path, out.key});
    for (std::size_t i = 0; i < pipelined; ++i) {
        more += request;
    }
    out.body = share(std::move(more));
    return out;
}

load_kind whole_bodies_at(port_of_vm port) {
    load_kind out = whole_bodies();
    out.port = port;
    return out;
}

struct fixture {
    fixture() {
        plain_configuration content;
        content.routes = {{"a", {"a", false}}, {"b", {"b", false}}};
        content.services = {"a", "b"};
        content.keys = {"k"};
        content.route_timeout = 30s;
        content.max_body_bytes = max_body;
        fleet.store().put(platform_adapter::configuration_kind,
                          platform_adapter::configuration_name, to_document(content));
        fleet.start(vm());
        BOOST_REQUIRE(is_served());
    }
    ~fixture() {
        crowd.close();
        fleet.kill(vm());
        std::error_code ignored;
        std::filesystem::remove_all(directory, ignored);
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    edge_vm& vm() { return fleet.vms().front(); }

    boost::asio::ip::tcp::endpoint endpoint_of(port_of_vm port) {
        return gateway::parse_address(vm().*port);
    }

    // Returns whether the condition came to hold.
    bool run_until(const std::function<bool()>& is_met) {
        const time_point end = time.now() + generous;
        while (!is_met() && time.now() < end) {
            loop.restart();
            loop.run_for(sample_interval);
            sample();
        }
        return is_met();
    }

    // Records how much the daemon holds.
    void sample() {
        if (!vm().process || vm().process->has_ended()) {
            return;
        }
        const pid_t id = vm().process->id();
        const resident_memory resident = read_resident_memory(id);
        unread = 0;
        for (const port_of_vm port :
             {&edge_vm::callers_address, &edge_vm::readiness_address, &edge_vm::metrics_address}) {
            unread += count_unread_bytes(endpoint_of(port).port());
        }
        peak_resident = std::max(peak_resident, resident.peak);
        peak_with_unread = std::max(peak_with_unread, resident.now + unread);
        peak_descriptors = std::max(peak_descriptors, count_descriptors(id));
    }

    std::string head_of(const load_kind& kind) {
        plain_request head{"r" + std::to_string(++requests), route_host, kind.path, kind.key, 30s};
        head.method = kind.framing.empty() ? "GET" : "POST";
        head.framing = kind.framing;
        return to_text(head);
    }

    caller_load load_of(const load_kind& kind) {
        return {head_of(kind), kind.body, kind.piece, kind.pause, kind.reads};
    }

    void add_callers(std::size_t n, const load_kind& kind) {
        for (std::size_t i = 0; i < n; ++i) {
            crowd.add(load_of(kind), endpoint_of(kind.port));
        }
    }

    // Slow heads lack their end.
    void add_slow_heads(std::size_t n) {
        const load_kind kind = slow_heads();
        for (std::size_t i = 0; i < n; ++i) {
            caller_load load = load_of(kind);
            load.head.resize(slow_head);
            crowd.add(std::move(load), endpoint_of(kind.port));
        }
    }

    void add_idle_connections(std::size_t n, port_of_vm port = &edge_vm::callers_address) {
        for (std::size_t i = 0; i < n; ++i) {
            crowd.add({}, endpoint_of(port));
        }
    }

    // Runs until neither the crowd nor what the daemon holds changes any more.
    void run_until_at_rest() {
        auto state = std::make_tuple(crowd.progress(), unread, peak_resident);
        time_point changed = time.now();
        run_until([&] {
            const auto now = std::make_tuple(crowd.progress(), unread, peak_resident);
            if (!(now == state)) {
                state = now;
                changed = time.now();
            }
            return time.now() - changed >= rest_time;
        });
    }

    // Sends a request and returns its response, which is incomplete if the connection ended.
    std::string response_to(const load_kind& kind) {
        const auto it = std::make_shared<crowd_caller>(loop, load_of(kind));
        it->start(endpoint_of(kind.port));
        run_until([&] {
            return it->has_ended() || it->received().find("\r\n\r\n") != std::string::npos;
        });
        it->close();
        return it->received();
    }

    static bool is_success(const std::string& response) {
        return response.rfind("HTTP/1.1 200 ", 0) == 0;
    }

    // Sends ordinary requests until one is answered with success.
    bool is_served() {
        load_kind ordinary;
        ordinary.framing = with_length(ordinary_body);
        ordinary.body = share(std::string(ordinary_body, 'x'));
        ordinary.path = "/b/x";
        return run_until([&] { return is_success(response_to(ordinary)); });
    }

    // Checks the bounds and that an ordinary caller is served while the crowd is still there.
    void check_daemon() {
        run_until_at_rest();
        BOOST_TEST(is_served());
        BOOST_TEST(!vm().process->has_ended());
        BOOST_TEST(peak_resident <= vm_memory);
        BOOST_TEST(peak_with_unread <= vm_memory);
        BOOST_TEST(peak_descriptors <= vm_descriptors);
        BOOST_TEST_MESSAGE("peaks: resident " << peak_resident / kib << " KiB, resident and unread "
                                              << peak_with_unread / kib << " KiB, descriptors "
                                              << peak_descriptors);
    }

    // Checks the daemon, and that the port still answers.
    void check_status_port(port_of_vm port) {
        check_daemon();
        load_kind status;
        status.port = port;
        BOOST_TEST(run_until([&] { return is_success(response_to(status)); }));
    }

    void check_load(std::size_t callers, const load_kind& kind) {
        add_callers(callers, kind);
        check_daemon();
    }

    boost::asio::io_context loop;
    boot_clock time;
    std::string directory = new_directory();
    edge_fleet fleet{loop, time, {RADISHPULLEYD_PATH, directory, 1, 1, vm_limits()}};
    caller_crowd crowd{loop};
    int requests = 0;
    std::size_t unread = 0;
    std::size_t peak_resident = 0;
    std::size_t peak_with_unread = 0;
    std::size_t peak_descriptors = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(caller_memory_tests, fixture)

// Guards against bodies that are kept for as long as their callers withhold the last bytes.
BOOST_AUTO_TEST_CASE(whole_bodies_that_stop_short_of_the_end) {
    check_load(body_callers, whole_bodies());
}

// Guards against a bound that holds only for bodies that arrive at once.
BOOST_AUTO_TEST_CASE(bodies_in_pieces_that_stop_short_of_the_end) {
    check_load(body_callers, bodies_in_pieces());
}

// Guards against a bound that holds only for bodies whose length is announced.
BOOST_AUTO_TEST_CASE(large_chunks_without_the_last_one) {
    check_load(body_callers, large_chunks());
}

// Guards against small chunks that take much more memory than their content.
BOOST_AUTO_TEST_CASE(chunks_of_one_byte_without_the_last_one) {
    check_load(body_callers, chunks_of_one_byte());
}

// Guards against keeping a chunked body up to the limit before it is refused.
BOOST_AUTO_TEST_CASE(chunked_bodies_over_the_limit) {
    check_load(body_callers, chunks_over_the_limit());
}

// Guards against reading on after a refused length, with memory for what arrives.
BOOST_AUTO_TEST_CASE(announced_lengths_over_the_limit_with_their_bodies) {
    check_load(body_callers, announced_length_over_the_limit());
}

// Guards against bodies that are kept before it is known that no route leads anywhere.
BOOST_AUTO_TEST_CASE(bodies_for_a_path_without_a_route) {
    check_load(body_callers, bodies_for_no_route());
}

// Guards against bodies that are kept before the key is known to be invalid.
BOOST_AUTO_TEST_CASE(bodies_with_a_key_of_no_account) {
    check_load(body_callers, bodies_with_an_unknown_key());
}

// Guards against heads that take all descriptors, or memory without bound, before they are
// complete.
BOOST_AUTO_TEST_CASE(heads_that_arrive_slowly) {
    add_slow_heads(connection_callers);
    check_daemon();
}

// Guards against idle connections that leave no descriptors for endpoints, the store and peers.
BOOST_AUTO_TEST_CASE(idle_connections) {
    add_idle_connections(connection_callers);
    check_daemon();
}

// Guards against bytes that stay charged to callers which have left, and against memory that is not
// used again.
BOOST_AUTO_TEST_CASE(whole_bodies_of_a_crowd_that_comes_back) {
    add_callers(body_callers, whole_bodies());
    run_until_at_rest();
    crowd.close();
    run_until_at_rest();
    check_load(body_callers, whole_bodies());
}

// Guards against bounds for each kind of load that together exceed the VM's memory.
BOOST_AUTO_TEST_CASE(all_kinds_at_the_same_time) {
    fleet.endpoints().front().standin->response_padding = max_body;
    for (const load_kind& kind :
         {whole_bodies(), bodies_in_pieces(), large_chunks(), chunks_of_one_byte(),
          chunks_over_the_limit(), announced_length_over_the_limit(), bodies_for_no_route(),
          bodies_with_an_unknown_key(), unread_responses()}) {
        add_callers(mixed_callers_per_kind, kind);
    }
    add_slow_heads(mixed_callers_per_kind);
    add_idle_connections(mixed_callers_per_kind);
    check_daemon();
}

// Guards against complete bodies that wait without bound for an endpoint to take them.
BOOST_AUTO_TEST_CASE(bodies_for_an_endpoint_that_reads_slowly) {
    fleet.endpoints().front().proxy->set_delay(200ms);
    check_load(body_callers, complete_bodies());
}

// Guards against responses that are kept in full for callers that do not read them.
BOOST_AUTO_TEST_CASE(responses_that_callers_leave_unread) {
    fleet.endpoints().front().standin->response_padding = max_body;
    check_load(body_callers, unread_responses());
}

// Guards against responses to pipelined requests that pile up for callers that do not read them.
BOOST_AUTO_TEST_CASE(responses_to_pipelined_requests_left_unread) {
    check_load(body_callers, pipelined_requests(&edge_vm::callers_address));
}

// Guards against metrics that pile up for callers that do not read them.
BOOST_AUTO_TEST_CASE(pipelined_requests_at_the_metrics_port) {
    add_callers(body_callers, pipelined_requests(&edge_vm::metrics_address));
    check_status_port(&edge_vm::metrics_address);
}

// Guards against bodies at a port that needs none.
BOOST_AUTO_TEST_CASE(bodies_at_the_readiness_port) {
    add_callers(body_callers, whole_bodies_at(&edge_vm::readiness_address));
    check_status_port(&edge_vm::readiness_address);
}

// Guards against the same at the metrics port.
BOOST_AUTO_TEST_CASE(bodies_at_the_metrics_port) {
    add_callers(body_callers, whole_bodies_at(&edge_vm::metrics_address));
    check_status_port(&edge_vm::metrics_address);
}

// Guards against idle connections at the readiness port that take the callers' descriptors, or keep
// the platform from reading that the VM is ready.
BOOST_AUTO_TEST_CASE(idle_connections_at_the_readiness_port) {
    add_idle_connections(connection_callers, &edge_vm::readiness_address);
    check_status_port(&edge_vm::readiness_address);
}

// Guards against the same at the metrics port, where the operator would see no metrics.
BOOST_AUTO_TEST_CASE(idle_connections_at_the_metrics_port) {
    add_idle_connections(connection_callers, &edge_vm::metrics_address);
    check_status_port(&edge_vm::metrics_address);
}

// Guards against a budget that refuses a legal request on an idle VM.
BOOST_AUTO_TEST_CASE(one_body_of_the_largest_legal_size) {
    BOOST_TEST(is_success(response_to(complete_bodies())));
    check_daemon();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::soak
