// Requests that a VM which reaches no endpoint passes on to other VMs.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace radishpulley::gateway::testing {
namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

void answer(const std::string& request, peer& it) {
    it.send(response("200 OK", id_of(request), "fine"));
}

void stay_silent(const std::string&, peer&) {}

void reset(const std::string&, peer& it) {
    it.reset();
}

constexpr const char* first_event = "id: 1\ndata: a\n\n";
constexpr const char* second_event = "id: 2\ndata: b\n\n";
constexpr const char* end_of_chunks = "0\r\n\r\n";

std::string stream_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// Returns an address to which nobody listens.
std::string refusing_address(boost::asio::io_context& loop) {
    const tcp::acceptor closed(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
}

std::string terms_text(const relay_terms& terms, const std::string& secret,
                       const manual_wall_clock& time_of_day) {
    std::string out;
    append_relay_terms(terms, secret, time_of_day.now, out);
    return out;
}

relay_terms terms_of(const char* id) {
    relay_terms out;
    out.request = request_id(id);
    out.origin = vm_id("origin");
    out.service = service_id("s");
    out.time_left = std::chrono::milliseconds(700);
    return out;
}

struct two_relays_fixture : relay_fixture {
    two_relays_fixture() {
        origin_peers.targets.push_back(second.target());
        second.add_endpoint("e2", answer);
    }
    ~two_relays_fixture() { second.proxy.close_callers(); }

    relay_node second{*this, "second"};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relay_suite, relay_fixture)

// Guards against callers that wait out the cut of their VM while its peers reach all endpoints.
BOOST_AUTO_TEST_CASE(cut_off_vm_serves_its_callers_through_a_peer) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    for (const char* id : {"r1", "r2", "r3"}) {
        const std::string got = call(request("POST /once/x", id, "", "body"), "fine");
        BOOST_TEST(contains(got, "200 OK"));
        BOOST_TEST(!contains(got, "Peer-Relay"));
    }
    BOOST_TEST(relay.accepted == 1);
    BOOST_REQUIRE(endpoint.requests.size() == 3U);
    BOOST_TEST(ends_with(endpoint.requests[0], "\r\n\r\nbody"));
    BOOST_TEST(contains(endpoint.requests[0], "X-Account: acme"));
    BOOST_TEST(!contains(endpoint.requests[0], "X-Key"));
    BOOST_TEST(!contains(endpoint.requests[0], "Peer-Relay"));
}

// Guards against a request that is lost with a peer to which no connection can be made.
BOOST_AUTO_TEST_CASE(refused_connection_leads_to_another_peer) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    origin_peers.targets.insert(origin_peers.targets.begin(),
                                {vm_id("gone"), refusing_address(loop)});
    const std::string got = call(request("POST /once/x", "r1"), "fine");
    BOOST_TEST(contains(got, "200 OK"));
    BOOST_TEST(endpoint.requests.size() == 1U);
}

// Guards against a request that runs twice because the connection to its relay broke.
BOOST_AUTO_TEST_CASE(broken_peer_connection_does_not_run_a_request_twice) {
    fake_endpoint broken(loop, reset);
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    origin_peers.targets.insert(origin_peers.targets.begin(), {vm_id("broken"), broken.address()});
    const std::string got = call(request("POST /once/x", "r1"), "connection_broken\"}");
    BOOST_TEST(contains(got, "502"));
    BOOST_TEST(broken.requests.size() == 1U);
    BOOST_TEST(endpoint.requests.empty());
}

// Guards against an idempotent request that is given up with the relay that broke.
BOOST_AUTO_TEST_CASE(broken_peer_connection_repeats_an_idempotent_request) {
    fake_endpoint broken(loop, reset);
    relay.add_endpoint("e1", answer);
    origin_peers.targets.insert(origin_peers.targets.begin(), {vm_id("broken"), broken.address()});
    BOOST_TEST(contains(call(request("GET /again/x", "r1"), "fine"), "200 OK"));
}

// Guards against an idempotent request that waits for a relay that hangs until its deadline.
BOOST_AUTO_TEST_CASE(silent_peer_is_replaced_for_an_idempotent_request) {
    fake_endpoint silent(loop, stay_silent);
    relay.add_endpoint("e1", answer);
    origin_peers.targets.insert(origin_peers.targets.begin(), {vm_id("silent"), silent.address()});
    BOOST_TEST(contains(call(request("GET /again/x", "r1"), "fine"), "200 OK"));
    BOOST_TEST(silent.requests.size() == 1U);
}

// Guards against a 502, or a wait, for a request that a relay states it has not run.
BOOST_AUTO_TEST_CASE(refusal_of_the_only_relay_is_passed_on) {
    relay.proxy.set_reaches([](const service_id&) { return false; });
    const std::string got = call(request("POST /once/x", "r1"), "}");
    BOOST_TEST(contains(got, "503"));
    BOOST_TEST(contains(got, "service_unreachable"));
    BOOST_TEST(retry_after_of(got) == 0.25);
    BOOST_TEST(!contains(got, "Peer-Relay"));
}

// Guards against a request that ends with the refusal of one relay while another could serve it.
BOOST_FIXTURE_TEST_CASE(refusal_leads_to_another_relay, two_relays_fixture) {
    relay.proxy.set_reaches([](const service_id&) { return false; });
    BOOST_TEST(contains(call(request("POST /once/x", "r1"), "fine"), "200 OK"));
}

// Guards against requests that are lost with a relay that stops.
BOOST_FIXTURE_TEST_CASE(stopping_relay_leads_to_another_one, two_relays_fixture) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    call(request("POST /once/x", "r1"), "fine");
    relay.proxy.begin_stop(stop_in(std::chrono::seconds(1), std::chrono::seconds(2)));
    BOOST_TEST(contains(call(request("POST /once/x", "r2"), "fine"), "200 OK"));
    BOOST_TEST(endpoint.requests.size() == 1U);
}

// Guards against chains and circles of relays.
BOOST_FIXTURE_TEST_CASE(relay_does_not_pass_on, two_relays_fixture) {
    origin_peers.targets = {relay.target()};
    relay.peers.targets = {second.target()};
    relay.proxy.set_reaches([](const service_id&) { return false; });
    BOOST_TEST(contains(call(request("POST /once/x", "r1"), "}"), "503"));
    BOOST_TEST(second.accepted == 0);
}

// Guards against callers of other VMs that take the memory of a relay's own callers.
BOOST_FIXTURE_TEST_CASE(relay_short_of_memory_refuses, two_relays_fixture) {
    gateway_settings small;
    small.max_held_bytes = 0;
    relay.proxy.reconfigure(small);
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    BOOST_TEST(contains(call(request("POST /once/x", "r1"), "fine"), "200 OK"));
    BOOST_TEST(endpoint.requests.empty());
}

// Guards against bodies that are held but charged at one of the two VMs only.
BOOST_AUTO_TEST_CASE(body_is_charged_at_both_vms) {
    constexpr std::size_t body_bytes = 9'000;
    fake_endpoint& endpoint = relay.add_endpoint("e1", stay_silent);
    const auto caller = connect();
    caller->send(request("POST /once/x", "r1", "", std::string(body_bytes, 'b')));
    run_until([&] { return endpoint.requests.size() == 1; });
    BOOST_TEST(proxy().budget()->held() >= body_bytes);
    BOOST_TEST(relay.proxy.budget()->held() >= body_bytes);
}

// Guards against a request that is charged by the origin and by its relay.
BOOST_AUTO_TEST_CASE(relay_does_not_charge_the_account) {
    relay.add_endpoint("e1", answer);
    relay.configure(1);
    for (const char* id : {"r1", "r2", "r3", "r4"}) {
        BOOST_TEST(contains(call(request("POST /once/x", id), "fine"), "200 OK"));
    }
}

// Guards against callers that are served without limit because their VM passes them on.
BOOST_AUTO_TEST_CASE(origin_charges_the_account) {
    relay.add_endpoint("e1", answer);
    configure(1);
    BOOST_TEST(contains(call(request("POST /once/x", "r1"), "fine"), "200 OK"));
    std::string got;
    for (int i = 0; i < 10 && !contains(got, "429"); ++i) {
        got = round_trip(request("POST /once/x", "s" + std::to_string(i)), [](const peer& it) {
            return ends_with(it.received, "fine") || ends_with(it.received, "}");
        });
    }
    BOOST_TEST(contains(got, "429"));
}

// Guards against work that goes on at an endpoint for a caller that has left another VM.
BOOST_AUTO_TEST_CASE(caller_that_leaves_ends_the_call_at_the_endpoint) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", stay_silent);
    const auto caller = connect();
    caller->send(request("POST /once/x", "r1"));
    run_until([&] { return endpoint.requests.size() == 1; });
    caller->close();
    run_until([&] { return endpoint.connections[0]->ended; });
}

// Guards against events that are held back on their way through two VMs.
BOOST_AUTO_TEST_CASE(stream_passes_event_by_event) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", [](const auto& text, peer& it) {
        it.send(stream_head(id_of(text)) + to_chunk(first_event));
    });
    const auto caller = connect();
    caller->send(request("POST /events/x", "r1"));
    run_until([&] { return contains(caller->received, first_event); });
    endpoint.connections[0]->send(to_chunk(second_event) + end_of_chunks);
    run_until([&] { return ends_with(caller->received, end_of_chunks); });
    BOOST_TEST(contains(caller->received, second_event));
}

// Guards against a stream that goes on at other software after its relay's endpoint broke.
BOOST_FIXTURE_TEST_CASE(stream_goes_on_at_the_software_that_began_it, two_relays_fixture) {
    relay.add_endpoint("e1", [](const auto& text, peer& it) {
        it.send(stream_head(id_of(text)) + to_chunk(first_event) + to_chunk("id: 2\nda"));
        it.reset();
    });
    fake_endpoint& newer = second.add_endpoint("e3", stay_silent, "v2");
    fake_endpoint& same = second.add_endpoint("e4", [](const auto& text, peer& it) {
        it.send(stream_head(id_of(text)) + to_chunk(second_event) + end_of_chunks);
    });
    second.proxy.on_endpoint_removed(endpoint_id("e2"));
    second.proxy.directory().on_removed(endpoint_id("e2"), time.now());
    const std::string got = call(request("POST /events/x", "r1"), end_of_chunks);
    BOOST_TEST(contains(got, first_event));
    BOOST_TEST(contains(got, second_event));
    BOOST_TEST(newer.requests.empty());
    BOOST_REQUIRE(same.requests.size() == 1U);
    BOOST_TEST(contains(same.requests[0], "Last-Event-Id: 1\r\n"));
    const auto began =
        proxy().origin_of(routing::stream_key_of(client_account_id("acme"), request_id("r1")));
    BOOST_TEST(!began.has_value());
}

// Guards against a request that passes a region which its route excludes.
BOOST_AUTO_TEST_CASE(peer_is_chosen_in_allowed_regions) {
    auto restricted = content();
    restricted.routes[0].regions = routing::allowed_regions({region_id("north")});
    apply(restricted);
    origin_peers.targets.clear();
    round_trip(request("POST /once/x", "r1"),
               [](const peer& it) { return ends_with(it.received, "}"); });
    BOOST_TEST(origin_peers.asked_regions.allows(region_id("north")));
    BOOST_TEST(!origin_peers.asked_regions.allows(region_id("south")));
}

// Guards against requests on the peers' port that no peer has passed on.
BOOST_AUTO_TEST_CASE(request_without_valid_token_is_forbidden) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    manual_wall_clock long_ago;
    long_ago.now -= std::chrono::minutes(2);
    const std::string forged = terms_text(terms_of("r1"), "guess", time_of_day);
    const std::string old = terms_text(terms_of("r1"), fleet_secret, long_ago);
    std::string altered = terms_text(terms_of("r1"), fleet_secret, time_of_day);
    altered[altered.find(": ") + 5] ^= 1;
    for (const std::string& terms : {std::string(), forged, old, altered}) {
        const auto caller = connect_to(relay.address());
        caller->send(request("POST /once/x", "r1", terms));
        run_until([&] { return ends_with(caller->received, "}"); });
        BOOST_TEST(contains(caller->received, "403"));
    }
    BOOST_TEST(endpoint.requests.empty());
}

// Guards against VMs that accept each other's requests before they know the secret.
BOOST_AUTO_TEST_CASE(unknown_secret_opens_nothing) {
    relay.add_endpoint("e1", answer);
    relay.peers.secret_text.clear();
    const auto caller = connect_to(relay.address());
    caller->send(request("POST /once/x", "r1", terms_text(terms_of("r1"), "", time_of_day)));
    run_until([&] { return ends_with(caller->received, "}"); });
    BOOST_TEST(contains(caller->received, "403"));
}

// Guards against callers that claim to be peers: no charge, another deadline.
BOOST_AUTO_TEST_CASE(terms_mean_nothing_on_the_callers_port) {
    reaches = true;
    fake_endpoint& own = add_endpoint("e0", answer);
    const std::string terms = terms_text(terms_of("r1"), fleet_secret, time_of_day);
    const std::string got =
        call(request("POST /once/x", "r1", "X-Deadline: 4000\r\n" + terms), "fine");
    BOOST_TEST(!contains(got, "Peer-Relay"));
    BOOST_REQUIRE(own.requests.size() == 1U);
    BOOST_TEST(!contains(own.requests[0], "Peer-Relay"));
    const std::size_t at = own.requests[0].find("X-Time-Left: ") + 13;
    BOOST_TEST(std::stoi(own.requests[0].substr(at)) > 700);
}

// Guards against a relay that works on a request beyond its caller's deadline.
BOOST_AUTO_TEST_CASE(deadline_is_handed_on) {
    fake_endpoint& endpoint = relay.add_endpoint("e1", answer);
    const auto caller = connect_to(relay.address());
    caller->send(
        request("POST /once/x", "r1",
                "X-Deadline: 4000\r\n" + terms_text(terms_of("r1"), fleet_secret, time_of_day)));
    run_until([&] { return ends_with(caller->received, "fine"); });
    BOOST_REQUIRE(endpoint.requests.size() == 1U);
    const std::size_t at = endpoint.requests[0].find("X-Time-Left: ") + 13;
    BOOST_TEST(std::stoi(endpoint.requests[0].substr(at)) <= 700);
}

// Guards against requests that wait at an endpoint after their VM has lost its path to it.
BOOST_AUTO_TEST_CASE(unanswered_idempotent_request_moves_when_the_service_is_unreachable) {
    reaches = true;
    with_engines = true;
    configure();
    relay.configure();
    fake_endpoint& own = add_endpoint("e0", stay_silent);
    fake_endpoint& other = relay.add_endpoint("e1", answer);
    const auto caller = connect();
    caller->send(request("GET /again/x", "r1"));
    const auto once = connect();
    once->send(request("POST /once/x", "r2"));
    run_until([&] { return own.requests.size() == 2; });
    reaches = false;
    proxy().on_service_unreachable(service_id("s"));
    run_until([&] { return ends_with(caller->received, "fine"); });
    // The other may have run and must not be repeated.
    BOOST_TEST(once->received.empty());
    BOOST_TEST(other.requests.size() == 1U);
}

// Guards against a request that uses up its sends on endpoints which all refuse its VM.
BOOST_AUTO_TEST_CASE(two_unreachable_endpoints_lead_to_a_peer) {
    reaches = true;
    for (const char* id : {"e0", "e2", "e3"}) {
        add_endpoint(id, answer).crash();
    }
    relay.add_endpoint("e1", answer);
    BOOST_TEST(contains(call(request("POST /once/x", "r1"), "fine"), "200 OK"));
}

// Guards against a response that one of the two VMs collects for a caller that does not read it.
BOOST_AUTO_TEST_CASE(slow_caller_holds_back_the_endpoint) {
    constexpr std::size_t chunk_bytes = 65'536;
    relay.add_endpoint("e1", [](const auto& text, peer& it) {
        it.send(stream_head(id_of(text)));
        it.flood(to_chunk(std::string(chunk_bytes, 'x')));
    });
    const auto caller = connect_without_reading(4'096);
    caller->send(request("POST /stream/x", "r1"));
    // What the operating system keeps between the four sockets fills up before.
    const auto is_full = [](const gateway& it) { return it.unsent_bytes() > it.unsent_limit(); };
    constexpr int max_steps = 100'000;
    for (int i = 0; i < max_steps && !(is_full(proxy()) && is_full(relay.proxy)); ++i) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(is_full(proxy()));
    BOOST_TEST(is_full(relay.proxy));
    constexpr int more_steps = 200;
    for (int i = 0; i < more_steps; ++i) {
        loop.restart();
        loop.run_one_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(proxy().unsent_bytes() < proxy().unsent_limit() + 2 * chunk_bytes);
    BOOST_TEST(relay.proxy.unsent_bytes() < relay.proxy.unsent_limit() + 2 * chunk_bytes);
    caller->reset();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace radishpulley::gateway::testing
